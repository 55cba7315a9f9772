"""The project's laboratory: the parts of a fleet in simulated time, and real processes with faults between them. Loaded
only by its commands, benchmarks and tests."""
