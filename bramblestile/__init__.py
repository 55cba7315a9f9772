"""The balancer process around the decision module: sockets, connection state, start and stop. Start at ``life``."""

__version__ = "0.2.0"
