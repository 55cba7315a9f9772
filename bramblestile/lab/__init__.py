"""Test beds for a fleet: its parts in simulated time, and real processes with faults injected between them.

Loaded only by the ``lab`` commands, the benchmarks and the tests.
"""
