"""A model of owners, executors and the store, for random histories of a pool.

Orders, answers and writes take effect in any order and at any time; owners change,
executors start again, and time passes. The model notes each rule that is broken.
"""

from dataclasses import dataclass, field

from peridotspoke.nodes.committing import MOST_JOBS, CommitBook
from peridotspoke.store import Record
from peridotspoke.workloads.executors import (
    EndedRun,
    EndKind,
    HeldRun,
    HoldReport,
    Refusal,
)
from peridotspoke.workloads.ledger import PoolLedger
from peridotspoke.workloads.progress import decode_progress
from peridotspoke.workloads.runledger import LedgerRules
from peridotspoke.workloads.scheduling import plan_runs
from peridotspoke.workloads.tests.ledgers import WALL, make_entry

HOLD = 5.0
HOLD_ALONE = 7.5
RULES = LedgerRules(inherited_life=(HOLD + HOLD_ALONE) * 1.02, margin=0.1)


class ViolationError(AssertionError):
    """A rule of the platform is broken."""


@dataclass
class ModelExecutor:
    """An executor that keeps the highest fence and refuses what is superseded."""

    name: str
    world: object
    born: int = 1
    fence: int = 0
    lease_end: float = 0.0
    running: dict = field(default_factory=dict)
    latest: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    number: int = 0

    def start(self, key, run, fence, until):
        if fence < self.fence:
            return Refusal.FENCED
        self.fence = fence
        if until <= self.world.now:
            return Refusal.LATE
        self.lease_end = max(self.lease_end, until)
        if run <= self.latest.get(key, 0):
            return None if self.running.get(key) == run else Refusal.SUPERSEDED
        self.world.check_start(key, self)
        self.latest[key] = run
        self.running[key] = run
        return None

    def stop(self, key, run, fence):
        if fence < self.fence:
            return Refusal.FENCED
        self.fence = fence
        self.latest[key] = max(run, self.latest.get(key, 0))
        if self.running.get(key) == run:
            self.finish(key, EndKind.STOPPED)
        return None

    def hold(self, fence, cursor, until):
        if fence < self.fence:
            return HoldReport(0, self.born, refusal=Refusal.FENCED)
        self.fence = fence
        for end in [end for end in self.ended if end.number <= cursor]:
            self.ended.remove(end)
            self.world.note_end(self, end)
        if until is not None:
            self.lease_end = max(self.lease_end, until)
        running = tuple(HeldRun(key, run, "", 50) for key, run in self.running.items())
        return HoldReport(0, self.born, running, tuple(self.ended))

    def finish(self, key, kind):
        run = self.running.pop(key)
        self.number += 1
        end = EndedRun(self.number, key, run, kind, "")
        self.ended.append(end)
        if kind is EndKind.DONE:
            self.world.done.setdefault(key, []).append((self.name, self.born, end))

    def lapse(self):
        if self.world.now > self.lease_end:
            for key in list(self.running):
                self.finish(key, EndKind.LAPSED)

    def restart(self):
        self.born += 1
        self.fence = self.number = 0
        self.lease_end = self.world.now
        for held in (self.running, self.latest, self.ended):
            held.clear()


@dataclass(eq=False)
class ModelOrder:
    """A start (with its `Run`) or a stop that is on its way."""

    owner: object
    executor: str
    key: object
    number: int
    run: object = None
    stop: object = None
    until: float = 0.0
    given_up: bool = False


class ModelOwner:
    """The owner of the pool with its ledger; `book` orders its commits."""

    def __init__(self, world, fence):
        self.world = world
        self.fence = fence
        self.ledger = world.make_ledger("pool", fence, RULES, world.now)
        self.book = CommitBook()
        self.contact_at = world.now

    def plan(self):
        world, ledger = self.world, self.ledger
        plan_runs(ledger, world.now, WALL + world.now)
        stored = self.book.list_jobs()
        batch = ledger.take_batch(MOST_JOBS, stored)
        if batch is not None:
            number = self.book.begin(batch.values, world.now)
            world.commits.append((self, batch, number))
        self.note_cursors()

    def note_cursors(self):
        cursors = self.book.note_cursors(self.ledger.list_cursors, self.ledger.dirty)
        if cursors is not None:
            self.ledger.note_cursors(cursors)

    def send_stops(self):
        under_way = {order.stop for order in self.world.orders if order.owner is self}
        for command in self.ledger.list_stops():
            order = command.order
            if order not in under_way:
                self.world.orders.append(
                    ModelOrder(
                        self, command.executor_id, order.key, order.run, stop=order
                    )
                )

    def look(self, executor, extend):
        state = self.ledger.executors.get(executor.name)
        if state is None:
            return
        until = None
        if extend:
            until = self.world.now + HOLD
            self.ledger.note_extension(executor.name, until)
        report = executor.hold(self.fence, state.noted, until)
        if report.refusal is None:
            self.world.reports.append((self, executor.name, report, self.world.now))


