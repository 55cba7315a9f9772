"""Maintenance in simulated time, from many seeds: which invariants are violated, and how long the runs take.

python -m benchmarks.work_seeds --seeds 10000 --least 5 --most 20 --first 0
"""

from __future__ import annotations

import argparse
import os
import time
from collections import Counter
from functools import partial
from multiprocessing import Pool

from bramblestile.lab.maintenance_simulation import InvariantError, MaintenanceSimulation


def run_scenario(min_size: int, max_size: int, seed: int) -> tuple[int, str, Counter[str]]:
    """Run one seed; return the seed, the violated invariant if any, and the number of machines in each final stage."""
    simulation = MaintenanceSimulation(seed, min_size + seed % (max_size - min_size + 1))
    try:
        simulation.run_scenario()
    except InvariantError as error:
        return seed, str(error), Counter()
    return seed, "", Counter(str(stage) for _, stage in simulation.stages.values())


def main() -> None:
    """Run the seeds on all cores and print the result."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--least", type=int, default=5)
    parser.add_argument("--most", type=int, default=20)
    options = parser.parse_args()
    began, failed, stages = time.monotonic(), [], Counter[str]()
    with Pool(os.cpu_count()) as pool:
        for seed, violation, counts in pool.imap_unordered(
            partial(run_scenario, options.least, options.most),
            range(options.first, options.first + options.seeds),
            chunksize=4,
        ):
            stages += counts
            if violation:
                failed.append(seed)
                print(f"seed {seed}: {violation}", flush=True)
    print(
        f"{options.seeds} runs of {options.least} to {options.most} balancers, {len(failed)} failed; "
        f"machines at the end: {dict(stages)}; {time.monotonic() - began:.0f} s"
    )


if __name__ == "__main__":
    main()
