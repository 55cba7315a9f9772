"""The order of work in simulated time, from many seeds: what breaks, and how long a plan takes.

python -m benchmarks.work_seeds --seeds 10000 --least 5 --most 20 --first 0
"""

from __future__ import annotations

import argparse
import os
import time
from collections import Counter
from functools import partial
from multiprocessing import Pool

from bramblestile.lab.working import BrokenError, Works


def play(least: int, most: int, seed: int) -> tuple[int, str, Counter[str]]:
    works = Works(seed, least + seed % (most - least + 1))
    try:
        works.play()
    except BrokenError as error:
        return seed, str(error), Counter()
    return seed, "", Counter(str(stage) for _, stage in works.stages.values())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--least", type=int, default=5)
    parser.add_argument("--most", type=int, default=20)
    given = parser.parse_args()
    began, broken, stages = time.monotonic(), [], Counter[str]()
    with Pool(os.cpu_count()) as pool:
        for seed, text, counted in pool.imap_unordered(
            partial(play, given.least, given.most), range(given.first, given.first + given.seeds), chunksize=4
        ):
            stages += counted
            if text:
                broken.append(seed)
                print(f"seed {seed}: {text}", flush=True)
    print(
        f"{given.seeds} runs of {given.least} to {given.most} balancers, {len(broken)} broken; machines at the end: "
        f"{dict(stages)}; {time.monotonic() - began:.0f} s"
    )


if __name__ == "__main__":
    main()
