"""The leases of a pool's runs: until when they may last, and their ends.

It answers executors that don't answer: a run there may go on until its lease has ended
on the slowest clock, whichever owner of the pool granted it.
"""

from peridotspoke.workloads.evidence import compute_age
from peridotspoke.workloads.jobledger import JobLedger

__all__ = ["LeaseLedger"]

MAX_GIVEN_UP_RUNS = 10_000  # kept where no limit needs them
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
                self.remove_executor(state, now)

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
            state.inherited_end = min(state.inherited_end, bound.end)

    def bound_late_calls(self, state, now):
        """Record how long leases may last on an incarnation that answers at first.

        The answer is one to a call with its own fencing token, so that it refuses from
        now on what this owner sent to earlier incarnations, and what earlier owners
        sent to any. One of these calls may have come just before, on the clock of an
        earlier incarnation, and so have granted the longest lease.

        Parameters
        ----------
        state : ExecutorState
        now : float
            Monotonic seconds.
        """
        if state.answered_at is not None:
            return
        state.answered_at, state.late_excess = now, 0.0
        if not state.may_be_reborn or not self.rules.longest_lease:
            state.is_announced = True
            return
        self.prolong_late_leases(state, now)
        self.note(
            "executor-fenced",
            executor=state.executor_id,
            born=state.incarnation,
            fence=state.fence,
            born_age=compute_age(state.known_since, now),
            runs=len(state.runs),
        )

    def prolong_late_leases(self, state, now):
        """Record that a late call may just have granted the longest lease.

        Parameters
        ----------
        state : ExecutorState
        now : float
            Monotonic seconds.
        """
        state.late_end = max(state.late_end, now + self.rules.longest_lease)

    def list_late_ends(self, now):
        """Return how long leases may last that late calls have granted.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to float
            Seconds by executor; those of which none can last any more are left out.
        """
        ends = dict(self.late_ends)
        for state in self.executors.values():
            ends[state.executor_id] = state.late_end + state.late_excess
        return {name: end - now for name, end in ends.items() if end > now}

    def needs_publication(self, fence):
        """Return whether an executor takes no work until a publication is stored.

        Parameters
        ----------
        fence : int
            The highest fencing token that is available until then.
        """
        return any(
            (state.answered_at is not None and not state.is_announced)
            or (state.lacks_first_fence and state.fence >= fence)
            for state in self.executors.values()
            if state.entry is not None
        )

    def note_published(self, begun_at):
        """Record that a publication is stored, so that a later owner knows of it.

        Parameters
        ----------
        begun_at : float
            When it was made from `list_late_ends`, monotonic seconds.
        """
        for state in self.executors.values():
            answered_at = state.answered_at
            if state.is_announced or answered_at is None or answered_at > begun_at:
                continue
            state.is_announced = True
            for run in state.runs.values():
                self.record_confirmation(run)

    def record_confirmation(self, run):
        """Let it be stored that a run's incarnation is known, once it is announced.

        A later owner then awaits no lease that an unknown incarnation may have granted.

        Parameters
        ----------
        run : Run
        """
        task, state = run.task, self.executors[run.executor_id]
        if not run.is_confirmed or not state.is_announced:
            return
        if task.incarnation != state.incarnation or not task.incarnation:
            return
        if run.step.lasting and not task.confirmed:
            self.mark_changed(run.key.job_id)
        task.confirmed = True

    def record_given_up(self, state, run, now):
        """Record a run that is given up in favour of a copy, for its workspace's quota.

        It goes to `given_up_runs`, from which `UseCounter` takes it, with the time and
        that until which its start may still be carried out.

        Parameters
        ----------
        state : ExecutorState
        run : Run
        now : float
            Monotonic seconds.
        """
        if not run.progress.job.workspace:
            return
        is_answered = run.is_confirmed and not run.start_unconfirmed
        end = self._compute_run_end(state, run) + self.rules.margin
        ordered_until = float("-inf") if is_answered else end
        self.given_up_runs.append((run, now, ordered_until))
        del self.given_up_runs[:-MAX_GIVEN_UP_RUNS]

    def has_lapsed(self, state, run, now):
        """Return whether the lease of a run that was given up has certainly ended.

        Parameters
        ----------
        state : ExecutorState
        run : Run or None
            None if the ledger never had it.
        now : float
            Monotonic seconds.
        """
        if run is not None:
            return now > self._compute_run_end(state, run) + self.rules.margin
        end = max(state.lease_end, state.inherited_end) + self.rules.restart_excess
        return now > max(end, state.late_end + state.late_excess) + self.rules.margin

    def find_former_end(self):
        """Return when every lease has ended that earlier owners granted anywhere.

        Returns
        -------
        float
            Monotonic seconds, with the margin for a slow clock.
        """
        late_ends = (self.unstated_late_end, *self.late_ends.values())
        end = self.former_lease_end + self.rules.restart_excess
        return max(end, *late_ends) + self.rules.margin

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
        incarnation, where its lease can last longer. Late calls may have prolonged
        either.
        """
        late_end = state.late_end + state.late_excess
        if run.is_confirmed:
            return max(state.lease_end, late_end)
        excess = run.lease_excess
        if excess is None:
            excess = self.rules.restart_excess
        return max(max(state.lease_end, state.inherited_end) + excess, late_end)

    def _describe_hold(self, state, run, now):
        """Return the log's fields about the lease that held a run.

        They are ``held_until``, monotonic seconds, and ``bound``: ``inherited`` if the
        lease is one that an earlier owner can have granted, ``late call`` if a call to
        an earlier incarnation can, else ``own``. What bounds an inherited one, and the
        age of that in seconds, is told as well.
        """
        held_until = self._compute_run_end(state, run) + self.rules.margin
        if held_until <= state.late_end + state.late_excess + self.rules.margin:
            return {"held_until": held_until, "bound": "late call"}
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
