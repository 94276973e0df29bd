"""A stand-in for a worker that runs tasks under leases, with fault injection."""

import asyncio
from collections import Counter
from dataclasses import dataclass, replace

import msgspec
from aiohttp import web

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import MalformedDataError
from peridotspoke.standins.faults import WorkerFaults
from peridotspoke.store.workers import (
    EndTasks,
    Exchange,
    StartTask,
    TaskEnd,
    TaskLoad,
    TaskOutcome,
    TaskStop,
    ThrottleTasks,
    WorkerReport,
)

__all__ = ["TaskRunner", "WorkerStandIn"]

POLL_INTERVAL = 0.02  # seconds
MAX_REQUEST = 1024 * 1024  # bytes


@dataclass(frozen=True, slots=True)
class _RunningTask:
    start: StartTask
    started_at: float
    ends_at: float
    requested_cores: float
    cores: float
    lease_ends_at: float
    fails: bool


class TaskRunner:
    """Simulates the tasks of a worker, without I/O.

    A task's command is ``run SECONDS [CORES]`` or ``fail SECONDS``. Methods that
    depend on the time take it in seconds of the worker's clock.

    Parameters
    ----------
    name : str
        Name of the worker.
    accelerators : int, optional
        Number of accelerators that the worker has.
    incarnation : int, optional
        Incarnation with which the worker starts.

    Attributes
    ----------
    faults : WorkerFaults
        The current faults.
    runs : collections.Counter
        Number of runs by task.
    """

    def __init__(self, name, accelerators=0, incarnation=1):
        self.name = name
        self.incarnation = incarnation
        self.faults = WorkerFaults()
        self.runs = Counter()
        self._free_accelerators = accelerators
        self._running = {}
        self._ended = {}
        self._start_deadlines = {}

    def restart(self):
        """Drop all tasks and increment the incarnation."""
        self._free_accelerators += sum(
            task.start.accelerators for task in self._running.values()
        )
        self._running, self._ended, self._start_deadlines = {}, {}, {}
        self.incarnation += 1

    def start_task(self, start, now):
        """Start a task unless it is running, has ended or is refused.

        Parameters
        ----------
        start : StartTask
            The task to start.
        now : float
            Current time in seconds.

        Returns
        -------
        TaskEnd or None
            None if the task is running, else how it ended or why it was refused.
        """
        self.advance(now)
        if start.task in self._running:
            return None
        if start.task in self._ended:
            return self._ended[start.task]
        if start.incarnation != self.incarnation:
            return TaskEnd(start.task, TaskOutcome.LOST, "the worker has restarted")
        reason = self._find_refusal_reason(start, now)
        if reason:
            return self._refuse(start.task, start.start_by, reason)
        self._start_deadlines[start.task] = start.start_by
        self._launch(start, now)
        return None

    def _find_refusal_reason(self, start, now):
        if now > start.start_by:
            return f"the time to start passed at {start.start_by}"
        if start.task in self._start_deadlines:
            return "the task was ended before"
        if start.accelerators > self._free_accelerators:
            return f"{self._free_accelerators} accelerators are free"
        return ""

    def _refuse(self, task, start_by, reason):
        self._start_deadlines[task] = max(
            start_by, self._start_deadlines.get(task, start_by)
        )
        return TaskEnd(task, TaskOutcome.REFUSED, reason)

    def _launch(self, start, now):
        verb, seconds, *arguments = (*start.command, "run", "0")[:3]
        run_time = 0.0 if self.faults.fail_all else float(seconds)
        cores = (
            float(arguments[0]) if arguments and arguments[0] != "run" else start.cores
        )
        prior_run_time = float(start.checkpoint or 0)
        self.runs[start.task] += 1
        self._free_accelerators -= start.accelerators
        self._running[start.task] = _RunningTask(
            start,
            now - prior_run_time,
            now + max(run_time - prior_run_time, 0),
            cores,
            cores,
            now + start.lease_ttl,
            verb == "fail" or self.faults.fail_all,
        )

    def end_tasks(self, end, now):
        """End the tasks that `end` names and return the `TaskEnd` of each."""
        self.advance(now)
        return tuple(self._end_task(task, end, now) for task in end.tasks)

    def _end_task(self, task, end, now):
        if end.incarnation != self.incarnation:
            return TaskEnd(task, TaskOutcome.LOST, "the worker has restarted")
        if task in self._ended:
            return self._ended[task]
        running = self._running.get(task)
        if running is None:
            return self._refuse(task, end.start_by, "ended before it began")
        run_time = now - running.started_at
        if end.how is TaskStop.CHECKPOINT:
            return self._record_end(
                task, TaskOutcome.CHECKPOINTED, run_time, checkpoint=f"{run_time:.6f}"
            )
        return self._record_end(task, TaskOutcome.STOPPED, run_time)

    def throttle_tasks(self, throttle, now):
        """Limit the cores of tasks; their remaining run time grows in proportion."""
        self.advance(now)
        for name in throttle.tasks:
            task = self._running.get(name)
            if task is None:
                continue
            cores = min(task.requested_cores, throttle.cores)
            remaining = (task.ends_at - now) * task.cores / cores
            self._running[name] = replace(task, cores=cores, ends_at=now + remaining)

    def exchange(self, exchange, now):
        """Drop confirmed ends, renew leases and return a `WorkerReport`."""
        self.advance(now)
        for name in exchange.confirmed:
            self._ended.pop(name, None)
        for name in exchange.renewed:
            if name in self._running:
                self._running[name] = replace(
                    self._running[name], lease_ends_at=now + exchange.lease_ttl
                )
        running = tuple(
            self._report_load(name, task, now) for name, task in self._running.items()
        )
        ended = tuple(self._ended.values())
        return WorkerReport(self.name, self.incarnation, now, running, ended)

    def has_unconfirmed_ends(self):
        """Return whether there are ended tasks that are not confirmed yet."""
        return bool(self._ended)

    def advance(self, now):
        """End the tasks whose run time or lease is over by `now`."""
        for name, task in list(self._running.items()):
            if min(task.ends_at, task.lease_ends_at) > now:
                continue
            run_time = min(task.ends_at, task.lease_ends_at) - task.started_at
            if task.lease_ends_at < task.ends_at:
                self._record_end(name, TaskOutcome.LAPSED, run_time)
            elif task.fails:
                self._record_end(name, TaskOutcome.FAILED, run_time)
            else:
                self._record_end(name, TaskOutcome.FINISHED, run_time)
        self._start_deadlines = {
            name: start_by
            for name, start_by in self._start_deadlines.items()
            if start_by >= now or name in self._running
        }

    def _report_load(self, name, task, now):
        run_time = now - task.started_at
        is_visible = run_time >= self.faults.usage_lag
        return TaskLoad(
            name,
            task.cores if is_visible else 0.0,
            task.start.memory if is_visible else 0,
            run_time * self.faults.run_time_factor,
        )

    def _record_end(self, name, outcome, run_time, checkpoint=""):
        task = self._running.pop(name)
        self._free_accelerators += task.start.accelerators
        reason = "the command failed" if outcome is TaskOutcome.FAILED else ""
        reported = run_time * self.faults.run_time_factor
        end = TaskEnd(name, outcome, reason, reported, checkpoint)
        self._ended[name] = end
        return end


