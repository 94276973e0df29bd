"""A task runs twice: its late start is carried out by the executor's next life."""

import asyncio
import itertools
import time
from pathlib import Path

from site2 import Job, Site, main

ROUTES = [
    {
        "name": name,
        "host": "jobs.example",
        "prefix": f"/{name}/",
        "service": "pool",
        "maxAttempts": 3,
        "stretch": 1.6,
        "targetLatencyMs": 2500,
    }
    for name in ("short", "long", "task")
]
EXECUTORS = 8
STEPS = [{"count": 1, "cpu": 2000, "memMb": 100, "estimateMs": 6000}]
SHORT = [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 900}]
LONG = [{"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 20000, "requires": "b"}]
WORK_S = 6.0
LATE_S = 2.2  # "carried out 2 to 12 s later"
BACK_S = 0.05  # from the restart until the late start comes


async def play(record, disrupt):
    """Leave a start unanswered, and let its executor start again before it is due."""
    site = Site(record, ROUTES)
    try:
        await site.open()
        for number in range(EXECUTORS):
            label = "b" if number == 1 else "a"
            await site.add_executor(f"i-{number}", labels=(label, "rack-1"))
        node = await site.start_node("n-1")
        # A node packs tasks on the fullest executor: that of the short task at first,
        # later that of the long one.
        short = Job("00000000000000aa", SHORT, 0.9)
        long = Job("00000000000000bb", LONG, 20.0)
        await site.submit(node, "/short/", Job("00000000000000dd", SHORT, 0.1))
        await asyncio.sleep(2.0)
        await site.submit(node, "/short/", short)
        await site.submit(node, "/long/", long)
        if not await site.wait_until(lambda: short.starts and long.starts, 20):
            return 2
        chosen = short.starts[0][3]
        chosen.leaves_next_start = disrupt
        job = Job("00000000000000cc", STEPS, WORK_S)
        await site.submit(node, "/task/", job)
        if disrupt:
            if not await site.wait_until(lambda: chosen.late_starts, 10):
                return 2
            due_at = time.monotonic() + LATE_S
            # The task has been given up here and runs elsewhere.
            if not await site.wait_until(lambda: job.starts, LATE_S - 0.4):
                return 2
            record.write(f"{chosen.executor_id} crashes")
            await chosen.close()
            await asyncio.sleep(max(0.0, due_at - BACK_S - time.monotonic()))
            await chosen.restart()
            record.write(f"{chosen.executor_id} is back under its id")
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            chosen.carry_out_late_starts()
        await site.wait_until(lambda: len(job.ends) >= len(job.starts) > 0, 20)
        await asyncio.sleep(1.0)
        await site.show(node, "/task/", job)
        return judge(record, job)
    finally:
        await site.close()


def judge(record, job):
    """Return 1 if two runs went on at once, on executors that are up."""
    ends = {(number, item): at for at, _, number, _, item in job.ends}
    runs = [
        (at, ends.get((number, item), float("inf")), number, item.executor_id)
        for at, _, number, item in job.starts
    ]
    begin = min(run[0] for run in runs)
    for at, end, number, name in sorted(runs):
        record.write(f"run {number} on {name}: {at - begin:.2f} to {end - begin:.2f}")
    ordered = sorted(runs)
    overlaps = [
        min(run[1], later[1]) - later[0] for run, later in itertools.pairwise(ordered)
    ]
    longest = max(overlaps, default=0.0)
    record.write(f"two runs at once for {max(0.0, longest):.2f} s")
    return 1 if longest > 0 else 0


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
