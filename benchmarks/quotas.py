"""Measures what quotas cost the owner of a pool, against the number of workspaces.

Run: ``python -m benchmarks.quotas``. All executors of the pool are full, and each
workspace has tasks that run and a grant. One line is printed for each size: the time of
counting what may be running, that of the rules of a round, the size of one record, and
the memory of the node's copy and of the owner's book.
"""

import time
import tracemalloc
from dataclasses import replace

from benchmarks.rounds import make_full_ledger
from peridotspoke.nodes.quotas import QuotaRecords
from peridotspoke.nodes.records import encode_value
from peridotspoke.store import FollowedRecords, Record
from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.quotarecords import QuotaRecord, QuotaRow
from peridotspoke.workloads.quotas import QuotaBook, UseCounter

__all__ = ["measure_quotas"]

SIZES = (1, 20, 55, 110, 220)
POOLS_PER_WORKSPACE = 4
EXECUTORS, BACKLOG = 300, 1000
ROUNDS = 50
LIMIT = Need(4_000_000, 8_000_000, 16)
ROW = QuotaRow(Need(1_200_000, 900_000, 2))


def measure_quotas(workspaces):
    """Return the seconds of a count and of the rules, a record's size and the memory.

    Parameters
    ----------
    workspaces : int
    """
    names = [f"workspace-{number}" for number in range(workspaces)]
    ledger = make_full_ledger(EXECUTORS, BACKLOG)
    for number, progress in enumerate(ledger.jobs.values()):
        name = names[number % workspaces]
        progress.job = replace(progress.job, workspace=name)
    pools = ["pool", *(f"pool-{number}" for number in range(1, POOLS_PER_WORKSPACE))]
    value = encode_value(QuotaRecord(dict.fromkeys(pools, ROW)))
    counted, ruled, _ = _run_rounds(ledger, names, value)
    tracemalloc.start()
    _, _, kept = _run_rounds(ledger, names, value)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return _take_median(counted), _take_median(ruled), len(value), memory


def _run_rounds(ledger, names, value):
    """Return the seconds of the counts and of the rules, and what they leave behind."""
    copy = QuotaRecords()
    records = {
        key: Record(key, bytes(bytearray(value)), 9)
        for key in (f"quota/{name}" for name in names)
    }
    copy.apply(FollowedRecords(records, frozenset(records), 0.0, 9), 0.0)
    book, uses = QuotaBook("pool", 7, copy.find_known), UseCounter()
    book.set_limits(dict.fromkeys(names, LIMIT), 0.0)
    counted, ruled = [], []
    for number in range(ROUNDS):
        now = number / 100
        begun = time.perf_counter()
        use = uses.count(ledger, book.limits, now)
        middle = time.perf_counter()
        book.begin_round(use, now, now)
        list(book.list_writes())
        counted.append(middle - begun)
        ruled.append(time.perf_counter() - middle)
    return counted, ruled, (copy, records, book)


def _take_median(values):
    return sorted(values)[len(values) // 2]


def main():
    """Print a line for each number of workspaces."""
    for workspaces in SIZES:
        count, rules, size, memory = measure_quotas(workspaces)
        print(
            f"{workspaces} workspaces: count {count * 1000:.3f} ms, "
            f"rules {rules * 1000:.3f} ms, record {size} B, "
            f"memory {memory / 1024:.0f} KiB"
        )


if __name__ == "__main__":
    main()
