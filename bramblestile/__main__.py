"""``python -m bramblestile [FILE]``: one real balancer. ``store ...``: an operator's word to the store."""

import sys

from bramblestile.process import daemon, operate

if __name__ == "__main__":
    sys.exit(operate.main(sys.argv[2:]) if sys.argv[1:2] == ["store"] else daemon.main(sys.argv[1:]))
