"""State that requests share: the decision module behind a lock, the cluster, connections, and counters."""
