"""A model of pools that share a workspace's limit: a store, owners, and their runs.

Time is passed in steps, and each delay, fault and load is drawn from a seed. The model
knows which runs really go on, so that it can judge what the owners start.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.quotarecords import (
    NOTHING,
    add_needs,
    count_fitting,
    covers,
    subtract_needs,
)
from peridotspoke.workloads.quotas import QuotaBook

STEP = 0.02  # seconds between two rounds of an owner
WORKSPACE = "team"
WALL = 1_700_000_000.0
WAIT_BOUND = 3.0  # seconds for which a task may wait beside quota that nobody uses
LEASE = 2.0  # seconds for which runs on an executor that is cut off go on
COMMIT_TIMEOUT = 0.15  # seconds


class QuotaBrokenError(AssertionError):
    """A rule of the model was broken."""


@dataclass(slots=True)
class ModelStore:
    """One record, the owners of pools, and revisions; transactions are atomic.

    `checks_revision` and `checks_owner` are the safeguards of a transaction.
    """

    checks_revision: bool = True
    checks_owner: bool = True
    revision: int = 1
    record: tuple = (0, {})
    owners: dict = field(default_factory=dict)

    def claim(self, pool):
        self.revision += 1
        self.owners[pool] = self.revision
        return self.revision

    def commit(self, pool, fence, expected, rows):
        """Return whether rows are written, with the record that is there then."""
        if self.checks_owner and self.owners.get(pool) != fence:
            return False, self.record
        if self.checks_revision and self.record[0] != expected:
            return False, self.record
        self.revision += 1
        self.record = (self.revision, rows)
        return True, self.record


@dataclass(slots=True, eq=False)
class ModelRun:
    """A run that really goes on until `ends_at`, and counts until `known_over_at`."""

    need: Need
    ends_at: float
    known_over_at: float
    fence: int


class ModelPool:
    """A pool with its executors, its waiting tasks and its present owner."""

    def __init__(self, world, name, room):
        self.world, self.name, self.room = world, name, room
        self.tasks, self.runs = [], []
        self.blocked_since = None
        self.known = (-1, 0, {})
        self.take_over()

    def take_over(self):
        """Let a new owner claim the pool, which knows the runs that are stored."""
        world = self.world
        self.fence = world.store.claim(self.name)
        self.known = (-1, 0, {})
        self.limit = world.limit
        self.book = world.book_class(self.name, self.fence, lambda _: self.known)
        self.book.set_limits({WORKSPACE: self.limit}, world.now)
        self.blocked_since = None
        self.pause_until = world.now
        world.deliver_later(self)

    def count_use(self, now):
        """Return the need of what may be running, as the owner counts it."""
        counted = [run.need for run in self.runs if run.known_over_at > now]
        if not self.world.counts_inherited:
            counted = [
                run.need
                for run in self.runs
                if run.known_over_at > now and run.fence == self.fence
            ]
        return sum_needs(counted)

    def count_free(self, now):
        used = sum_needs(run.need for run in self.runs if run.known_over_at > now)
        return subtract_needs(self.room, used)

    def run_round(self):
        """Start what may start, and send the write that is due."""
        now, book = self.world.now, self.book
        self.runs = [run for run in self.runs if run.known_over_at > now]
        if now < self.pause_until:
            return
        use, wall = self.count_use(now), WALL + now
        if self.known[0] >= self.fence and self.name in (self.known[2] or {}):
            book.note_grant(WORKSPACE)
        book.begin_round({WORKSPACE: use} if use != NOTHING else {}, now, wall)
        free, left, held = self.count_free(now), [], None
        for need, duration in self.tasks:
            if not covers(free, need):
                left.append((need, duration))
                continue
            if not book.is_held_back(WORKSPACE, need) and book.has_room(
                WORKSPACE, need
            ):
                book.reserve(WORKSPACE, need)
                self.world.start(self, need, duration)
                free = subtract_needs(free, need)
                if held is None:
                    self.blocked_since = None  # the first one starts: another waits now
                continue
            held = held or need
            count = count_fitting(free, need, 1)
            book.hold_back(WORKSPACE, need, count, None)
            left.append((need, duration))
        self.tasks = left
        self._note_blocked(held)
        for _, quota, row in list(book.list_writes()):
            self.world.send(self, quota, row)

    def _note_blocked(self, held):
        """Judge whether a task waits beside quota that nobody uses."""
        now, world = self.world.now, self.world
        if held is None or not world.has_room_for(held):
            self.blocked_since = None
        elif self.blocked_since is None:
            self.blocked_since = now
        elif world.is_quiet and now - self.blocked_since > WAIT_BOUND:
            raise QuotaBrokenError(
                f"{self.name} has waited for {held} since {self.blocked_since:.2f}"
            )


class QuotaWorld:
    """Pools, their store and the faults between them.

    Parameters
    ----------
    seed : int
    pools : int
    limit, room : Need
        The workspace's limit, and what the executors of one pool have.
    """

    def __init__(self, seed, pools=3, limit=Need(10), room=Need(10, 0, 4)):
        self.chance = random.Random(seed)
        self.now, self.limit = 0.0, limit
        self.store = ModelStore()
        self.book_class, self.counts_inherited = QuotaBook, True
        self.is_faulty, self.is_quiet = False, False
        self.late_share = 0.15
        self.late_pools = []
        self.writes = self.starts = 0
        self._events, self._numbers = [], itertools.count()
        self.pools = {}
        for number in range(pools):
            name = f"p{number}"
            self.pools[name] = ModelPool(self, name, room)

    def weaken(self, book_class=QuotaBook, **fields):
        """Take safeguards out, before anything runs."""
        self.book_class = book_class
        self.counts_inherited = fields.pop("counts_inherited", True)
        for name, value in fields.items():
            setattr(self.store, name, value)
        for pool in self.pools.values():
            pool.take_over()

    def at(self, delay, call):
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), call))

    def step(self):
        """Pass one step of time: what is due arrives, and each owner has a round."""
        self.now += STEP
        while self._events and self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()
        for pool in self.chance.sample(list(self.pools.values()), len(self.pools)):
            pool.run_round()

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.step()

    def sum_running(self):
        runs = (run for pool in self.pools.values() for run in pool.runs)
        return sum_needs(run.need for run in runs if run.ends_at > self.now)

    def has_room_for(self, need):
        """Return whether all that may be running leaves room for a need."""
        limit = self.find_lowest_limit()
        used = sum_needs(pool.count_use(self.now) for pool in self.pools.values())
        if not covers(limit, need):
            return used == NOTHING
        return covers(limit, add_needs(used, need))

    def find_lowest_limit(self):
        limits = [pool.limit for pool in self.pools.values()]
        return min([self.limit, *limits], key=lambda limit: limit.cpu)

    def start(self, pool, need, duration):
        """Let a run begin, and judge what is running then."""
        before = self.sum_running()
        total = add_needs(before, need)
        limits = [self.limit, *(item.limit for item in self.pools.values())]
        highest = max(limits, key=lambda limit: limit.cpu)
        is_alone = before == NOTHING and not covers(self.find_lowest_limit(), need)
        if not covers(highest, total) and not is_alone:
            raise QuotaBrokenError(
                f"{total} runs with a limit of {highest} at {self.now:.2f}"
            )
        self.starts += 1
        ends_at = self.now + duration
        pool.runs.append(ModelRun(need, ends_at, ends_at + 0.03, pool.fence))

    def cut_off(self, pool):
        """Cut executors off: their runs go on, and count until their lease ends."""
        for run in pool.runs:
            if self.chance.random() < 0.5 and run.ends_at > self.now:
                run.ends_at = min(run.ends_at, self.now + LEASE)
                run.known_over_at = max(run.known_over_at, self.now + LEASE + 0.1)

    def change_limit(self, limit):
        """Change the configuration, which reaches the owners one after another."""
        self.limit = limit
        for pool in self.pools.values():
            fence = pool.fence
            self.at(
                self.chance.uniform(0, 0.5),
                lambda pool=pool, fence=fence: self._apply(pool, fence, limit),
            )

    def _apply(self, pool, fence, limit):
        if pool.fence == fence and limit == self.limit:
            pool.limit = limit
            pool.book.set_limits({WORKSPACE: limit}, self.now)

    def send(self, pool, quota, row):
        """Send a write, which may be lost, refused, or applied late."""
        self.writes += 1
        quota.note_sent(row, self.now)
        fence, expected, rows = pool.fence, quota.revision, quota.make_rows(row)
        is_late = self.is_faulty and self.chance.random() < self.late_share
        delay = self.chance.uniform(0.002, 0.01)
        if is_late:
            delay = self.chance.uniform(0.1, 1.2)
            self.late_pools.append(pool)
        is_answered = not (self.is_faulty and self.chance.random() < 0.15)
        sent_at = self.now

        def arrive():
            if is_late:
                self.late_pools.remove(pool)
            answer = self.store.commit(pool.name, fence, expected, rows)
            self.tell_all()
            if is_answered and self.now - sent_at < COMMIT_TIMEOUT:
                quota.note_answered()
                is_written, (revision, found) = answer
                if is_written or revision:
                    quota.observe(revision, revision, found, self.now)
                is_told.append(True)

        def time_out():
            if not is_told:
                quota.note_answered()

        is_told = []
        self.at(delay, arrive)
        self.at(COMMIT_TIMEOUT, time_out)

    def tell_all(self):
        for pool in self.pools.values():
            self.deliver_later(pool)

    def deliver_later(self, pool):
        """Let the watch deliver the present record to a pool's owner."""
        known = (self.store.revision, *self.store.record)
        lag = self.chance.uniform(0.0, 0.06)
        if self.is_faulty and self.chance.random() < 0.1:
            lag = self.chance.uniform(0.1, 1.5)
        fence = pool.fence

        def deliver():
            if pool.fence == fence and known[0] > pool.known[0]:
                pool.known = known

        self.at(lag, deliver)


def sum_needs(needs):
    """Return the sum of needs."""
    total = NOTHING
    for need in needs:
        total = add_needs(total, need)
    return total
