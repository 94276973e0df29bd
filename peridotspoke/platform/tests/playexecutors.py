"""Executor of a play: lives, gangs, slow stops, late orders, drains and cuts."""

import asyncio
import math
import random
import time
from dataclasses import dataclass

import msgspec

from peridotspoke.platform.standins import (
    MS_PER_SECOND,
    PATH_PREFIX,
    ExecutorStandIn,
    _RunningTask,
)

__all__ = ["PlayExecutor", "RunRecord", "TaskSpec"]

HEARTBEAT = 1.5  # seconds, as heartbeatMs
GANG_WAIT = 3.0  # seconds, as gangMs
LONGEST_STOP = 0.38  # seconds; stopMs is 400
SLOWEST_CLOCK = 0.98  # "its own steady clock, which may be 2% slow" (PROTOCOL.md)
LATE, LATEST = 4.0, 12.0  # seconds; how late most calls, and all, are carried out
LATEST_SHARE = 0.25  # share of the late calls that are later than most
OVERTAKEN_SHARE = 0.05  # share of the answers that come up to 0.6 s late
CAPACITY_CPU = 8000  # thousandths of a core
NEVER = 3600.0  # seconds
LOGGED_FIELDS = ("task", "run", "fence", "untilMs", "ackCursor", "percent")
START_PATH, STOP_PATH = PATH_PREFIX + "run-start", PATH_PREFIX + "run-stop"


class TaskSpec(msgspec.Struct):
    """What the spec of a job tells the stand-in: an order to start names neither."""

    ms: int  # 0 for a task that lasts
    cpu: int
    gang: int = 0  # members


@dataclass(slots=True)
class RunRecord:
    """One run as its executor saw it; times in monotonic seconds."""

    task: str
    run: int
    executor_id: str
    pool: str
    began_at: float
    was_late: bool = False  # ordered seconds before it was carried out
    late_by: float = 0.0  # seconds from the order to the start, if it was late
    was_for_former: bool = False  # the order was meant for a former life
    given_up_at: float = math.inf  # when such a life first answered a stop of it
    number: int = 0  # of its end
    ended_at: float = math.inf
    kind: str = "running"
    noted_at: float = math.inf
    has_lapsed: bool = False  # the lease ran out between the end and its note


