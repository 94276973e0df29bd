"""Time from the acceptance of a configuration until it is in force at each entry.

Run: ``python -m benchmarks.rollout [ENTRIES] [ROUNDS]``. The platform's stand-in
and the entry instances, by default two for each zone, are separate processes on
loopback. Each round prints the seconds from the accepted write until the first, the
median and the last entry instance uses the configuration. ``healed_last_s`` counts
from the end of the fault.
"""

import asyncio
import random
import statistics
import sys
import time
from dataclasses import dataclass, replace
from datetime import datetime

import aiohttp
import msgspec

from peridotspoke.clock import SystemClock
from peridotspoke.declarations import publish_declarations
from peridotspoke.standins import PlatformFaults
from peridotspoke.store import GatewayKeyValueService
from tests.processes import ProgramProcess

__all__ = ["Round", "measure_rounds"]

ZONES = ("lima-a", "lima-b", "lima-c", "lima-d")
BOUND = 8.0  # seconds until a configuration should be in force everywhere
ROLLOUT_TIMEOUT = 30.0  # seconds
FAULT_TIME = 5.0  # seconds that an outage or a cut zone lasts
SETTLE_TIME = 3.0  # seconds between a round and the next
PORTS = dict.fromkeys(("listen", "admin", "peer_listen"), "127.0.0.1:0")


@dataclass(frozen=True, slots=True)
class Round:
    """The roll-out of one published version.

    Times are in seconds since the Unix epoch; `in_force` holds them by entry instance.
    """

    fault: str
    version: int
    accepted_at: float
    healed_at: float
    in_force: dict[str, float]


class _Bench:
    def __init__(self, entries):
        self._processes = []
        self._chance = random.Random(1)
        self._version = 0
        self._platform = self._start("standin", "platform", listen="127.0.0.1:0")
        address = self._platform.wait_for_event("standin-started")["listen"]
        self._url = f"http://{address}"
        self._entries = {}
        for number in range(entries):
            name, zone = f"entry-{number}", ZONES[number % len(ZONES)]
            self._entries[name] = self._start(
                "entry", name=name, zone=zone, platform=self._url, **PORTS
            )
        for process in self._entries.values():
            process.wait_for_event("entry-started")

    def _start(self, program, *arguments, **flags):
        process = ProgramProcess(program, *arguments, **flags)
        self._processes.append(process)
        return process

    def close(self):
        for process in self._processes:
            process.close()

    async def run_round(self, session, fault):
        """Publish one version under a fault and return the `Round`.

        Raises
        ------
        TimeoutError
            If an entry instance doesn't use it within `ROLLOUT_TIMEOUT`.
        """
        faults = {
            "none": PlatformFaults(),
            "muted-watches": PlatformFaults(mute_watches=True),
            "outage": PlatformFaults(mute_watches=True),
            "zone-cut": PlatformFaults(cut_zones=(ZONES[0],)),
        }[fault]
        await self._set_faults(session, faults)
        accepted_at = await self._publish(session)
        if fault == "outage":
            await self._set_faults(session, replace(faults, down=True))
        if fault in ("outage", "zone-cut"):
            await asyncio.sleep(FAULT_TIME)
            await self._set_faults(session, PlatformFaults())
        healed_at = time.time()
        in_force = await self._wait_for_entries()
        await self._set_faults(session, PlatformFaults())
        await asyncio.sleep(SETTLE_TIME)
        return Round(fault, self._version, accepted_at, healed_at, in_force)

    async def _set_faults(self, session, faults):
        body = msgspec.json.encode(faults)
        async with session.post(f"{self._url}/standin/faults", data=body) as answer:
            answer.raise_for_status()

    async def _publish(self, session):
        service = GatewayKeyValueService(self._url, 5.0, SystemClock(), session)
        self._version += 1
        text = f'service = "english"\n[requests]\nqueue_limit = {self._version}\n'
        await publish_declarations(
            service,
            {"service/english": text},
            "benchmark",
            "roll-out",
            SystemClock(),
            self._chance,
        )
        return time.time()

    async def _wait_for_entries(self):
        times_in_force = {}
        async with asyncio.timeout(ROLLOUT_TIMEOUT):
            while len(times_in_force) < len(self._entries):
                for name, process in self._entries.items():
                    at = _find_time_in_force(process.lines, self._version)
                    if at is not None:
                        times_in_force[name] = at
                await asyncio.sleep(0.05)
        return times_in_force


def _find_time_in_force(lines, version):
    for line in reversed(lines):
        if f"event=configuration-in-force version={version}" in line:
            timestamp = line.split(maxsplit=1)[0].removeprefix("time=")
            return datetime.fromisoformat(timestamp).timestamp()
    return None


async def measure_rounds(entries, rounds):
    """Yield a `Round` for each fault and repetition."""
    bench = _Bench(entries)
    try:
        async with aiohttp.ClientSession() as session:
            for fault in ("none", "muted-watches", "outage", "zone-cut"):
                for _ in range(rounds):
                    yield await bench.run_round(session, fault)
    finally:
        bench.close()


def _format_round(measured):
    delays = sorted(at - measured.accepted_at for at in measured.in_force.values())
    healed = max(measured.in_force.values()) - measured.healed_at
    return (
        f"fault={measured.fault} version={measured.version} entries={len(delays)} "
        f"first_s={delays[0]:.3f} middle_s={statistics.median(delays):.3f} "
        f"last_s={delays[-1]:.3f} healed_last_s={healed:.3f} "
        f"within_bound={delays[-1] <= BOUND}"
    )


async def _run(entries, rounds):
    async for measured in measure_rounds(entries, rounds):
        print(_format_round(measured), flush=True)


def main():
    """Print one line for each round."""
    entries = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    asyncio.run(_run(entries, rounds))


if __name__ == "__main__":
    main()
