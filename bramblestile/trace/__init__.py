"""Trace files: what happened to every request, and the state of the candidates at each decision.

Tools read traces through ``Reader``, ``Writer``, ``Query`` and ``TraceError``; the records themselves are in
``trace.records``. The daemon writes traces through ``trace.recorder``, which the tools need not load. The package needs
the extra ``trace`` (msgspec, zstandard, xxhash).
"""

from bramblestile.trace.files import Query, Reader, Writer
from bramblestile.trace.frames import TraceError

__all__ = ["Query", "Reader", "TraceError", "Writer"]
