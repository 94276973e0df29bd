"""Schedules the jobs of one pool while this node owns the pool.

Each round handles messages from executors, plans runs and stores the progress of jobs.
A run is started only after the progress that records it has been stored.
"""

import asyncio
from functools import partial

from peridotspoke.exceptions import RecordError
from peridotspoke.logs import log_event
from peridotspoke.nodes.committing import (
    MAX_JOBS_PER_COMMIT,
    CommitTracker,
    OwnershipLostError,
    ProgressWriter,
)
from peridotspoke.nodes.grants import NEVER
from peridotspoke.nodes.leaserules import derive_ledger_rules
from peridotspoke.nodes.messages import (
    CommitDone,
    ExecutorCallFailed,
    ExecutorLeft,
    Fenced,
    ReportArrived,
    StartAnswered,
    StartLost,
    StopAnswered,
)
from peridotspoke.nodes.poolevents import WaitingReport, describe_job, format_fields
from peridotspoke.nodes.poolrecords import PoolRecords
from peridotspoke.nodes.poolshares import SharedRounds
from peridotspoke.nodes.predecessors import InheritedLeases
from peridotspoke.nodes.quotas import PoolQuotas
from peridotspoke.nodes.runcounters import count_run_event
from peridotspoke.nodes.sessions import ExecutorSession, SessionRules
from peridotspoke.nodes.tasksets import TaskSet, keep_running
from peridotspoke.nodes.tickets import TicketCache
from peridotspoke.nodes.view import wait_until
from peridotspoke.workloads.evacuation import plan_evacuation
from peridotspoke.workloads.executors import Refusal, ThrottleOrder
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.progress import decode_progress
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.throttling import plan_throttling

__all__ = ["PoolSupervisor"]

MESSAGE_TIMEOUT = 0.1  # seconds after which a round runs without a message
ROUND_PAUSE = 0.01  # seconds between two rounds


