"""Pools on a fake clock, for the benchmarks of jobs: set-up, rounds and output."""

from dataclasses import replace

from peridotspoke.jobs import Resources, WorkerCapacity
from peridotspoke.jobs.actions import CallStart
from peridotspoke.jobs.tests.harness import ControllerUnderTest, World

__all__ = ["MEMORY", "SEED", "exhaust", "make_pool", "report", "run_for"]

SEED = 1
STEP = 0.1  # seconds between two rounds
CALL_TIME = 0.02  # seconds, assumed for a call to a worker or to the store
WATCH_LAG = 0.1  # seconds from a write until a controller's watch reports it
MEMORY = 64 << 30  # bytes of each worker


def report(**fields):
    """Print one line of key=value pairs."""
    print(" ".join(f"{key}={value}" for key, value in fields.items()), flush=True)


def make_pool(workers, cores, accelerators, settings):
    """Return a `World` of one pool and its controller, which has heard all workers.

    `cores` and `accelerators` are those of each worker.
    """
    world = World(workers, replace(settings, exchange_wait=0.0))
    for runner in world.runners.values():
        runner._free_accelerators = accelerators
    controller = ControllerUnderTest(world, "c")
    size = Resources(cores, MEMORY, accelerators)
    capacities = [
        WorkerCapacity(name, f"rack-{number // 4}", size)
        for number, name in enumerate(world.runners)
    ]
    controller.board.set_workers(capacities, world.now)
    controller.run_without_faults()
    return world, controller


def run_for(world, controller, seconds, starts):
    """Run rounds for `seconds`; yield the name of each job that a call starts.

    `starts` receives the time of each job's first start. It includes the time that
    the watch and two calls are assumed to take.
    """
    end = world.now + seconds
    while world.now < end:
        world.now += STEP
        controller.watch()
        controller.run_round()
        hops = 0
        while controller.outbox:
            action = controller.deliver()
            hops += 1
            if isinstance(action, CallStart):
                job = action.start.task.rpartition("/")[0]
                starts.setdefault(job, world.now + 2 * CALL_TIME + WATCH_LAG)
                yield job


def exhaust(iterator):
    """Consume an iterator whose items aren't needed."""
    for _ in iterator:
        pass
