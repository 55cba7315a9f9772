"""Operating a balancer in service: the management API, suspended image servers, drains and hot upgrades.

From the bottom up:

- ``http``: parses an HTTP request and encodes a response (no I/O);
- ``move_schedule``: when to move which connections (no I/O);
- ``connection_codec``: a proxied connection as a message (no I/O);
- ``orders``: the operators' orders and their file;
- ``management_api``: what each management call does (no sockets);
- ``server``: the TCP server of the management API;
- ``handoff``: the socket between a running process and the one that replaces it.
"""
