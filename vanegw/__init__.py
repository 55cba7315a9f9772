"""The decision module: where a balancer places long-lived connections.

``vanegw.interface`` has the types that callers use, ``vanegw.rules`` the decisions.
"""

from vanegw.rules import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
