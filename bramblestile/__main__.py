"""``python -m bramblestile [FILE]``: one balancer. With a sub-command, the tools (``--help`` names them).

The platform's line has no sub-command and few megabytes: on that way no library of the tools is loaded, and a
command loads nothing of the balancer that it does not use: a window of a trace is to be there within a second.
"""

import sys


def main() -> int:
    arguments = sys.argv[1:]
    if not arguments or (len(arguments) == 1 and arguments[0].endswith((".toml", ".json"))):
        from bramblestile.process import daemon

        return daemon.main(arguments)
    try:
        from bramblestile import cli
    except ImportError as error:
        print(
            f"bramblestile: the commands need the extra 'tools' of this package ({error.name} is not installed)",
            file=sys.stderr,
        )
        return 1
    return cli.main(arguments)


if __name__ == "__main__":
    sys.exit(main())
