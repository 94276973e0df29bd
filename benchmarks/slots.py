"""Use of slots in a surge with fixed shares, lent slots and one shared queue.

Run: ``python -m benchmarks.slots [SEED]``. The classes that decide in the programs
run on a fake clock; each call to a keeper takes one round trip. One service has 8
executors of 8 slots, two in each of 4 zones. A surge of five times the mean rate
lasts 4 s.
"""

import random
import sys
from collections import deque
from dataclasses import dataclass

import numpy as np

from peridotspoke.peers import LendingRules, SlotBorrower, SlotKeeper
from peridotspoke.peers.codec import encode_slots_answer, encode_slots_request

__all__ = ["Case", "run_case"]

TICK = 0.0005  # seconds between two steps of the simulation
ROUND_TRIP = 0.001  # seconds
EXECUTORS = 8
SLOTS = 8  # of each executor
ZONES = 4
SERVICE_TIME = 0.05  # seconds, the mean
TIME_LIMIT = 1.0  # seconds; half of it is the most that a request may wait
MEAN_RATE = 400.0  # requests a second
SURGE = (2.0, 6.0)  # begin and end in seconds
END = 9.0  # seconds that are simulated
# Seconds between two calls to a keeper: normally, when short of slots, when contended.
RENEWAL_INTERVAL_S, SHORTAGE_INTERVAL_S, CONTENDED_INTERVAL_S = 0.8, 0.05, 0.25


@dataclass(frozen=True)
class Case:
    """The entry instances and their load.

    `alive` of the `most` entry instances that fixed shares are made for are running.
    `weights` are their shares of the load, relative to each other.
    """

    name: str
    alive: int
    most: int
    weights: tuple[float, ...]


CASES = (
    Case("even-8-of-8", 8, 8, (1.0,) * 8),
    Case("even-6-of-8", 6, 8, (1.0,) * 6),
    Case("one-busy-of-8", 8, 8, (7.0, *((1.0,) * 7))),
    Case("two-busy-of-8", 8, 8, (9.0, 9.0, *((1.0,) * 6))),
)


class _Entry:
    def __init__(self, number):
        self.queue = deque()
        self.in_use = dict.fromkeys(range(EXECUTORS), 0)
        self.borrower = SlotBorrower(f"e{number}", 1, LendingRules())
        self.last_call_at = dict.fromkeys(range(ZONES), -1.0)
        self.pending_calls = {}
        self.short_since = None


class _SharedQueue:
    """Lets any entry use any free slot, as if all shared one queue.

    The subclasses limit each entry to its own share.
    """

    calls = 0
    body_bytes = 0

    def __init__(self, case):
        self.case = case
        self.waits = []

    def step(self, entries, now):
        """Advance to the time `now`."""

    def get_free(self, entries, entry, executor, now):
        """Return the slots of `executor` that `entry` may take now."""
        return SLOTS - sum(item.in_use[executor] for item in entries)


class _FixedShares(_SharedQueue):
    def get_free(self, entries, entry, executor, now):
        return SLOTS // self.case.most - entry.in_use[executor]


