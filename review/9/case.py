"""Jobs that come at once on a queue with advice never get any."""

import asyncio
import json
import time
from pathlib import Path

from site2 import MS, Job, Site, main

from peridotspoke.platform.standins import make_response

DECIDE_MS, EACH_MS, VALID_MS = 800, 50, 10000
MAX_WAITING = 32  # calls of one machine; then the service answers 429
ROUTE = {
    "name": "advised",
    "host": "jobs.example",
    "prefix": "/advised/",
    "service": "pool",
    "maxAttempts": 3,
    "stretch": 1.6,
    "targetLatencyMs": 20000,
    "advice": {"decideMs": DECIDE_MS, "eachMs": EACH_MS, "validMs": VALID_MS},
}
EXECUTORS = 8
JOBS = 8
STEPS = [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500}]
FINISH_S, STILL_S = 14, 3  # bounds.finish_s, rule LOST


class Advice:
    """The advice service: one call at a time for each calling machine, in turn.

    A call whose caller has gone before its turn takes no time.
    """

    def __init__(self, site):
        self.site, self._turns, self._waiting, self.tickets = site, {}, {}, {}

    async def handle(self, request):
        """Answer after the time that the configuration tells."""
        body, caller = json.loads(await request.read()), request.remote
        if self._waiting.get(caller, 0) >= MAX_WAITING:
            self.site.record.write(f"advice: 429 for {body['step']}")
            return make_response(status=429)
        self._waiting[caller] = self._waiting.get(caller, 0) + 1
        async with self._turns.setdefault(caller, asyncio.Lock()):
            self._waiting[caller] -= 1
            if request.transport is None or request.transport.is_closing():
                return make_response(status=429)  # nobody waits for it any more
            await asyncio.sleep((DECIDE_MS + EACH_MS * len(body["workers"])) / MS)
        good = [[name, f"{body['step']}-{name}"] for name in body["workers"]]
        for name, ticket in good:
            self.tickets[body["step"], name] = (ticket, time.monotonic())
        has_gone = request.transport is None or request.transport.is_closing()
        comment = ", but its caller has gone" if has_gone else ""
        self.site.record.write(f"advice is ready: {body['step']}{comment}")
        return make_response({"good": good, "validMs": VALID_MS})

    def check(self, executor, task, ticket):
        """Return why an executor rejects a ticket, or an empty string."""
        step = task.rpartition(".")[0]
        known, given_at = self.tickets.get((step, executor.executor_id), ("", 0.0))
        is_valid = time.monotonic() < given_at + VALID_MS / MS
        return "" if ticket and ticket == known and is_valid else "ticket"


async def play(record, disrupt):
    """Hand jobs in; the disruption is that they come at once, not in turn."""
    site = Site(record, [ROUTE])
    advice = Advice(site)
    site.advise, site.check_ticket = advice.handle, advice.check
    try:
        await site.open()
        for number in range(EXECUTORS):
            await site.add_executor(f"i-{number}")
        node = await site.start_node("n-1")
        jobs = [Job(f"{number:016x}", STEPS, 0.5) for number in range(1, JOBS + 1)]
        for job in jobs:
            await site.submit(node, "/advised/", job)
            if not disrupt:
                await site.wait_until(lambda item=job: item.ends, 10)
        await asyncio.sleep(FINISH_S)
        waiting = [job for job in jobs if not job.starts]
        await asyncio.sleep(STILL_S)
        still = [job.job_id for job in waiting if not job.starts]
        record.write(f"jobs that have not started: {still}")
        for job in jobs:
            await site.show(node, "/advised/", job)
        free = {item.executor_id: item.count_free() for item in site.executors}
        record.write(f"free thousandths of a core: {free}")
        return 1 if still else 0
    finally:
        await site.close()


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
