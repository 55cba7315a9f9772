"""vanegw decides where a balancer places long-lived connections. Start at ``vanegw.interface``."""

from vanegw.rules import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
