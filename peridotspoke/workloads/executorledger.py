"""The executors of a pool: whether they are listed and answer, and their restarts."""

from peridotspoke.workloads.evidence import compute_age
from peridotspoke.workloads.leaseledger import LeaseLedger
from peridotspoke.workloads.runs import RunPhase
from peridotspoke.workloads.slowruns import find_slow_runs

__all__ = ["ExecutorLedger"]

COPY_DELAY_S = 0.5  # since it became unreachable; a poll's time-out comes before it
STALL_PENALTY = 2.0  # added for each report that shows stalled runs


class ExecutorLedger(LeaseLedger):
    """A `LeaseLedger` that follows its executors."""

    def see_entry(self, entry, now):
        """Record the entry of an executor of this pool.

        Parameters
        ----------
        entry : ExecutorEntry
        now : float
            Monotonic seconds.
        """
        if entry.executor_id not in self.executors:
            self.add_executor(entry.executor_id, now).lease_end = now
        state = self.executors[entry.executor_id]
        if state.entry is None or state.entry.condition is not entry.condition:
            self.note(
                "executor-listed",
                executor=entry.executor_id,
                condition=str(entry.condition),
                sequence=entry.sequence,
            )
        state.entry = state.last_entry = entry
        self._update_incarnation(state, entry.incarnation, now, "entry")

    def lose_entry(self, executor_id):
        """Record that an executor is no longer listed in this pool."""
        state = self.executors.get(executor_id)
        if state is not None and state.entry is not None:
            state.entry = None
            self.note("executor-unlisted", executor=executor_id, runs=len(state.runs))

    def set_withdrawn(self, executor_ids):
        """Record which executors are being emptied.

        Parameters
        ----------
        executor_ids : set of str
            All of them; every other executor takes new runs again.
        """
        for state in self.executors.values():
            withdrawn = state.executor_id in executor_ids
            if withdrawn != state.withdrawn:
                state.withdrawn = withdrawn
                self.note(
                    "executor-withdrawn",
                    executor=state.executor_id,
                    withdrawn=withdrawn,
                    runs=len(state.runs),
                )

    def is_empty(self, executor_id):
        """Return whether an executor has no runs, nor any that may still start."""
        state = self.executors.get(executor_id)
        return state is None or not (state.runs or state.foreign)

    def release_departed(self, executor_id, address, now, incarnation=None):
        """Release the runs of an executor at whose address another one answers.

        One whose start got no answer is held until its lease has ended, as the executor
        may be back under its identity elsewhere, and carry that out. The answer says
        nothing about an incarnation that is listed at another address, or that is newer
        than the entry: it may go on with its runs elsewhere.

        Parameters
        ----------
        executor_id : str
        address : str
            As ``host:port``.
        now : float
            Monotonic seconds.
        incarnation : int or None, optional
            The executor's incarnation that was known as the call was sent: a later one
            may have the address again. None if any is meant.
        """
        state = self.executors.get(executor_id)
        if state is None:
            return
        self.note(
            "executor-replaced",
            executor=executor_id,
            address=address,
            listed=state.entry is not None and state.entry.address,
            runs=len(state.runs),
        )
        is_outdated = incarnation not in (None, state.incarnation)
        if is_outdated or not state.has_address(address):
            return
        for run in list(state.runs.values()):
            is_inherited = run.phase is RunPhase.INHERITED
            if is_inherited or not run.start_pending:
                self.requeue(run, now, "executor left")
        if state.entry is None and not state.runs:
            self.remove_executor(state, now)

    def _update_incarnation(self, state, incarnation, now, source):
        """Record an executor's incarnation; drop what belongs to an earlier one.

        The log names the source, which is the executor's entry or its report.
        """
        if incarnation and incarnation < state.incarnation:
            self._note_ignored(state, incarnation, source)
        if not incarnation or incarnation <= state.incarnation:
            return
        if state.incarnation:
            self.note(
                "executor-reborn",
                executor=state.executor_id,
                born=incarnation,
                before=state.incarnation,
                by=source,
                runs=len(state.runs),
                unanswered_age=compute_age(state.unanswered_at, now),
                lease_left=state.lease_end - now,
            )
            state.cursor = state.acknowledged = 0
            state.foreign.clear()
            state.reported_at = state.answered_at = None
            state.is_announced, state.may_be_reborn = False, True
            state.late_excess = self.rules.restart_excess
            self.prolong_late_leases(state, now)
            for run in list(state.runs.values()):
                self._handle_run_after_restart(run, now)
        state.incarnation = incarnation
        state.known_since = now

    def _note_ignored(self, state, incarnation, source):
        """Log, unless it was just done, that word of an earlier incarnation came."""
        if state.ignored_incarnation != incarnation:
            state.ignored_incarnation = incarnation
            self.note(
                "incarnation-ignored",
                executor=state.executor_id,
                born=incarnation,
                known=state.incarnation,
                by=source,
            )

    def _handle_run_after_restart(self, run, now):
        """Release a run that ended when its executor restarted.

        The new incarnation may have carried out a start that was sent before the
        restart was known. So a run that no incarnation has confirmed yet stays until a
        report of the new one shows whether it runs there, and a start without an
        answer is stopped there first. An inherited run stays as well: its start can't
        be carried out any more once the executor has answered a request under this
        owner's fence.
        """
        if run.phase is RunPhase.INHERITED:
            run.missing_since = None
            return
        if run.start_unconfirmed or run.phase is RunPhase.STARTING:
            run.start_unconfirmed = True
            run.stop_answered_at = None
            self.stop_run(run, "start unconfirmed when the executor restarted")
        elif run.is_confirmed or run.phase is RunPhase.PLANNED:
            self.requeue(run, now, "executor restarted")
        else:
            run.stop_answered_at = None
            self.requested_reports.add(run.executor_id)

    def note_unreachable(self, executor_id, reason, now):
        """Record that a call to an executor got no answer.

        Parameters
        ----------
        executor_id : str
        reason : str
            Logged.
        now : float
            Monotonic seconds.
        """
        state = self.executors.get(executor_id)
        if state is None:
            return
        state.unanswered_at = now
        if state.reachable:
            state.reachable = False
            state.unreachable_since = now
            self.note("executor-unreachable", executor=executor_id, reason=reason)

    def requeue_speculative(self, now):
        """Requeue the speculative tasks of unreachable executors to be run elsewhere.

        The earlier run may go on, so that two copies may run. A task that has failed
        before is not copied, as a failure of both copies could count as one attempt
        too many.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        for state in self.executors.values():
            if state.reachable or now - state.unreachable_since < COPY_DELAY_S:
                continue
            for run in list(state.runs.values()):
                if not run.step.speculative or run.task.failures:
                    continue
                if run.phase is not RunPhase.PLANNED:
                    self.copied_runs.add((run.key, run.number))
                    self.record_given_up(state, run, now)
                    self.requeue(run, now, "executor unreachable, task may run twice")

    def stop_slow_runs(self, executor_id, now):
        """Stop the runs of an executor that make no progress or are far too slow.

        Parameters
        ----------
        executor_id : str
        now : float
            Monotonic seconds.
        """
        state = self.executors.get(executor_id)
        if state is None:
            return
        slow_runs = list(find_slow_runs(self, state, now))
        if slow_runs:
            self.penalize(state, now, STALL_PENALTY)
        for run in slow_runs:
            self.failed_on.setdefault(run.key, set()).add(executor_id)
            self.slow_stops[run.key] = self.slow_stops.get(run.key, 0) + 1
            self.stop_run(run, f"stalled at {run.percent} percent")

    def request_due_reports(self, now):
        """Request a report where the next one can show that a run is over.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        for run in list(self.unproven_runs):
            proof_time = self.find_end_proof_time(run)
            if proof_time is None or not self.is_current(run):
                self.unproven_runs.discard(run)
                continue
            state = self.executors[run.executor_id]
            if state.reported_at is None or not state.reachable:
                continue
            if not state.has_own_fence:
                continue
            if state.reported_at < proof_time < now:
                self.requested_reports.add(run.executor_id)

    def find_end_proof_time(self, run):
        """Return from when on a report that does not list a run proves its end.

        Parameters
        ----------
        run : Run

        Returns
        -------
        float or None
            Monotonic seconds, of the report's request. None if no report proves it as
            yet: the run is listed, or its stop was not answered.

        Notes
        -----
        An executor may list a run that it is stopping neither as running nor as ended,
        whether this owner or an earlier one ordered that, or its lease has expired.
        """
        is_stopping = run.phase is RunPhase.STOPPING
        begun_at = run.stop_answered_at if is_stopping else run.missing_since
        return None if begun_at is None else begun_at + self.rules.stop_limit

    def list_end_cursors(self):
        """Return how far the ended runs of each executor are processed.

        Returns
        -------
        dict of str to tuple of (int, int)
            The start of the incarnation, Unix milliseconds, and the number of the last
            processed ended run, by executor.
        """
        return {
            state.executor_id: (state.incarnation, state.cursor)
            for state in self.executors.values()
        }

    def acknowledge_ends(self, cursors):
        """Record up to which ended run of each executor the effects are stored.

        The executor may forget the ended runs up to that one.

        Parameters
        ----------
        cursors : dict of str to tuple of (int, int)
            An earlier result of `list_end_cursors`. Cursors of earlier incarnations are
            ignored.
        """
        for executor_id, (incarnation, cursor) in cursors.items():
            state = self.executors.get(executor_id)
            if state is not None and state.incarnation == incarnation:
                state.acknowledged = max(state.acknowledged, cursor)