class PoolSupervisor:
    """Runs the scheduling rounds of one pool and owns the pool's ledger.

    Parameters
    ----------
    node : NodeParts
        Components shared by the node's tasks.
    holding : Holding
        The ownership of the pool; its fence is sent with each order.
    jobs : PoolJobs
        The pool's jobs as read from the store; updated by the caller while this node
        owns the pool.
    """

    def __init__(self, node, holding, jobs):
        self._node = node
        self._holding = holding
        self._jobs = jobs
        self._queue = asyncio.Queue()
        self._sessions = {}
        self._tasks = TaskSet(holding.unit)
        self._commit_tracker = CommitTracker()
        self._changed_jobs = set()
        self._changed_entries = set()
        self._revisions = {}
        settings = node.settings
        self._rules = SessionRules(
            run_lease=settings.run_lease,
            poll_wait=settings.timing.poll_wait,
            call=settings.timing.call,
        )
        self._ledger = PoolLedger(
            holding.unit,
            holding.fence,
            derive_ledger_rules(settings),
            node.clock.read_monotonic(),
            self._log,
        )
        self._ledger.expect_lease_ends(holding.lease_ends)
        self._inherited_leases = InheritedLeases(node, holding, self._ledger)
        self._tickets = TicketCache(
            node.advice, node.clock, node.view.find_advice, self._ledger
        )
        self._writer = ProgressWriter(
            node.commits, holding, self._revisions, node.chance, node.pause
        )
        self._records = PoolRecords(
            node, holding, jobs, self._ledger, self._tasks, self._writer.forget
        )
        self._waiting = WaitingReport(
            self._ledger, self._tickets.list_granted, node.metrics, self._log
        )
        self._shares = SharedRounds(node.view, self.pool, node.metrics, self._log)
        wake = partial(self._queue.put_nowait, None)
        self._quotas = PoolQuotas(
            node, holding, jobs, self._ledger, self._tasks, self._log, wake
        )

    @property
    def pool(self):
        """The name of the pool."""
        return self._holding.unit

    def list_lease_waits(self):
        """Return for how many seconds leases may still last, by executor."""
        return self._ledger.list_lease_waits(self._node.clock.read_monotonic())

    async def run(self):
        """Run scheduling rounds until cancelled.

        The node cancels this task once the ownership is lost. The first round waits
        until the view includes this node's claim and the jobs as of that claim: with
        an older view it could start work on executors that the former owner had
        emptied.
        """
        view, jobs = self._node.view, self._jobs
        fence = self._holding.fence
        await wait_until(
            view.changes, lambda: view.revision >= fence and view.entries_loaded
        )
        await wait_until(jobs.changes, lambda: jobs.revision >= fence)
        subscriptions = (
            view.changes.subscribe(self._collect_changed_entries),
            jobs.changes.subscribe(self._collect_changed_jobs),
        )
        self._inherited_leases.begin()
        try:
            self._changed_jobs.update(jobs.views)
            self._changed_entries.update(view.entries)
            while True:
                await self._receive_messages()
                self._run_round()
                await asyncio.sleep(ROUND_PAUSE)
        finally:
            for subscription in subscriptions:
                subscription.dispose()
            self._waiting.clear()
            self._shares.clear()
            self._quotas.clear()
            self._tasks.cancel()

    def _log(self, event, **fields):
        """Log an event of the ledger with the pool's name."""
        count_run_event(self._node.metrics, event, fields)
        log_event(event, pool=self.pool, **format_fields(fields, self._node.clock))

    def _collect_changed_entries(self, changed):
        self._changed_entries |= changed.get("entry", set())
        if self._changed_entries:
            self._queue.put_nowait(None)

    def _collect_changed_jobs(self, job_ids):
        self._changed_jobs |= job_ids
        if self._changed_jobs:
            self._queue.put_nowait(None)

    async def _receive_messages(self):
        try:
            async with asyncio.timeout(MESSAGE_TIMEOUT):
                message = await self._queue.get()
        except TimeoutError:
            return
        self._handle(message)
        while not self._queue.empty():
            self._handle(self._queue.get_nowait())

    def _handle(self, message):
        ledger = self._ledger
        now = self._node.clock.read_monotonic()
        wall = self._node.clock.read_wall()
        match message:
            case ReportArrived(executor_id, report, asked_at, fence):
                ledger.apply_report(executor_id, report, asked_at, now, wall, fence)
                ledger.stop_slow_runs(executor_id, now)
            case StartAnswered(run, refusal, by_known_incarnation):
                if refusal is Refusal.TICKET:
                    self._tickets.drop(run.key[:3], run.executor_id)
                ledger.apply_start_answer(run, refusal, now, by_known_incarnation)
            case StartLost(run):
                ledger.handle_start_timeout(run, now)
            case StopAnswered(executor_id, order, refusal, incarnation):
                ledger.apply_stop_answer(executor_id, order, now, refusal, incarnation)
            case ExecutorCallFailed(executor_id, reason):
                ledger.note_unreachable(executor_id, reason, now)
            case ExecutorLeft(executor_id, address, incarnation):
                ledger.release_departed(executor_id, address, now, incarnation)
            case Fenced(executor_id):
                log_event("fenced", "WARNING", pool=self.pool, executor=executor_id)
                self._node.ownership.give_up(self._holding, "fenced by an executor")
            case CommitDone(batch, number):
                self._commit_tracker.end(number)
                self._start_runs(batch)

    def _run_round(self):
        self._apply_changes()
        now = self._node.clock.read_monotonic()
        self._inherited_leases.update(now)
        self._ledger.expire_leases(now)
        self._ledger.requeue_speculative(now)
        self._records.apply_withdrawals()
        if self._node.ownership.may_order():
            for run in plan_evacuation(self._ledger, now):
                self._ledger.stop_run(run, "the executor is leaving")
            if self._records.grants.allow_starts(now + self._rules.run_lease):
                self._plan_runs(now)
            self._send_throttling(now)
        self._ledger.request_due_reports(now)
        self._update_sessions()
        self._send_stops()
        self._send_report_requests()
        self._waiting.update(now)
        self._shares.update(now)
        self._records.update_demand(now)
        self._records.remove_old_jobs(now)
        self._store_progress(now)

    def _plan_runs(self, now):
        wall, shares = self._node.clock.read_wall(), self._shares.get()
        self._tickets.remove_ended_jobs()
        quotas = self._quotas.begin_round(now, wall)
        plan_runs(self._ledger, now, wall, self._tickets.find, shares, quotas)
        self._quotas.end_round(now, wall)

    def _apply_changes(self):
        view = self._node.view
        now = self._node.clock.read_monotonic()
        entries, self._changed_entries = self._changed_entries, set()
        for executor_id in entries:
            entry = view.entries.get(executor_id)
            if entry is not None and entry.pool == self.pool:
                self._ledger.see_entry(entry, now)
            else:
                self._ledger.lose_entry(executor_id)
        jobs, self._changed_jobs = self._changed_jobs, set()
        for job_id in jobs:
            self._apply_job(self._jobs.find(job_id))

    def _apply_job(self, job_view):
        if job_view is None:
            return
        job_id = job_view.job.job_id
        if job_id not in self._ledger.jobs:
            if job_view.summary is not None and job_view.summary.outcome:
                return
            if job_id in self._revisions:
                return
            try:
                progress = decode_progress(job_view.job, job_view.progress)
            except RecordError as error:
                log_event("progress-unreadable", "ERROR", job=job_id, error=error)
                return
            stored = job_view.progress
            self._revisions[job_id] = stored.revision if stored else 0
            self._log(
                "job-taken",
                revision=job_view.revision,
                progress=self._revisions[job_id],
                **describe_job(progress),
            )
            self._ledger.add_job(progress)
            self._records.record_arrival(job_view.job)
        if job_view.cancelled:
            self._ledger.cancel_job(job_id, self._node.clock.read_wall())

    def _store_progress(self, now):
        """Start commits of changed jobs, and acknowledge ends that are stored.

        Executors may forget the acknowledged ends.
        """
        ledger, tracker = self._ledger, self._commit_tracker
        ledger.hasten_begun_jobs(now)
        committing = tracker.list_jobs()
        while tracker.may_begin(len(ledger.dirty - committing), now):
            batch = ledger.take_batch(MAX_JOBS_PER_COMMIT, committing)
            number = tracker.begin(batch.values, now)
            self._tasks.spawn(self._commit(batch, number))
            committing = tracker.list_jobs()
        cursors = tracker.advance_cursors(ledger.list_end_cursors, ledger.dirty)
        if cursors is not None:
            ledger.acknowledge_ends(cursors)

    async def _commit(self, batch, number):
        try:
            if batch.values:
                await self._writer.write(batch.values)
        except OwnershipLostError:
            self._node.ownership.give_up(
                self._holding, "the store names another owner or none"
            )
            return
        except Exception as error:
            log_event("commit-failed", "ERROR", pool=self.pool, error=repr(error))
            self._node.ownership.give_up(self._holding, "a commit failed")
            return
        self._queue.put_nowait(CommitDone(batch, number))

    def _start_runs(self, batch):
        for run in self._ledger.note_stored(batch):
            session = self._sessions.get(run.executor_id)
            if session is None or not self._node.ownership.may_order():
                now = self._node.clock.read_monotonic()
                self._ledger.apply_start_answer(run, Refusal.LATE, now)
                continue
            self._log(
                "run-ordered",
                task=run.key,
                run=run.number,
                executor=run.executor_id,
                born=self._ledger.executors[run.executor_id].incarnation,
                address=session[2],
                fence=self._holding.fence,
                lasting=run.step.lasting or None,
            )
            self._tasks.spawn(session[0].start(run))

    def _send_stops(self):
        for command in self._ledger.list_stops():
            task_name = (command.executor_id, command.order)
            session = self._sessions.get(command.executor_id)
            if session is not None and task_name not in self._tasks.running_names:
                stop = session[0].stop(command.order, self._ledger.is_stop_due)
                self._tasks.spawn_once(task_name, stop)

    def _send_throttling(self, now):
        for run, share in plan_throttling(self._ledger, now):
            session = self._sessions.get(run.executor_id)
            if session is None:
                continue
            run.share, run.throttled_at = share, now
            self._log("run-paced", task=run.key, run=run.number, share=share)
            order = ThrottleOrder(run.key, run.number, share, self._holding.fence)
            self._tasks.spawn(session[0].throttle(order))

    def _send_report_requests(self):
        requested = self._ledger.requested_reports
        while requested:
            executor_id = requested.pop()
            session = self._sessions.get(executor_id)
            if session is not None and executor_id not in self._tasks.running_names:
                self._tasks.spawn_once(executor_id, session[0].request_report())

    def _update_sessions(self):
        executors = self._ledger.executors
        for executor_id, state in executors.items():
            if state.entry is None:
                continue
            if executor_id in self._sessions:
                session, _, address = self._sessions[executor_id]
                if address == state.entry.address and session.follows(state):
                    continue
                self._close_session(executor_id)
            self._open_session(state)
        for executor_id in self._sessions.keys() - executors.keys():
            self._close_session(executor_id)

    def _close_session(self, executor_id):
        task = self._sessions.pop(executor_id)[1]
        task.cancel()

    def _find_lease_limit(self, executor_id):
        """Return until when leases on an executor may last, monotonic seconds.

        None is granted any more once the pool is given up.
        """
        ownership = self._node.ownership
        if not ownership.is_held(self._holding) or not ownership.may_extend_leases():
            return NEVER
        return self._records.grants.find_limit(executor_id)

    def _find_fence(self):
        """Return the highest fencing token that may be sent to executors."""
        return self._records.grants.fence

    def _open_session(self, state):
        session = ExecutorSession(
            state,
            self._node.open_executor(state.entry),
            self._find_fence,
            self._rules,
            self._node.clock,
            self._node.ownership.may_order,
            partial(self._find_lease_limit, state.executor_id),
            self._queue.put_nowait,
            self._ledger.extend_lease,
        )
        run = keep_running(f"session with {state.executor_id}", session.run)
        task = self._tasks.spawn(run)
        self._sessions[state.executor_id] = (session, task, state.entry.address)
