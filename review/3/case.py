"""An entry of another writer can't be read; no job runs while it is there."""

import asyncio
from pathlib import Path

from review.common.site import Site, has_trouble, play

FOLDER = Path(__file__).parent
FINISH = 14.0  # seconds, as bounds.finish_s
JOBS = 6
# JSON that is nested too deeply to be read, and ends too early.
UNREADABLE = b'{"inventory":' + b"[" * 2000


async def main():
    """Play the case."""
    async with Site(FOLDER, {"taller": [{"rack": "r1-1"}] * 8}) as site:
        if has_trouble():
            site.store.put("servers/inventory", UNREADABLE)
            site.record("another writer", f"puts servers/inventory {UNREADABLE[:30]}")
        await site.start_nodes()
        jobs = []
        for _ in range(JOBS):
            jobs.append(
                await site.submit(
                    "taller",
                    [{"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 500}],
                    {"ms": 500, "cpu": 1000, "mem": 256},
                )
            )
        await asyncio.sleep(FINISH)
        started = {task.partition(".")[0] for task, *_ in site.list_runs()}
        faults = []
        for job_id in jobs:
            state = await site.wait_for("taller", job_id, {"completed"}, 1.0)
            if job_id is not None and state != "completed":
                begun = "begun" if job_id in started else "not begun"
                faults.append(f"{job_id}: accepted, {state}, {begun} after {FINISH} s")
        return site.conclude("LOST", faults)


play(main)
