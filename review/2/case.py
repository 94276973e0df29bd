"""A draining executor is cut off from all and runs on; its task is started again."""

import asyncio
from pathlib import Path

from review.common.site import Site, has_trouble, play

FOLDER = Path(__file__).parent
CUT = 5.5  # seconds; `node_cut` with `servers` lasts as long in the site files
LONG, SHORT = 25_000, 4_000  # milliseconds of work
NEED = 20_000  # thousandths of a core; one task fits an executor beside nothing else


async def main():
    """Play the case."""
    async with Site(FOLDER, {"taller": [{"rack": "r1-1"}] * 8}) as site:
        await site.start_nodes()
        for duration in [LONG] * 7 + [SHORT]:
            await site.submit(
                "taller",
                [{"count": 1, "cpu": NEED, "memMb": 256, "estimateMs": duration}],
                {"ms": duration, "cpu": NEED, "mem": 256},
            )
        await site.wait_until(lambda: all(item.life.running for item in site.executors))
        leaving = next(
            item
            for item in site.executors
            if any(work.spec.ms == LONG for work in item.life.running.values())
        )
        leaving.drain(remaining_ms=2000)
        await asyncio.sleep(1.4)
        if has_trouble():
            await leaving.cut_off()
        await asyncio.sleep(CUT)
        if has_trouble():
            await leaving.heal()
        await asyncio.sleep(2.0)
        return site.conclude("TWICE", list(site.find_twice()))


play(main)