class _LentShares(_SharedQueue):
    def __init__(self, case):
        super().__init__(case)
        self.keepers = [
            SlotKeeper(f"k{z}", str(z), LendingRules()) for z in range(ZONES)
        ]
        for keeper in self.keepers:
            keeper.start_lending(1, 0.0, False)

    def get_free(self, entries, entry, executor, now):
        return entry.borrower.get_share(f"x{executor}", now) - entry.in_use[executor]

    def step(self, entries, now):
        for entry in entries:
            for executor in range(EXECUTORS):
                wanted = entry.in_use[executor] + len(entry.queue)
                used = entry.in_use[executor]
                zone = str(executor % ZONES)
                entry.borrower.record_use(f"x{executor}", zone, used, wanted, now)
            for zone in range(ZONES):
                self._step_zone(entry, zone, now)

    def _step_zone(self, entry, zone, now):
        borrower = entry.borrower
        if zone in entry.pending_calls:
            request, arrives_at, returns_at, answer = entry.pending_calls[zone]
            if answer is None and now >= arrives_at:
                capacity = {f"x{n}": SLOTS for n in range(EXECUTORS)}
                answer = self.keepers[zone].lend(request, capacity, now)
                self.body_bytes += encode_slots_request(request).ByteSize()
                self.body_bytes += encode_slots_answer(answer).ByteSize()
                entry.pending_calls[zone] = (request, arrives_at, returns_at, answer)
            if now >= returns_at:
                del entry.pending_calls[zone]
                borrower.take_answer(request, answer, now)
                if entry.short_since is not None:
                    self.waits.append(now - entry.short_since)
                    entry.short_since = None
            return
        short = borrower.is_short(str(zone), now)
        interval = SHORTAGE_INTERVAL_S if short else RENEWAL_INTERVAL_S
        if borrower.is_contended(str(zone)):
            interval = CONTENDED_INTERVAL_S
        if now - entry.last_call_at[zone] < interval:
            return
        if short and entry.short_since is None:
            entry.short_since = now
        request = borrower.make_request(str(zone), now)
        entry.last_call_at[zone] = now
        self.calls += 1
        one_way = ROUND_TRIP / 2
        entry.pending_calls[zone] = (request, now + one_way, now + ROUND_TRIP, None)


def run_case(case, shares, seed):
    """Simulate one case and return its figures by name."""
    rng = random.Random(seed)
    entries = [_Entry(number) for number in range(case.alive)]
    running, latencies = [], []
    refused, busy, surge_ticks, most = 0, 0, 0, 0
    for tick in range(int(END / TICK)):
        now = tick * TICK
        surging = SURGE[0] <= now < SURGE[1]
        rate = MEAN_RATE * (5.0 if surging else 0.05)
        if rng.random() < rate * TICK:
            entry = rng.choices(entries, case.weights)[0]
            entry.queue.append((now, rng.expovariate(1 / SERVICE_TIME)))
        for item in [item for item in running if item[0] <= now]:
            running.remove(item)
            item[1].in_use[item[2]] -= 1
        shares.step(entries, now)
        for entry in entries:
            while entry.queue and now - entry.queue[0][0] > TIME_LIMIT / 2:
                entry.queue.popleft()
                refused += 1
            while entry.queue:
                free = {
                    n: shares.get_free(entries, entry, n, now) for n in range(EXECUTORS)
                }
                best = max(free, key=free.get)
                if free[best] <= 0:
                    break
                arrived_at, run_time = entry.queue.popleft()
                entry.in_use[best] += 1
                running.append((now + run_time, entry, best))
                latencies.append(now - arrived_at)
        most = max(most, *(sum(e.in_use[n] for e in entries) for n in range(EXECUTORS)))
        if surging:
            surge_ticks += 1
            busy += len(running)
    return {
        "use": busy / surge_ticks / (EXECUTORS * SLOTS),
        "served": len(latencies),
        "refused": refused,
        "wait_p50_ms": 1000 * float(np.percentile(latencies, 50)),
        "wait_p99_ms": 1000 * float(np.percentile(latencies, 99)),
        "calls_per_second": shares.calls / END / case.alive,
        "body_bytes_per_call": shares.body_bytes / max(1, shares.calls),
        "borrow_p99_ms": 1000 * float(np.percentile(shares.waits or [0.0], 99)),
        "most_in_use": most,
    }


def main():
    """Print one line for each case and way of sharing slots."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for case in CASES:
        for name, sharing in (
            ("ideal", _SharedQueue),
            ("fixed", _FixedShares),
            ("lent", _LentShares),
        ):
            figures = run_case(case, sharing(case), seed)
            pairs = " ".join(f"{key}={value:.4g}" for key, value in figures.items())
            print(f"case={case.name} way={name} {pairs} seed={seed}", flush=True)


if __name__ == "__main__":
    main()
