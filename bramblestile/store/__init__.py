"""The replicated key-value store: consensus without I/O, its journal, and a thread-safe service around both."""
