"""The only executor with a label refuses all starts; `waiting` counts no job."""

import asyncio
import time
from pathlib import Path

from review.common.site import Site, has_trouble, play

FOLDER = Path(__file__).parent
GREY = 6.5  # seconds; `srv_grey` lasts as long in the site files
VISIBLE = 3.0  # seconds, as bounds.visible_ms
AGE = VISIBLE + 2.0  # seconds from which a job counts
JOBS = 6


async def main():
    """Play the case."""
    executors = [{"rack": "r1-1"}] * 7 + [{"rack": "r1-2", "kind": "b"}]
    async with Site(FOLDER, {"taller": executors}) as site:
        await site.start_nodes()
        await asyncio.sleep(3.0)
        labelled = site.executors[-1]
        if has_trouble():
            labelled.log("turns grey: it refuses all starts with 503")
            labelled.unhealthy = True
        begun_at = time.monotonic()
        jobs = set()
        for _ in range(JOBS):
            jobs.add(
                await site.submit(
                    "taller",
                    [
                        {
                            "count": 1,
                            "cpu": 1000,
                            "memMb": 256,
                            "estimateMs": 3000,
                            "requires": "b",
                        }
                    ],
                    {"ms": 3000, "cpu": 1000, "mem": 256},
                )
            )
        await asyncio.sleep(AGE + 0.4)
        faults = []
        for node in range(len(site.fronts)):
            status, answer = await site.call("GET", "taller", node=node)
            started = {task.partition(".")[0] for task, *_ in site.list_runs()}
            waiting = len(jobs - started)
            if status == 200 and answer["waiting"] < waiting / 2:
                faults.append(
                    f"node {node + 1} gives waiting={answer['waiting']}; of {waiting} "
                    f"jobs accepted over {AGE} s before no task has started"
                )
        await asyncio.sleep(max(0.0, begun_at + GREY - time.monotonic()))
        labelled.unhealthy = False
        for job_id in jobs:
            await site.wait_for("taller", job_id, {"completed"}, 10.0)
        return site.conclude("MIXED", faults)


play(main)
