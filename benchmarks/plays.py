"""Plays node processes under random disruptions, with many seeds, to find broken rules.

Run: ``python -m benchmarks.plays search FOLDER [--seeds 20] [--first 1]
[--kinds drain,lapse,store] [--traffic 25] [--lease 10] [--workspaces]``. One line is
printed for each seed, one for each broken rule, and one for each pair of runs that no
owner can prevent but by waiting; the exit status is 1 if there was one of either.
``FOLDER/SEED`` gets the record of the play and the logs of the nodes.
"""

import asyncio
import sys
from pathlib import Path

import fire

from peridotspoke.platform.tests.fleetplay import FleetPlay, play_seed
from peridotspoke.platform.tests.playchecks import find_late_pairs
from peridotspoke.platform.tests.playtroubles import KINDS
from peridotspoke.platform.tests.playworkspacetroubles import WORKSPACE_KINDS
from peridotspoke.platform.tests.workspaceplay import WorkspacePlay

__all__ = ["search"]


def search(
    folder, seeds=20, first=1, kinds=None, traffic=25.0, lease=None, workspaces=False
):
    """Play the seeds from `first` on.

    Parameters
    ----------
    folder : str
    seeds : int, optional
        Number of seeds.
    first : int, optional
    kinds : sequence of str, optional
        Disruptions to draw from; all but those that have to be named if None.
    traffic : float, optional
        Seconds of jobs and disruptions in each play.
    lease : float, optional
        The longest lease, seconds; drawn from each seed if None.
    workspaces : bool, optional
        Whether callers belong to workspaces; their disruptions are drawn as well.
    """
    found = False
    make = WorkspacePlay if workspaces else FleetPlay
    kinds = kinds or (KINDS + WORKSPACE_KINDS if workspaces else KINDS)
    names = kinds.split(",") if isinstance(kinds, str) else list(kinds)
    for seed in range(first, first + seeds):
        target = Path(str(folder)) / str(seed)
        playing = play_seed(seed, target, names, traffic, lease, make)
        play, breaks = asyncio.run(playing)
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
