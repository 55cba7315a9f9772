"""``python -m bramblestile store ADDRESS get KEY`` or ``set KEY VALUE``: an operator's word to the store."""

from __future__ import annotations

import sys
from datetime import timedelta

from bramblestile.wire import discovery, peers

WITHIN = timedelta(seconds=5)


def main(arguments: list[str]) -> int:
    if [len(arguments), *arguments[1:2]] not in ([3, "get"], [4, "set"]):
        print((__doc__ or "").replace("``", ""), file=sys.stderr)
        return 2
    said = dict(zip(("do", "key", "value"), arguments[1:], strict=False))
    try:
        answer = peers.call(discovery.address(arguments[0]), said, WITHIN)
    except (OSError, ValueError) as error:
        print(f"store: {error}", file=sys.stderr)
        return 1
    print(answer.get("value") if answer.get("ok") and said["do"] == "get" else answer)
    return 0 if answer.get("ok") else 1
