"""Searches histories of a pool's owners for double runs, with many seeds.

Run: ``python -m benchmarks.ownership search [--seeds 20] [--walks 60000]``. One line is
printed for each seed and kind of search; a violation is printed with the walk that
shows it, reduced to the actions that it needs. The exit status is 1 if one was found.
``python -m benchmarks.ownership weakened [--seeds 20]`` takes out one safeguard after
another and prints the first seed whose walks find a violation.
"""

import sys

import fire
from hypothesis import seed, settings
from hypothesis.stateful import run_state_machine_as_test

from peridotspoke.workloads.tests.ownershipmodel import ViolationError
from peridotspoke.workloads.tests.ownershipwalks import find_violation, reduce_walk
from peridotspoke.workloads.tests.test_ownership_machine import (
    SEARCH_SETTINGS,
    OwnershipMachine,
    RestartingMachine,
)
from peridotspoke.workloads.tests.weakenedowners import WEAKENED_OWNERS

__all__ = ["search", "search_weakened"]


def search(seeds=20, walks=60000):
    """Search with the seeds from 1 to `seeds`, by Hypothesis and by random walks.

    Parameters
    ----------
    seeds : int, optional
    walks : int, optional
        Number of walks for each seed, without and with restarts of executors.
    """
    found = False
    for number in range(1, seeds + 1):
        for machine in (OwnershipMachine, RestartingMachine):
            found |= _run_machine(machine, number)
        for restarts in (False, True):
            found |= _run_walks(number, walks, restarts)
    sys.exit(int(found))


def search_weakened(seeds=20, walks=20000):
    """Print for each safeguard the first seed with which its absence is found."""
    for weakening in WEAKENED_OWNERS:
        number = next(
            (
                number
                for number in range(1, seeds + 1)
                if find_violation(number, walks, weakening.restarts, weakening)
            ),
            None,
        )
        print(f"safeguard={weakening.name!r} seed={number}", flush=True)


def _run_machine(machine, number):
    drawn = settings(SEARCH_SETTINGS, derandomize=False)
    try:
        run_state_machine_as_test(seed(number)(machine), settings=drawn)
    except ViolationError as error:
        print(f"search={machine.__name__} seed={number} violation={error}", flush=True)
        print("\n".join(getattr(error, "__notes__", ())))
        return True
    print(f"search={machine.__name__} seed={number} violation=none", flush=True)
    return False


def _run_walks(number, walks, restarts):
    violation = find_violation(number, walks, restarts)
    name = f"search=walks restarts={restarts} seed={number}"
    if violation is None:
        print(f"{name} violation=none", flush=True)
        return False
    steps, actions, error = violation
    print(f"{name} violation={error}", flush=True)
    for action in reduce_walk(steps, actions):
        print(f"  {action}")
    return True


if __name__ == "__main__":
    fire.Fire({"search": search, "weakened": search_weakened})
