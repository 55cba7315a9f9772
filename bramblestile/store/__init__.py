"""The small replicated store: its agreement without I/O, its journal, and both behind a lock with a clock."""
