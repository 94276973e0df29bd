"""Plays node processes under random disruptions, with many seeds, to find broken rules.

Run: ``python -m benchmarks.plays search FOLDER [--seeds 20] [--first 1]
[--kinds drain,lapse,store] [--traffic 25] [--lease 10]``. One line is printed for each
seed, one for each broken rule, and one for each pair of runs that no owner can prevent
but by waiting; the exit status is 1 if there was one of either. ``FOLDER/SEED`` gets
the record of the play and the logs of the nodes.
"""

import asyncio
import sys
from pathlib import Path

import fire

from peridotspoke.platform.tests.fleetplay import play_seed
from peridotspoke.platform.tests.playchecks import find_late_pairs
from peridotspoke.platform.tests.playtroubles import KINDS

__all__ = ["search"]


def search(folder, seeds=20, first=1, kinds=KINDS, traffic=25.0, lease=None):
    """Play the seeds from `first` on.

    Parameters
    ----------
    folder : str
    seeds : int, optional
        Number of seeds.
    first : int, optional
    kinds : sequence of str, optional
        Disruptions to draw from.
    traffic : float, optional
        Seconds of jobs and disruptions in each play.
    lease : float, optional
        The longest lease, seconds; drawn from each seed if None.
    """
    found = False
    names = kinds.split(",") if isinstance(kinds, str) else list(kinds)
    for seed in range(first, first + seeds):
        target = Path(str(folder)) / str(seed)
        play, breaks = asyncio.run(play_seed(seed, target, names, traffic, lease))
        breaks += find_late_pairs(play)
        jobs, runs = len(play.jobs), len(play.site.runs)
        lease_text = f"lease={play.site.longest_lease:g}"
        counts = f"jobs={jobs} runs={runs} breaks={len(breaks)}"
        print(f"seed={seed} {lease_text} {counts}", flush=True)
        for text in breaks:
            print(f"  {text}", flush=True)
        found |= bool(breaks)
    sys.exit(int(found))


if __name__ == "__main__":
    fire.Fire({"search": search})
