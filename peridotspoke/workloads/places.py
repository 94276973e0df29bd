"""Holds the places of long-running tasks that are moved, until they start there.

It answers a move during a backlog: between the stop of such a task and its next start
lie a report and several rounds, in which other tasks would take its place, piece by
piece, and would be followed by more of their kind.
"""

from dataclasses import dataclass

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.progress import JobOutcome, TaskStatus
from peridotspoke.workloads.runs import RunPhase, compute_need

__all__ = ["HeldPlace", "drop_old_places", "hold_place", "release_place"]

PLACE_HOLD_S = 6.0  # the run that is stopped has ended by then: its lease, and a margin


@dataclass(frozen=True, slots=True)
class HeldPlace:
    """Capacity of an executor that is kept for a task whose run is being stopped.

    Parameters
    ----------
    executor_id : str
    need : Need
    run : Run
        The run that was stopped.
    until : float
        Monotonic time after which the place is no longer held, seconds.
    """

    executor_id: str
    need: Need
    run: object
    until: float


def hold_place(ledger, run, executor_id, now):
    """Hold a place for the task of a long-running run that is about to be stopped.

    Parameters
    ----------
    ledger : PoolLedger
    run : Run
    executor_id : str
        The executor on which the place is.
    now : float
        Monotonic time, seconds.
    """
    ledger.held_places[run.key] = HeldPlace(
        executor_id, compute_need(run.step), run, now + PLACE_HOLD_S
    )


def drop_old_places(ledger, now):
    """Drop the places that are no longer held or needed.

    A place is needed while the former run is being stopped and while the task waits.

    Parameters
    ----------
    ledger : PoolLedger
    now : float
        Monotonic time, seconds.
    """
    for key, place in list(ledger.held_places.items()):
        if now > place.until or not _is_needed(ledger, place):
            del ledger.held_places[key]


def release_place(ledger, key, offers):
    """Add a task's held place to the offers again; return its offer, or None.

    Parameters
    ----------
    ledger : PoolLedger
    key : TaskKey
    offers : dict of str to Offer
        By executor, without the capacity that is held.
    """
    place = ledger.held_places.get(key)
    offer = place and offers.get(place.executor_id)
    if offer is not None:
        offer.release(place.need, key[:3])
    return offer


def _is_needed(ledger, place):
    run = place.run
    if run.progress.outcome is not JobOutcome.OPEN:
        return False
    state = ledger.executors.get(place.executor_id)
    if state is None or state.is_draining or not state.reachable:
        return False
    if run.task.status is TaskStatus.WAITING:
        return True
    return ledger.is_current(run) and run.phase is RunPhase.STOPPING
