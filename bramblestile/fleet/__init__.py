"""The fleet: which balancers live, and the small state that each of them spreads. Loaded only where a ``fleet`` table
is configured; on the platform balancers share nothing and never talk. Why so: docs/design/membership.md."""
