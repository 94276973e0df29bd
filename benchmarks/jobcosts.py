"""What jobs cost: time and memory of a round and of a board, and the store's writes.

Part of ``python -m benchmarks.jobs``.
"""

import random
import time
import tracemalloc

from benchmarks.jobpools import MEMORY, SEED, exhaust, make_pool, report, run_for
from peridotspoke.jobs import (
    BoardSettings,
    JobSpec,
    Resources,
    Urgency,
    WorkerCapacity,
    plan_placements,
)
from peridotspoke.jobs.needs import QueuedJob, RunningJob
from peridotspoke.jobs.tests.harness import POOL
from peridotspoke.store import encode_stored

__all__ = ["measure_batch", "measure_memory", "measure_round"]


def measure_round():
    """Measure processor time and memory of one placement at several sizes."""
    rng = random.Random(SEED)
    for workers, queue in ((6, 60), (24, 240), (100, 1000), (300, 1000), (1100, 1000)):
        capacities = [
            WorkerCapacity(
                f"w{n}", f"r{n // 20}", Resources(32, MEMORY, 8 if n % 5 == 0 else 0)
            )
            for n in range(workers)
        ]
        running = [
            RunningJob(
                f"r{n}",
                JobSpec(
                    "stock", f"t{n % 20}", urgency=Urgency.MAY_WAIT, idempotent=True
                ),
                Resources(8, 4 << 30),
                f"w{n % workers}",
                unsaved=rng.random(),
            )
            for n in range(4 * workers)
        ]
        queued = [
            QueuedJob(
                f"q{n}",
                JobSpec("plan", f"t{n % 20}", urgency=rng.choice(list(Urgency))),
                Resources(rng.choice([1, 4, 8]), 1 << 30),
                float(n),
            )
            for n in range(queue)
        ]
        times = []
        for _ in range(7):
            started = time.process_time()
            plan = plan_placements(queued, running, capacities, {}, 0.0)
            times.append(time.process_time() - started)
        tracemalloc.start()
        plan_placements(queued, running, capacities, {}, 0.0)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        report(
            measure="placement-round",
            workers=workers,
            running=len(running),
            queued=queue,
            stops=len(plan.stops),
            median_ms=round(1000 * sorted(times)[3], 2),
            max_ms=round(1000 * max(times), 2),
            peak_kb=peak // 1024,
            seed=SEED,
        )


def measure_batch():
    """Measure the store's writes and bytes for each job, by the size of a batch."""
    for size in (1, 4, 16, 64):
        rng = random.Random(SEED)
        world, controller = make_pool(8, 32, 0, BoardSettings())
        starts = {}
        for _ in range(max(1, 192 // size)):
            specs = [
                JobSpec("plan", "team", ("run", str(rng.randrange(5, 60))), 1)
                for _ in range(size)
            ]
            world.submit(specs)
            exhaust(run_for(world, controller, 1.0, starts))
        exhaust(run_for(world, controller, 90.0, starts))
        jobs = len(list(world.list_jobs()))
        history = world.store.history
        written = sum(len(change.record.value) for change in history)
        value = max(len(change.record.value) for change in history)
        report(
            measure="batch",
            jobs_in_batch=size,
            jobs=jobs,
            writes_per_job=round(len(history) / jobs, 3),
            bytes_per_job=written // jobs,
            largest_value=value,
            seed=SEED,
        )


def measure_memory():
    """Measure memory and round times of a job board, by the number of jobs it holds."""
    for count in (100, 1000, 4000):
        tracemalloc.start()
        world, controller = make_pool(6, 32, 0, BoardSettings())
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(count):
            world.submit([JobSpec("plan", "team", ("run", "600"), 4)])
        stored = tracemalloc.get_traced_memory()[0]
        controller.watch()
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.process_time()
        controller.run_round()
        first = time.process_time() - started
        controller.outbox.clear()
        world.now += 2.0
        started = time.process_time()
        controller.run_round()
        report(
            measure="board",
            jobs=count,
            bytes_per_job=(held - stored) // count,
            record_bytes=(stored - before) // count,
            value_bytes=len(encode_stored(world.read(f"jobs/{POOL}/b0")[1])),
            first_round_ms=round(1000 * first, 2),
            quiet_round_ms=round(1000 * (time.process_time() - started), 2),
        )
