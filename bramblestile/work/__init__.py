"""The order of work: machines leave and come back in an order that the balancers settle among themselves. Loaded only
where a ``work`` table is configured. Why so: docs/design/work.md."""
