"""Long measurements, as commands: ``python -m benchmarks.NAME --help``.

None runs with the tests. Results are ratios to a baseline of the same run. The stand-in servers and clients are those
of the tests (``tests/load.py``, ``tests/fleet.py``).
"""
