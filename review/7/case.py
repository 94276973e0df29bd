"""A gang that failed once, on one unhealthy executor, is shown as failed for good."""

import asyncio
import time
from pathlib import Path

from site2 import Job, Site, main

MAX_ATTEMPTS = 3
ROUTE = {
    "name": "r",
    "host": "jobs.example",
    "prefix": "/q/",
    "service": "pool",
    "maxAttempts": MAX_ATTEMPTS,
    "stretch": 1.6,
    "targetLatencyMs": 2500,
}
EXECUTORS = 8
GANG = [{"count": 4, "cpu": 2000, "memMb": 100, "estimateMs": 800, "gang": True}]
SICK_S = 5.0  # of the 6.5 s that the site's srv_grey lasts
LIMIT_S = 20.0


async def play(record, disrupt):
    """Hand the job in while one executor of eight fails all that it starts."""
    site = Site(record, [ROUTE])
    try:
        await site.open()
        for number in range(EXECUTORS):
            await site.add_executor(f"i-{number}")
        node = await site.start_node("n-1")
        gang = Job("00000000000000cc", GANG, 0.8)
        first = Job("00000000000000aa", [{"count": 1, "cpu": 500}], 0.1)
        await site.submit(node, "/q/", first)
        if not await site.wait_until(lambda: first.ends, 20):
            return 2
        await asyncio.sleep(1.0)
        # The first executor that runs the gang's tasks is the one that is unhealthy.
        if disrupt:
            site.spawn(make_sick(site, gang))
        await site.submit(node, "/q/", gang)
        begun_at, state = time.monotonic(), ""
        while time.monotonic() - begun_at < LIMIT_S:
            state = await site.show(node, "/q/", gang)
            if state in ("failed", "completed"):
                break
            await asyncio.sleep(0.2)
        runs = {number for _, _, number, how, _ in gang.ends if how == "failed"}
        by_task = {}
        for _, task, _, how, _ in gang.ends:
            by_task[task] = by_task.get(task, 0) + (how == "failed")
        record.write(
            f"runs of the gang that failed: {sorted(runs)}; limit {MAX_ATTEMPTS}"
        )
        record.write(f"ends 'failed' by task: {by_task}")
        most = max([len(runs), *by_task.values()])
        return 1 if state == "failed" and most < MAX_ATTEMPTS else 0
    finally:
        await site.close()


async def make_sick(site, gang):
    """Make the executor unhealthy that gets the gang first, for `SICK_S` seconds."""
    await site.wait_until(lambda: gang.starts, 20)
    sick = gang.starts[0][3]
    sick.fails_all = True
    site.record.write(f"{sick.executor_id} is unhealthy")
    await asyncio.sleep(SICK_S)
    sick.fails_all = False
    site.record.write(f"{sick.executor_id} is healthy")


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
