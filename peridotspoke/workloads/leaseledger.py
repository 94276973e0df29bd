"""The leases of a pool's runs: until when they may last, and their ends.

It answers executors that don't answer: a run there may go on until its lease has ended
on the slowest clock, whichever owner of the pool granted it.
"""

from peridotspoke.workloads.jobledger import JobLedger
from peridotspoke.workloads.runs import RunPhase

__all__ = ["LeaseLedger"]

SILENCE_DELAY_S = 0.3  # longer than a lost connection takes to be replaced
FIRST_ANSWER_LIMIT_S = 1.0  # for the answers of a pool's executors to a new owner


class LeaseLedger(JobLedger):
    """A `JobLedger` that awaits the leases of its executors' runs."""

    def extend_lease(self, executor_id, lease_end):
        """Record that the lease of an executor's runs may have been extended.

        Parameters
        ----------
        executor_id : str
        lease_end : float
            Latest time at which the lease can end, monotonic seconds.
        """
        state = self.executors.get(executor_id)
        if state is not None:
            state.lease_end = max(state.lease_end, lease_end)

    def expire_leases(self, now):
        """Release the runs that have certainly ended because their lease expired.

        This concerns executors that are unreachable or not listed. Those that are not
        listed are then removed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        for state in list(self.executors.values()):
            if now <= state.lease_end + self.rules.margin:
                continue
            if not state.reachable or state.entry is None:
                self._release_lapsed(state, now)
            if state.entry is None and not state.runs:
                del self.executors[state.executor_id]

    def list_lease_waits(self, now):
        """Return how long the leases of this owner and earlier ones may still last.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to float
            Seconds by executor, for each that may have runs, without the margin for a
            slow clock. They hold only if this owner extends no lease from now on. An
            owner that has taken no jobs in yet repeats what it was told.
        """
        return self._list_waits(self.executors.values(), now)

    def _list_waits(self, states, now):
        waits = {}
        if not self.jobs:
            waits = {name: end - now for name, end in self.stated_ends.items()}
        for state in states:
            ends = [self._compute_run_end(state, run) for run in state.runs.values()]
            if ends:
                waits[state.executor_id] = max(ends) - now
        return waits

    def list_silent(self, now):
        """Return how long the leases on executors may last that don't answer.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to float
            Seconds by executor, as in `list_lease_waits`, for those that have not
            answered for `SILENCE_DELAY_S`, or not for `FIRST_ANSWER_LIMIT_S` since
            the takeover.
        """
        states = self.executors.values()
        silent = [state for state in states if self._is_silent(state, now)]
        return self._list_waits(silent, now)

    def _is_silent(self, state, now):
        if state.reported_at is None:
            return now - self.taken_over_at >= FIRST_ANSWER_LIMIT_S
        return not state.reachable and now - state.unreachable_since >= SILENCE_DELAY_S

    def limit_inherited_leases(self, bound):
        """Record that no lease which earlier owners granted lasts longer.

        Parameters
        ----------
        bound : LeaseBound
        """
        if bound.end < self.former_bound.end:
            self.former_bound = bound
        for state in self.executors.values():
            longest = bound.end + state.restart_excess
            state.inherited_end = min(state.inherited_end, longest)

    def bound_late_extensions(self, state, now):
        """Record how long leases may last on an executor that reports at first.

        The executor has checked this owner's fence, so that it refuses what earlier
        owners send from now on. Their last extension may have come just before, on
        the clock of an earlier incarnation, and so have given the longest lease.

        Parameters
        ----------
        state : ExecutorState
        now : float
            Monotonic seconds.
        """
        phases = {run.phase for run in state.runs.values()}
        is_first = state.reported_at is None or RunPhase.INHERITED in phases
        longest_end = self.former_lease_end
        if state.has_inherited and is_first and now < longest_end:
            lease_end = min(longest_end, now + self.rules.run_lease)
            lease_end += self.rules.restart_excess
            state.lease_end = max(state.lease_end, lease_end)

    def _release_lapsed(self, state, now):
        lapsed = [
            run
            for run in state.runs.values()
            if now > self._compute_run_end(state, run) + self.rules.margin
        ]
        if lapsed and not state.reachable:
            self.note("leases-expired", executor=state.executor_id)
        for run in lapsed:
            hold = self._describe_hold(state, run, now)
            self.requeue(run, now, "lease expired", **hold)

    def _compute_run_end(self, state, run):
        """Return the time at which the lease of a run has ended, monotonic seconds.

        Earlier owners may extend the leases of runs that no report or answer has
        confirmed. A start that is not known to be confirmed may also be on a later
        incarnation, where its lease can last longer.
        """
        if run.is_confirmed:
            return state.lease_end
        excess = run.lease_excess
        if excess is None:
            excess = self.rules.restart_excess
        return max(state.lease_end, state.inherited_end) + excess

    def _describe_hold(self, state, run, now):
        """Return the log's fields about the lease that held a run.

        They are ``held_until``, monotonic seconds, and ``bound``: ``inherited`` if the
        lease is one that an earlier owner can have granted, else ``own``. What bounds
        an inherited one, and the age of that in seconds, is told as well.
        """
        held_until = self._compute_run_end(state, run) + self.rules.margin
        if run.is_confirmed or state.inherited_end < state.lease_end:
            return {"held_until": held_until, "bound": "own"}
        bound = self.former_bound
        is_stated = run.executor_id in self.stated_ends
        return {
            "held_until": held_until,
            "bound": "inherited",
            "bound_by": "statement" if is_stated else bound.source,
            "bound_age": now - bound.seen_at,
        }
