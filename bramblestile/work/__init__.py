"""Rolling maintenance: machines leave service and return in an order that the balancers agree on.

Loaded only where the configuration has a ``work`` table. The design is described in docs/design/work.md.
"""
