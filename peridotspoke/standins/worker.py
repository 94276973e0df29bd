"""A worker's stand-in: runs tasks under leases, with switchable faults."""

import asyncio
from collections import Counter
from dataclasses import dataclass, replace

import msgspec
from aiohttp import web

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
class _Task:
    start: StartTask
    began: float
    ends: float
    wanted: float
    cores: float
    lease_ends: float
    fails: bool


class TaskRunner:
    """What a worker does, without I/O; every method takes the worker's time.

    A task's command is ``run SECONDS [CORES]`` or ``fail SECONDS``. `runs` counts
    the runs of each task.
    """

    def __init__(self, name, accelerators=0, incarnation=1):
        self.name = name
        self.incarnation = incarnation
        self.faults = WorkerFaults()
        self.runs = Counter()
        self._free_accelerators = accelerators
        self._running = {}
        self._ended = {}
        self._fences = {}

    def restart(self):
        """Forget all tasks and count up the incarnation."""
        self._free_accelerators += sum(
            task.start.accelerators for task in self._running.values()
        )
        self._running, self._ended, self._fences = {}, {}, {}
        self.incarnation += 1

    def start_task(self, start, now):
        """Run a task and return None, or the `TaskEnd` of one that has ended."""
        self.advance(now)
        if start.task in self._running:
            return None
        if start.task in self._ended:
            return self._ended[start.task]
        if start.incarnation != self.incarnation:
            return TaskEnd(start.task, TaskOutcome.LOST, "the worker has restarted")
        reason = self._find_obstacle(start, now)
        if reason:
            return self._refuse(start.task, start.start_by, reason)
        self._fences[start.task] = start.start_by
        self._begin(start, now)
        return None

    def _find_obstacle(self, start, now):
        if now > start.start_by:
            return f"the time to start passed at {start.start_by}"
        if start.task in self._fences:
            return "the task was ended before"
        if start.accelerators > self._free_accelerators:
            return f"{self._free_accelerators} accelerators are free"
        return ""

    def _refuse(self, task, start_by, reason):
        self._fences[task] = max(start_by, self._fences.get(task, start_by))
        return TaskEnd(task, TaskOutcome.REFUSED, reason)

    def _begin(self, start, now):
        verb, seconds, *rest = (*start.command, "run", "0")[:3]
        run_time = 0.0 if self.faults.fail_all else float(seconds)
        cores = float(rest[0]) if rest and rest[0] != "run" else start.cores
        done = float(start.checkpoint or 0)
        self.runs[start.task] += 1
        self._free_accelerators -= start.accelerators
        self._running[start.task] = _Task(
            start,
            now - done,
            now + max(run_time - done, 0),
            cores,
            cores,
            now + start.lease_ttl,
            verb == "fail" or self.faults.fail_all,
        )

    def end_tasks(self, end, now):
        """End tasks and return a tuple with the `TaskEnd` of each."""
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
        run_time = now - running.began
        if end.how is TaskStop.CHECKPOINT:
            return self._conclude(
                task, TaskOutcome.CHECKPOINTED, run_time, checkpoint=f"{run_time:.6f}"
            )
        return self._conclude(task, TaskOutcome.STOPPED, run_time)

    def throttle_tasks(self, throttle, now):
        """Hold tasks to a number of cores; they take longer in proportion."""
        self.advance(now)
        for name in throttle.tasks:
            task = self._running.get(name)
            if task is None:
                continue
            cores = min(task.wanted, throttle.cores)
            left = (task.ends - now) * task.cores / cores
            self._running[name] = replace(task, cores=cores, ends=now + left)

    def exchange(self, exchange, now):
        """Renew leases and return a `WorkerReport`."""
        self.advance(now)
        for name in exchange.confirmed:
            self._ended.pop(name, None)
        for name in exchange.renewed:
            if name in self._running:
                self._running[name] = replace(
                    self._running[name], lease_ends=now + exchange.lease_ttl
                )
        running = tuple(
            self._measure(name, task, now) for name, task in self._running.items()
        )
        ended = tuple(self._ended.values())
        return WorkerReport(self.name, self.incarnation, now, running, ended)

    def has_news(self):
        """Return whether ends wait to be told."""
        return bool(self._ended)

    def advance(self, now):
        """Bring all tasks to the time `now`."""
        for name, task in list(self._running.items()):
            if min(task.ends, task.lease_ends) > now:
                continue
            run_time = min(task.ends, task.lease_ends) - task.began
            if task.lease_ends < task.ends:
                self._conclude(name, TaskOutcome.LAPSED, run_time)
            elif task.fails:
                self._conclude(name, TaskOutcome.FAILED, run_time)
            else:
                self._conclude(name, TaskOutcome.FINISHED, run_time)
        self._fences = {
            name: start_by
            for name, start_by in self._fences.items()
            if start_by >= now or name in self._running
        }

    def _measure(self, name, task, now):
        run_time = now - task.began
        seen = run_time >= self.faults.usage_lag
        return TaskLoad(
            name,
            task.cores if seen else 0.0,
            task.start.memory if seen else 0,
            run_time * self.faults.run_time_factor,
        )

    def _conclude(self, name, outcome, run_time, checkpoint=""):
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
    clock : Clock
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
        for name, (message_class, act) in routes.items():
            handler = self._make_handler(message_class, act)
            application.router.add_post(f"/tasks/{name}", handler)
        application.router.add_post("/standin/faults", self._switch_faults)
        return application

    def _make_handler(self, message_class, act):
        async def handle(request):
            faults = self.runner.faults
            body = await request.read()
            if faults.silent:
                await asyncio.Event().wait()
            while self.runner.faults.frozen:  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL)
            try:
                message = msgspec.json.decode(body, type=message_class)
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                return web.json_response({"error": str(error)}, status=400)
            answer = act(message, self._clock.read_monotonic())
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
        ends = now + exchange.wait
        while not self.runner.has_news() and now < ends:
            await asyncio.sleep(POLL_INTERVAL)
            now = self._clock.read_monotonic()
            report = self.runner.exchange(Exchange(), now)
        return report

    async def _switch_faults(self, request):
        self.runner.faults = msgspec.json.decode(
            await request.read(), type=WorkerFaults
        )
        return web.json_response({})
