"""Ledgers, grants and trackers of pools' owners that lack one safeguard each.

`weakenedowners` lists them with the walks that find a second run without it.
"""

from dataclasses import replace

from peridotspoke.nodes.committing import CommitTracker
from peridotspoke.nodes.grants import LeaseGrants
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.runs import RunPhase
from peridotspoke.workloads.tests.ledgers import make_job
from peridotspoke.workloads.tests.ownershipmodel import World

__all__ = [
    "EarlierOwnerForgettingLedger",
    "EarlyAcknowledgingLedger",
    "EarlyStartingLedger",
    "HastyTracker",
    "InheritedRunDroppingLedger",
    "LateExtensionIgnoringLedger",
    "LateStartIgnoringLedger",
    "LeaseIgnoringLedger",
    "LostStartRetryingLedger",
    "RestartTrustingLedger",
    "SharedFenceLedger",
    "ShortInheritanceLedger",
    "ShortRestartLedger",
    "SilenceIgnoringGrants",
    "StaleReportTrustingLedger",
    "UnannouncedLifeLedger",
    "UnboundLedger",
    "UnconfirmedStartDroppingLedger",
    "UnreportedRunDroppingLedger",
    "UnsentFenceLedger",
    "make_unbound_world",
    "unbind",
]


class _Forgetful(dict):
    def __setitem__(self, key, value):
        return None


class UnboundLedger(PoolLedger):
    """Lets a task run anywhere although a start of it may still be carried out."""

    def __init__(self, pool, fence, rules, now, note=None):
        super().__init__(pool, fence, rules, now, note)
        self.late_starts = _Forgetful()

    def requeue(self, run, now, reason, proved_from=None, **fields):
        run.start_pending = False
        super().requeue(run, now, reason, proved_from, **fields)


def unbind(ledger):
    """Return the class of a ledger that also lacks the safeguard of `UnboundLedger`."""
    return type(f"Unbound{ledger.__name__}", (UnboundLedger, ledger), {})


class LostStartRetryingLedger(PoolLedger):
    """Retries a start that got no answer, although it may still be carried out."""

    def handle_start_timeout(self, run, now=None):
        if self.is_current(run):
            self.requeue(run, 0.0, "no answer")


class LeaseIgnoringLedger(PoolLedger):
    """Does not wait until the leases of unreachable executors expire."""

    def extend_lease(self, executor_id, lease_end):
        return None


class InheritedRunDroppingLedger(PoolLedger):
    """Takes the runs of an earlier owner as ended immediately."""

    def _add_inherited_run(self, progress, task):
        super()._add_inherited_run(progress, task)
        run = self.find_run(task)
        self.requeue(run, 0.0, "taken over")


class ShortInheritanceLedger(PoolLedger):
    """Does not wait until the leases that an earlier owner granted expire."""

    def __init__(self, pool, fence, rules, now, note=None):
        short_rules = replace(rules, inherited_lease=-2 * rules.restart_excess)
        super().__init__(pool, fence, short_rules, now, note)


class EarlierOwnerForgettingLedger(PoolLedger):
    """States its own leases, but not those that earlier owners may still extend."""

    def list_lease_waits(self, now):
        for state in self.executors.values():
            state.inherited_end = float("-inf")
        return super().list_lease_waits(now)


class LateStartIgnoringLedger(PoolLedger):
    """Takes each inherited start as carried out by the incarnation it was sent to."""

    def _add_inherited_run(self, progress, task):
        super()._add_inherited_run(progress, task)
        self.find_run(task).lease_excess = 0.0


class LateExtensionIgnoringLedger(PoolLedger):
    """Forgets what an earlier owner extended just before this one's first answer."""

    def bound_late_calls(self, state, now):
        late_end = state.late_end
        super().bound_late_calls(state, now)
        state.late_end = late_end


class EarlyAcknowledgingLedger(PoolLedger):
    """Acknowledges ended runs before their effect is stored."""

    def apply_report(self, executor_id, report, asked_at, now, wall, fence=None):
        super().apply_report(executor_id, report, asked_at, now, wall, fence)
        self.acknowledge_ends(self.list_end_cursors())


class EarlyStartingLedger(PoolLedger):
    """Starts runs although their job has ended, or they were released, meanwhile."""

    def note_stored(self, batch):
        for run in batch.runs:
            run.phase = RunPhase.STARTING
        return list(batch.runs)


class StaleReportTrustingLedger(PoolLedger):
    """Takes a report that was requested before a start was answered as fresh."""

    def _handle_unlisted_runs(self, state, listed, asked_at, now):
        super()._handle_unlisted_runs(state, listed, float("inf"), now)


class RestartTrustingLedger(PoolLedger):
    """Takes every run as ended once its executor has restarted."""

    def _handle_run_after_restart(self, run, now):
        self.requeue(run, now, "executor restarted")


class UnreportedRunDroppingLedger(PoolLedger):
    """Takes a run that no report has listed as ended once its executor restarts."""

    def _handle_run_after_restart(self, run, now):
        if run.phase in (RunPhase.RUNNING, RunPhase.STOPPING):
            if not run.start_unconfirmed:
                self.requeue(run, now, "executor restarted")
                return
        super()._handle_run_after_restart(run, now)


class UnconfirmedStartDroppingLedger(PoolLedger):
    """Takes a start without an answer as void once its executor restarts."""

    def _handle_run_after_restart(self, run, now):
        if run.start_unconfirmed or run.phase is RunPhase.STARTING:
            self.requeue(run, now, "executor restarted")
            return
        super()._handle_run_after_restart(run, now)


class SharedFenceLedger(PoolLedger):
    """Takes the fence that earlier lives of an executor have seen for its own."""

    def _update_incarnation(self, state, incarnation, now, source):
        super()._update_incarnation(state, incarnation, now, source)
        if state.fence:
            state.fenced_incarnation = state.incarnation


class UnsentFenceLedger(PoolLedger):
    """Takes a report for one under a life's own fence before that was sent."""

    def apply_report(self, executor_id, report, asked_at, now, wall, fence=None):
        super().apply_report(executor_id, report, asked_at, now, wall)


class UnannouncedLifeLedger(PoolLedger):
    """Starts runs on a life before it is published that it has answered."""

    def bound_late_calls(self, state, now):
        super().bound_late_calls(state, now)
        state.is_announced = True


class ShortRestartLedger(PoolLedger):
    """Expects that every lease ends when the executor's earlier clock says so."""

    def __init__(self, pool, fence, rules, now, note=None):
        exact_rules = replace(rules, restart_excess=0.0)
        super().__init__(pool, fence, exact_rules, now, note)


class SilenceIgnoringGrants(LeaseGrants):
    """Grants leases on executors on which none is said to be granted."""

    def find_limit(self, executor_id):
        return self._limit


class HastyTracker(CommitTracker):
    """Takes ended runs as stored although their jobs are still being stored."""

    def advance_cursors(self, list_cursors, dirty):
        return list_cursors()


def make_unbound_world(*steps):
    """Return a `World` in which a task may run elsewhere beside an earlier start of it.

    That it may not keeps the rules of its own in histories that show what fences and
    leases are for.
    """
    world = World(make_job(*steps))
    world.make_ledger = UnboundLedger
    world.take_over()
    world.retired.clear()
    world.first_fence = world.fence
    return world
