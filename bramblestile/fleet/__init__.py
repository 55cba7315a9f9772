"""Fleet membership: which balancers are alive, and the small state entries that each of them publishes.

Loaded only if a ``fleet`` table is configured. Without one a balancer shares nothing and talks to no other balancer.
The reasons are in docs/design/membership.md.
"""
