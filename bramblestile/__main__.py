"""``python -m bramblestile [FILE]``: one real balancer."""

import sys

from bramblestile.process.daemon import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