class World:
    """Everything that owners can't see at once; the rules are checked here."""

    def __init__(self, job, executors=2):
        self.now = 0.0
        self.job = job
        self.executors = [ModelExecutor(f"i{n}", self) for n in range(executors)]
        self.stored = None
        self.fence = 0
        self.orders, self.reports, self.commits = [], [], []
        self.done, self.noted, self.restarted = {}, set(), set()
        self.make_ledger = PoolLedger
        self.checks_fence = self.raises_fence = True
        self.owner, self.retired = None, None
        self.take_over()

    def take_over(self):
        """Let another owner read the store and begin under a higher fence."""
        self.retired = self.owner
        self.fence += 1 if self.raises_fence or not self.fence else 0
        self.owner = ModelOwner(self, self.fence)
        for executor in self.executors:
            self.owner.ledger.see_entry(self.describe(executor), self.now)
        record = self.stored and Record("progress", self.stored, 1)
        self.owner.ledger.add_job(decode_progress(self.job, record))

    def describe(self, executor):
        return make_entry(executor.name, born=executor.born)

    def deliver_commit(self, index):
        owner, batch, number = self.commits.pop(index)
        if owner is not self.owner and self.checks_fence:
            return
        for value in batch.values.values():
            self.stored = value
        owner.book.end(number)
        for run in owner.ledger.note_stored(batch):
            until = self.now + HOLD
            owner.ledger.note_extension(run.executor_id, until)
            order = ModelOrder(owner, run.executor_id, run.key, run.number, run)
            order.until = until
            self.orders.append(order)

    def deliver_order(self, index):
        order = self.orders.pop(index)
        executor = next(item for item in self.executors if item.name == order.executor)
        if order.run is not None:
            refusal = executor.start(
                order.key, order.number, order.owner.fence, order.until
            )
        else:
            refusal = executor.stop(order.key, order.number, order.owner.fence)
        if order.given_up:
            return
        if order.run is not None:
            order.owner.ledger.take_start_answer(order.run, refusal, self.now)
        elif refusal is None:
            order.owner.ledger.take_stop_answer(executor.name, order.stop, self.now)

    def give_up_order(self, index):
        """Let an order's answer be overdue; it may still be carried out."""
        order = self.orders[index]
        if not order.given_up and order.run is not None:
            order.owner.ledger.take_start_lost(order.run)
        order.given_up = True

    def deliver_report(self, index):
        owner, name, report, asked_at = self.reports.pop(index)
        owner.ledger.take_report(name, report, asked_at, self.now, WALL + self.now)

    def work(self, executors):
        """Let the owner work with some executors, with nothing late or lost."""
        for executor in executors:
            self.owner.look(executor, extend=True)
        while self.reports:
            self.deliver_report(0)
        self.owner.plan()
        self.owner.send_stops()
        for commit in [item for item in self.commits if item[0] is self.owner]:
            self.deliver_commit(self.commits.index(commit))
        names = {executor.name for executor in executors}
        for order in [order for order in self.orders if order.owner is self.owner]:
            if order.executor in names:
                self.deliver_order(self.orders.index(order))

    def check_start(self, key, executor):
        for other in self.executors:
            if key in other.running:
                raise ViolationError(f"{key} runs on {other.name} and {executor.name}")
        if key in self.noted:
            raise ViolationError(f"{key} starts after its end was taken note of")
        for item in self.done.get(key, ()):
            self.restarted.add((item[0], item[1], item[2].number))

    def note_end(self, executor, end):
        if end.kind is EndKind.DONE:
            self.noted.add(end.key)
            if (executor.name, executor.born, end.number) in self.restarted:
                raise ViolationError(f"{end.key} ran again after a done end")