class PlayExecutor(ExecutorStandIn):
    """Executor of which all runs are recorded.

    Parameters
    ----------
    executor_id, pool : str
    site : PlaySite
        Keeps the records, the gangs, the store and the longest lease.
    machine : str
    rack : str
    age : float, optional
        Seconds for which its first life has gone on; its clock tells them.

    Attributes
    ----------
    state : str
        What it reports: "ready" or "draining".
    cut : bool
        Whether neither the nodes nor the store reach it, while it works on.
    down : bool
        Whether it has crashed, or its machine is off.
    is_off : bool
        Whether its machine is off, as those of the spare pool are.
    has_left : bool
        Whether a move or an upkeep has ended it for good.
    in_upkeep : bool
        Whether that was an upkeep.
    late_share : float
        Share of the calls that are carried out seconds late, without an answer.
    rate : float
        Rate of its clock; 1.0 is exact.
    life : int
        Number of its life, from 1; a restart begins the next one.
    open_records, end_records : dict of str to RunRecord, list of RunRecord
        The runs that go on, by task, and those that have ended in this life.
    specs : dict of str to TaskSpec
        By task.
    answered_stops : dict of (str, int) to list of (int, float)
        The life and time of each answer to a stop that was sent, by task and run.
    """

    def __init__(self, executor_id, pool, site, machine, rack, age=0.0):
        super().__init__(executor_id, pool)
        self.site, self.machine, self.rack = site, machine, rack
        self.state, self.seq, self.life, self.beaten_at = "ready", 0, 0, 0.0
        self.cut = self.down = self.has_left = self.is_off = self.in_upkeep = False
        self.late_share = 0.0
        self.open_records, self.end_records, self.specs = {}, [], {}
        self.answered_stops = {}
        self._begin_life()
        self.life_began_at -= age
        self.born -= int(age * MS_PER_SECOND)

    @property
    def is_alive(self):
        """Whether it runs tasks: its machine is neither down nor replaced."""
        return not (self.down or self.has_left)

    @property
    def has_old_clock(self):
        """Whether a lease on its clock is the longest one on its next life's clock."""
        return self._clock() > self.site.longest_lease * MS_PER_SECOND

    @property
    def is_reachable(self):
        """Whether it is alive and no cut keeps it from the nodes and the store."""
        return self.is_alive and not self.cut

    def _begin_life(self):
        self.life += 1
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.life_began_at = time.monotonic()
        self.rate = random.uniform(SLOWEST_CLOCK, 1.0)
        self.fence = self.end_count = self.seq = 0
        self.lease_end = 0.0
        self.ended, self.latest_runs, self.end_records = [], {}, []
        self.state = "ready"

    def describe(self):
        """Return the heartbeat, as a dict."""
        self.seq += 1
        entry = super().describe() | {
            "state": self.state,
            "capacity": {"cpu": CAPACITY_CPU, "memMb": 64000, "gpu": 0},
            "labels": ["a", self.rack],
            "clockMs": self._clock(),
            "seq": self.seq,
        }
        return entry | ({"remainingMs": 2000} if self.state == "draining" else {})

    def beat(self):
        """Write the entry, unless the executor or the store is away."""
        if self.is_reachable and not self.site.store.is_away:
            self.beaten_at = time.monotonic()
            self.site.store.put(f"servers/{self.executor_id}", self.describe())

    def drain(self):
        """Report `draining`."""
        self.state = "draining"
        self.site.record(self.executor_id, "draining")
        self.beat()

    def recover(self):
        """Report `ready` again."""
        self.state = "ready"
        self.beat()

    def crash(self):
        """Lose all that runs here."""
        self.site.record(self.executor_id, "crashes")
        self.down = True
        for task in list(self.running):
            if task in self.running:
                self._finish(task, "crashed", time.monotonic())

    def restart(self):
        """Begin a new life under the same id."""
        self.down = False
        self._begin_life()
        self.site.record(self.executor_id, f"new life born={self.born}")
        self.beat()

    def advance(self):
        """End what is due, and beat or lapse."""
        if not self.is_alive:
            return
        self._advance()
        age = time.monotonic() - self.beaten_at
        if not self.cut and age >= HEARTBEAT:
            self.beat()
        elif self.cut and age >= 3 * HEARTBEAT:
            self.site.store.remove(f"servers/{self.executor_id}")

    async def handle(self, request):
        """Handle a call, maybe late, maybe with an answer that others overtake."""
        if not self.is_reachable:
            await asyncio.sleep(NEVER)
        data = await request.read()
        if random.random() < self.late_share:
            self.site.spawn(self._carry_out_late(request, self.life))
            await asyncio.sleep(NEVER)
        response, life = await super().handle(request), self.life
        if random.random() < OVERTAKEN_SHARE:
            await asyncio.sleep(random.uniform(0, 0.6))
        if not self.is_reachable:
            await asyncio.sleep(NEVER)
        if request.path == STOP_PATH and response.status == 200:
            self._note_answered_stop(msgspec.json.decode(data), request, life)
        return response

    def _note_answered_stop(self, body, request, life):
        if request.transport is not None and not request.transport.is_closing():
            answers = self.answered_stops.setdefault((body["task"], body["run"]), [])
            answers.append((life, time.monotonic()))

    async def _carry_out_late(self, request, life):
        """Carry a call out seconds later, in whichever life is there then."""
        is_latest = random.random() < LATEST_SHARE
        late_by = random.uniform(*((LATE, LATEST) if is_latest else (1.0, LATE)))
        await asyncio.sleep(late_by)
        if not self.is_reachable:
            return
        if self.life != life:
            await self._record_call_of(life, request)
        before = len(self.site.runs)
        await super().handle(request)
        if request.path == START_PATH:
            for run in self.site.runs[before:]:
                self._mark_late(run, late_by, life)

    async def _record_call_of(self, life, request):
        body = msgspec.json.decode(await request.read())
        fields = {name: body[name] for name in LOGGED_FIELDS if name in body}
        name = request.path.removeprefix(PATH_PREFIX)
        text = f"life {self.life} gets {name} of life {life}: {fields}"
        self.site.record(self.executor_id, text)

    def _mark_late(self, run, late_by, life):
        run.was_late, run.late_by = True, late_by
        run.was_for_former = life < self.life
        for stopped_in, at in self.answered_stops.get((run.task, run.run), ()):
            if life <= stopped_in < self.life:
                run.given_up_at = min(run.given_up_at, at)

    def _clock(self):
        return int((time.monotonic() - self.life_began_at) * MS_PER_SECOND * self.rate)

    def _extend(self, until_ms):
        longest = self.site.longest_lease * MS_PER_SECOND
        until_ms = min(until_ms or 0, self._clock() + longest)
        end = self.life_began_at + until_ms / MS_PER_SECOND / self.rate
        self.lease_end = max(self.lease_end, end)

    def _acknowledge(self, cursor):
        for run in self.end_records:
            if run.number <= cursor and run.noted_at == math.inf:
                run.noted_at = time.monotonic()
        super()._acknowledge(cursor)

    def _advance(self):
        if self.lease_end < time.monotonic():
            for run in self.end_records:
                run.has_lapsed |= run.noted_at == math.inf
        for task in list(self.running):
            item = self.running.get(task)
            if item is None:
                continue
            if item.ends_at <= min(time.monotonic(), self.lease_end):
                self._finish(task, item.kind, item.ends_at)
            elif self.lease_end < time.monotonic():
                self._finish(task, "lapsed", self.lease_end)

    def _finish(self, task, kind, ended_at):
        run = self.running[task].run
        super()._finish(task, kind, ended_at)
        record = self.open_records.pop(task)
        record.ended_at, record.kind, record.number = ended_at, kind, self.end_count
        self.end_records.append(record)
        self.site.record(self.executor_id, f"end {kind} task={task} run={run}")
        if self.specs[task].gang:
            self.site.gangs.leave(task, run, kind)

    def _start(self, body, request):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task].run == run:
            return self._reply()
        if body["untilMs"] <= self._clock():
            return self._reply(409, reason="late")
        self._extend(body["untilMs"])
        if run <= self.latest_runs.get(task, 0):
            return self._reply(409, reason="old")
        spec = msgspec.json.decode(body["spec"], type=TaskSpec)
        used = sum(self.specs[name].cpu for name in self.running)
        if used + spec.cpu > CAPACITY_CPU:
            return self._reply(409, reason="room")
        self._begin_run(task, run, spec)
        if self.lost_start_responses:
            self.lost_start_responses -= 1
            request.transport.abort()
        return self._reply()

    def _begin_run(self, task, run, spec):
        self.latest_runs[task], self.specs[task] = run, spec
        now = time.monotonic()
        ends_at = now + spec.ms / MS_PER_SECOND if spec.ms else math.inf
        self.running[task] = _RunningTask(run, now, ends_at, "done")
        record = RunRecord(task, run, self.executor_id, self.pool, now)
        self.open_records[task] = record
        self.site.runs.append(record)
        self.site.record(self.executor_id, f"start task={task} run={run}")
        if spec.gang:
            item = self.running[task]
            item.ends_at, item.kind = now + GANG_WAIT, "alone"
            self.site.gangs.join(task, run, self)

    def _stop(self, body):
        self.stop_duration = random.uniform(0.0, LONGEST_STOP)
        return super()._stop(body)


class Gangs:
    """The runs of gangs over all executors, as far as their members are there."""

    def __init__(self):
        self._members = {}

    def _find(self, task, run):
        return self._members.setdefault((task.rpartition(".")[0], run), {})

    def join(self, task, run, executor):
        """Note a member; the work of all begins once the last one is there."""
        members = self._find(task, run)
        members[task] = executor
        spec = executor.specs[task]
        if len(members) == spec.gang:
            for name, member in members.items():
                item = member.running[name]
                if not item.is_stopping:
                    item.ends_at = time.monotonic() + spec.ms / MS_PER_SECOND
                    item.kind = "done"

    def leave(self, task, run, kind):
        """End the other members as well, once one has ended."""
        members = self._find(task, run)
        members.pop(task, None)
        others = dict(members)
        members.clear()
        for name, executor in others.items():
            item = executor.running.get(name)
            if item is not None and item.run == run:
                how = "done" if kind == "done" else "broken"
                executor._finish(name, how, time.monotonic())
