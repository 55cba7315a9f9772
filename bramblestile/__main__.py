"""Command-line entry point: ``python -m bramblestile [FILE]`` runs one balancer, a sub-command runs one of the tools.

``--help`` lists the sub-commands. Imports are deferred on purpose. The platform starts the balancer without a
sub-command and with little memory, so that path loads none of the tools' libraries. A command loads only what it uses
of the balancer: ``trace`` has to show a window of a trace within a second.
"""

import sys


def main() -> int:
    """Run the balancer or a sub-command and return the exit status."""
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