class WorkerStandIn:
    """Serves a `TaskRunner` over HTTP.

    Parameters
    ----------
    runner : TaskRunner
        Runner that handles the calls.
    clock : Clock
        The worker's clock.
    """

    def __init__(self, runner, clock):
        self.runner = runner
        self._clock = clock

    def make_application(self):
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAX_REQUEST)
        routes = {
            "start": (StartTask, self.runner.start_task),
            "end": (EndTasks, self.runner.end_tasks),
            "throttle": (ThrottleTasks, self.runner.throttle_tasks),
            "exchange": (Exchange, self._exchange),
        }
        for name, (message_class, carry_out) in routes.items():
            handler = self._make_handler(message_class, carry_out)
            application.router.add_post(f"/tasks/{name}", handler)
        application.router.add_post("/standin/faults", self._replace_faults)
        return application

    def _make_handler(self, message_class, carry_out):
        async def handle(request):
            faults = self.runner.faults
            body = await request.read()
            if faults.silent:
                await asyncio.Event().wait()
            while self.runner.faults.frozen:  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL)
            try:
                message = decode_json(body, message_class)
            except MalformedDataError as error:
                return web.json_response({"error": str(error)}, status=400)
            answer = carry_out(message, self._clock.read_monotonic())
            if asyncio.iscoroutine(answer):
                answer = await answer
            if faults.lose_answers > 0:
                self.runner.faults = replace(
                    faults, lose_answers=faults.lose_answers - 1
                )
                request.transport.abort()
            return web.Response(body=msgspec.json.encode(answer))

        return handle

    async def _exchange(self, exchange, now):
        report = self.runner.exchange(exchange, now)
        deadline = now + exchange.wait
        while not self.runner.has_unconfirmed_ends() and now < deadline:
            await asyncio.sleep(POLL_INTERVAL)
            now = self._clock.read_monotonic()
            report = self.runner.exchange(Exchange(), now)
        return report

    async def _replace_faults(self, request):
        self.runner.faults = msgspec.json.decode(
            await request.read(), type=WorkerFaults
        )
        return web.json_response({})
