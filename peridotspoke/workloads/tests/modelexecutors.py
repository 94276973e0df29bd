"""An executor in the histories of `ownershipmodel`."""

from dataclasses import dataclass, field

from peridotspoke.workloads.executors import (
    EndedRun,
    EndKind,
    Refusal,
    ReportedRun,
    RunReport,
)

__all__ = ["MAX_LEASE_S", "ModelExecutor"]

MAX_LEASE_S = 10.0  # to which an executor shortens a longer lease
RESTART_S = 0.1  # time that a restart takes at least


@dataclass
class ModelExecutor:
    """An executor that remembers the highest fence and refuses superseded orders.

    Parameters
    ----------
    name : str
    world : World
    incarnation : int
        Number of its incarnation, from 1.
    fence : int
        Highest fence of the orders that this incarnation received.
    lease_end : float
        When the lease of its runs expires, seconds.
    running : dict of TaskKey to int
        Number of the run of each task that runs.
    latest : dict of TaskKey to int
        Highest number of a run of each task that was stopped or has ended.
    late : set of TaskKey
        Tasks that run by a start which was meant for an earlier incarnation.
    ended : list of EndedRun
        Ended runs that are not acknowledged.
    lapsed : set of EndedRun
        Ended runs that were not acknowledged when the lease expired. The platform's
        rule on double runs (RULES, TWICE) doesn't count their later acknowledgement.
    number : int
        Number of the latest ended run.
    """

    name: str
    world: object
    incarnation: int = 1
    fence: int = 0
    lease_end: float = 0.0
    running: dict = field(default_factory=dict)
    latest: dict = field(default_factory=dict)
    late: set = field(default_factory=set)
    ended: list = field(default_factory=list)
    lapsed: set = field(default_factory=set)
    number: int = 0

    def limit_lease(self, lease_end, incarnation):
        """Return the end of a lease whose end was stated on an incarnation's clock.

        The clock of each incarnation starts anew, so that a time on the clock of an
        earlier one means the longest lease.
        """
        longest = self.world.now + MAX_LEASE_S
        return lease_end if incarnation == self.incarnation else longest

    def start(self, key, run, fence, lease_end):
        """Start a run with a lease until `lease_end`; return None, or the `Refusal`."""
        if fence < self.fence:
            return Refusal.FENCED
        self.fence = fence
        if lease_end <= self.world.now:
            return Refusal.LATE
        self.lease_end = max(self.lease_end, lease_end)
        if self.running.get(key) == run:
            return None
        if run <= self.latest.get(key, 0):
            return Refusal.SUPERSEDED
        self.world.check_start(key, self)
        self.running[key] = run
        return None

    def stop(self, key, run, fence):
        """Stop a run and refuse its later start; return None, or the `Refusal`."""
        if fence < self.fence:
            return Refusal.FENCED
        self.fence = fence
        self.latest[key] = max(run, self.latest.get(key, 0))
        if self.running.get(key) == run:
            self.finish(key, EndKind.STOPPED)
        return None

    def answer_poll(self, poll):
        """Carry out a `ModelPoll` and return a report, whichever life it was meant for.

        Its lease is limited as it is carried out, on the clock of the present life.
        """
        lease_end = poll.lease_end
        if lease_end is not None:
            lease_end = self.limit_lease(lease_end, poll.incarnation)
        return self.renew_leases(poll.fence, poll.cursor, lease_end)

    def refuses_start(self, order):
        """Return whether a `ModelOrder` is a start that this incarnation refuses."""
        is_superseded = order.number <= self.latest.get(order.key, 0)
        return order.run is not None and (order.fence < self.fence or is_superseded)

    def renew_leases(self, fence, cursor, lease_end):
        """Forget the ended runs up to `cursor`, extend the lease and return a report.

        The lease is extended to `lease_end`, seconds, or not if that is None.
        """
        if fence < self.fence:
            return RunReport(0, self.incarnation, refusal=Refusal.FENCED)
        self.fence = fence
        for end in [end for end in self.ended if end.number <= cursor]:
            self.ended.remove(end)
            if end not in self.lapsed:
                self.world.acknowledge_end(self, end)
        if lease_end is not None:
            self.lease_end = max(self.lease_end, lease_end)
        running = tuple(
            ReportedRun(key, run, "", 50) for key, run in self.running.items()
        )
        return RunReport(0, self.incarnation, running, tuple(self.ended))

    def finish(self, key, kind):
        """End a task's run; `kind` is an `EndKind`."""
        run = self.running.pop(key)
        self.latest[key] = max(run, self.latest.get(key, 0))
        self.late.discard(key)
        self.number += 1
        end = EndedRun(self.number, key, run, kind, "")
        self.ended.append(end)
        if kind is EndKind.DONE:
            self.world.done.setdefault(key, []).append(
                (self.name, self.incarnation, end)
            )

    def lapse(self):
        """End all runs if their lease has expired, and note the ends listed then."""
        if self.world.now > self.lease_end:
            for key in list(self.running):
                self.finish(key, EndKind.LAPSED)
            self.lapsed.update(self.ended)

    def restart(self):
        """Begin a new incarnation, which has no runs and knows no fence."""
        self.world.pass_time(RESTART_S)
        for order in self.world.orders:
            if order.executor == self.name and self.refuses_start(order):
                order.was_refused = True
        self.incarnation += 1
        self.fence = self.number = 0
        self.lease_end = self.world.now
        self.running.clear()
        for collection in (self.latest, self.late, self.ended, self.lapsed):
            collection.clear()
