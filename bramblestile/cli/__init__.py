"""The command line: one program with subcommands. It needs the extra ``tools``.

Heavy libraries are imported by the command that uses them. Errors are one line on standard error. The exit code is 2
for wrong usage or input and 1 for a failure.
"""

from bramblestile.cli.main import main

__all__ = ["main"]
