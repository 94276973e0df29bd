"""Plays random work under random disruptions, to look for broken rules.

Run as ``python3 -B -m review.common.search SEED FOLDER``. It is no case: it covers what
no day of the bench had here, such as gangs and timed jobs.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

import msgspec

from review.common.site import Site, play

TRAFFIC = 25.0  # seconds
REST = 22.0  # seconds without a disruption before the jobs are asked for
MOST_APART = 2  # tasks of a step on one executor


class Search:
    """One play; all choices are drawn from the seed."""

    def __init__(self, site, seed):
        self.jobs = {}
        self._site, self._chance = site, random.Random(seed)
        self._tasks = []

    async def run(self):
        """Send jobs and make trouble, then rest."""
        await asyncio.gather(self._send_jobs(), self._make_trouble())
        await asyncio.sleep(REST)

    def _spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _send_jobs(self):
        end = time.monotonic() + TRAFFIC
        while time.monotonic() < end:
            kind, body = self._draw_job()
            self._spawn(self._submit(kind, body))
            await asyncio.sleep(self._chance.uniform(0.1, 0.5))

    def _draw_job(self):
        chance = self._chance
        kind = chance.choice(["plain", "gang", "steps", "apart", "timed", "copies"])
        duration = chance.choice([300, 800, 1500, 3000])
        cpu, count = chance.choice([1000, 3000, 6000]), chance.randint(2, 6)
        need = {"cpu": cpu, "memMb": 100, "estimateMs": duration}
        steps = [{"count": count, **need}]
        spec = {"ms": duration, "cpu": cpu, "mem": 100}
        times = {}
        match kind:
            case "gang":
                steps[0]["gang"], spec["gang"] = True, count
            case "steps":
                steps.append({"count": 2, **need, "after": [0]})
            case "apart":
                steps[0]["antiAffinity"] = MOST_APART
            case "copies":
                steps[0]["speculative"] = True
            case "timed":
                first = int(time.time() * 1000) + 1000
                times = {"repeatCount": 3, "firstMs": first, "intervalMs": 700}
        text = msgspec.json.encode(spec).decode()
        return kind, {"spec": text, "steps": steps, **times}

    async def _submit(self, kind, body):
        job_id = f"{random.getrandbits(64):016x}"
        for _ in range(5):
            status, _ = await self._site.call("POST", "taller", job_id, body)
            if status == 200:
                self.jobs[job_id] = kind, body
                return
            await asyncio.sleep(0.6)

    async def _make_trouble(self):
        chance = self._chance
        await asyncio.sleep(5.0)
        for _ in range(4):
            for _ in range(chance.choice([1, 1, 2])):
                kind = chance.choice(["kill", "stop", "crash", "cut", "store", "late"])
                self._site.record("trouble", kind)
                self._spawn(self._disturb(kind))
                await asyncio.sleep(chance.uniform(0.0, 0.8))
            await asyncio.sleep(chance.uniform(3.0, 6.0))

    async def _disturb(self, kind):
        chance, site = self._chance, self._site
        executor = chance.choice(site.executors)
        if kind in ("kill", "stop"):
            number = chance.randint(1, len(site.fronts))
            site.signal_node(number, signal.SIGKILL if kind == "kill" else 15)
            await site.wait_for_exit(number)
            await asyncio.sleep(0.5)
            await site.start_node(number)
        elif kind == "store":
            await site.store.be_silent(chance.choice([1.0, 4.0]))
        elif kind == "late":
            executor.late_share = 0.3
            await asyncio.sleep(3.0)
            executor.late_share = 0.0
        elif not executor.cut and kind == "cut":
            await executor.cut_off()
            await asyncio.sleep(chance.choice([2.0, 5.5]))
            await executor.heal()
        elif not executor.cut:
            await executor.crash()
            await asyncio.sleep(chance.choice([0.3, 1.0, 3.0]))
            await executor.restart()

    async def find_faults(self):
        """Return what broke TWICE, LOST, ORDER, ROUTE or, beside trouble, GANG."""
        site, runs = self._site, self._site.list_runs()
        faults = [
            f"TWICE {text}"
            for text in site.find_twice()
            if self._find_kind(text) != "copies"
        ]
        for job_id, (kind, _) in self.jobs.items():
            state = await site.wait_for("taller", job_id, {"completed"}, 1.0)
            if state != "completed":
                faults.append(f"LOST {job_id} ({kind}): {state}")
        for run in runs:
            faults += [f"{rule} {run}" for rule in self._check_run(run, runs)]
        return faults

    def _find_kind(self, task):
        return self.jobs.get(task.partition(".")[0], ("",))[0]

    def _check_run(self, run, runs):
        task, _, name, begin, _, how = run
        step = task.rpartition(".")[0]
        kind = self._find_kind(task)
        if how == "alone":
            yield "GANG"
        if kind == "apart":
            beside = [
                item
                for item in runs
                if item[2] == name
                and item[3] <= begin < item[4]
                and item[0].startswith(f"{step}.")
            ]
            if len(beside) > MOST_APART:
                yield "ROUTE"
        if kind == "steps" and step.endswith(".1"):
            first = step.removesuffix(".1") + ".0."
            done = {
                item[0]
                for item in runs
                if item[0].startswith(first) and item[5] == "done" and item[4] <= begin
            }
            if len(done) < self.jobs[task.partition(".")[0]][1]["steps"][0]["count"]:
                yield "ORDER"


async def main():
    """Play one seed."""
    seed, folder = int(sys.argv[1]), Path(sys.argv[2])
    random.seed(seed)
    executors = [{"rack": f"r1-{number // 4}"} for number in range(6)]
    async with Site(folder, {"taller": executors}) as site:
        await site.start_nodes()
        search = Search(site, seed)
        await search.run()
        faults = await search.find_faults()
        return site.conclude(f"seed {seed}, {len(search.jobs)} jobs:", faults)


if __name__ == "__main__":
    play(main)
