"""The store is down while over 500 tasks of one executor end; some run again."""

import asyncio
from pathlib import Path

from review.common.site import Site, has_trouble, play

FOLDER = Path(__file__).parent
OUTAGE = 4.5  # seconds; `platform_down` with `silent` lasts as long in the site files
JOBS, TASKS = 12, 100
COUNT = JOBS * TASKS
SUBMISSION_INTERVAL = 0.15  # seconds
DURATION = 4_000  # milliseconds of work of each task
CPU, MEMORY = 20, 30  # thousandths of a core, MB


async def main():
    """Play the case."""
    async with Site(FOLDER, {"taller": [{"rack": "r1-1"}] * 8}) as site:
        await site.start_nodes()
        await asyncio.sleep(3.0)
        jobs = []
        for _ in range(JOBS):
            jobs.append(
                await site.submit(
                    "taller",
                    [
                        {
                            "count": TASKS,
                            "cpu": CPU,
                            "memMb": MEMORY,
                            "estimateMs": DURATION,
                        }
                    ],
                    {"ms": DURATION, "cpu": CPU, "mem": MEMORY},
                )
            )
            await asyncio.sleep(SUBMISSION_INTERVAL)
        await site.wait_until(
            lambda: sum(len(item.life.latest) for item in site.executors) == COUNT
        )
        site.record("store", "goes down, silent" if has_trouble() else "stays up")
        if has_trouble():
            await site.store.be_silent(OUTAGE)
        else:
            await asyncio.sleep(OUTAGE)
        site.record("store", "is back")
        await asyncio.sleep(10.0)
        for job_id in jobs:
            await site.wait_for("taller", job_id, {"completed"}, 4.0)
        faults = list(site.find_twice())
        starts = len(site.list_runs())
        site.record("judge", f"{COUNT} tasks, {starts} starts")
        return site.conclude("TWICE", faults)


play(main)
