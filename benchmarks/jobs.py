"""Jobs on a fake clock: time to start, fairness, faults, writes and cost of a round.

Run as ``python -m benchmarks.jobs [start|even|faults|round|batch|board]``.
Without names, all run. Each prints lines of key=value pairs; seeds are fixed.
"""

import random
import sys

from hdrh.histogram import HdrHistogram

from benchmarks.jobcosts import measure_batch, measure_memory, measure_round
from benchmarks.jobpools import SEED, exhaust, make_pool, report, run_for
from peridotspoke.jobs import BoardSettings, JobSpec, Resources, Urgency
from peridotspoke.standins import WorkerFaults

# Workers of each pool, with the cores and the accelerators of a worker. "letter" is
# every ninth pool of a fleet of 199 pools with 1,100 workers and about 1,600
# accelerators.
DEPLOYMENTS = {
    "lima": [(8, 32, 0)] * 5,
    "vorarlberg": [(8, 32, 0)] * 5,
    "letter": [(6 if n < 105 else 5, 32, 8 if n < 36 else 0) for n in range(0, 199, 9)],
}


def fill_pool(world, cores_total, rng, checkpointable, teams):
    """Submit jobs that may wait until they request twice the pool's cores.

    `checkpointable` is the probability that a job is checkpointable.
    """
    requested_cores = 0
    while requested_cores < 2 * cores_total:
        cores = rng.choice([1, 2, 4, 8])
        specs = [
            JobSpec(
                f"stock-{rng.randrange(4)}",
                rng.choice(teams),
                ("run", str(rng.randrange(600, 3600))),
                cores,
                4 << 30,
                urgency=Urgency.MAY_WAIT,
                idempotent=True,
                checkpointable=rng.random() < checkpointable,
            )
        ]
        world.submit(specs)
        requested_cores += cores


def measure_start():
    """Measure urgent jobs in empty pools and in pools full of jobs that may wait."""
    for name, pools in DEPLOYMENTS.items():
        for checkpointable in (None, 0.0, 0.5):
            measure_deployment(name, pools, checkpointable)


def measure_deployment(name, pools, checkpointable):
    """Submit urgent jobs to pools and print the times until they start.

    The pools are full of jobs that may wait, of which the share `checkpointable` is
    checkpointable. With None the pools are empty, for comparison.
    """
    rng = random.Random(SEED)
    urgent_rng = random.Random(SEED + 1)
    waits = HdrHistogram(1, 600_000, 3)
    never = writes = jobs = stops = 0
    for workers, cores, accelerators in pools:
        settings = BoardSettings()
        world, controller = make_pool(workers, cores, accelerators, settings)
        if checkpointable is not None:
            teams = ["team-a", "team-b"]
            fill_pool(world, workers * cores, rng, checkpointable, teams)
        starts, accepted = {}, {}
        exhaust(run_for(world, controller, 15.0, starts))
        for _ in range(3):
            for _ in range(4):
                world.now += 0.01
                spec = JobSpec(
                    "quote",
                    "team-c",
                    ("run", "8"),
                    urgent_rng.choice([1, 4, 16, 24]),
                    8 << 30,
                    urgent_rng.choice([0, 0, 1]) if accelerators else 0,
                    urgency=Urgency.URGENT,
                )
                key = world.submit([spec])
                accepted[key.rpartition("/")[2] + ".0"] = world.now
            exhaust(run_for(world, controller, 12.0, starts))
        for job, at in accepted.items():
            if job in starts:
                waits.record_value(max(1, round(1000 * (starts[job] - at))))
            else:
                never += 1
        stored_jobs = list(world.list_jobs())
        stops += sum(job.state.preemptions for _, job in stored_jobs)
        jobs += len(stored_jobs)
        writes += world.store.revision - 1
    report(
        measure="urgent-start",
        deployment=name,
        pools=len(pools),
        others="none" if checkpointable is None else "full",
        checkpointable=checkpointable,
        urgent=waits.get_total_count() + never,
        p50_ms=waits.get_value_at_percentile(50),
        p99_ms=waits.get_value_at_percentile(99),
        max_ms=waits.get_max_value(),
        never=never,
        bound_ms=3400,
        stopped=stops,
        writes_per_job=round(writes / jobs, 2),
        seed=SEED,
    )


def measure_evenness():
    """Measure the core-seconds of four teams with equal quotas.

    One team submits ten times as many jobs as each of the others.
    """
    rng = random.Random(SEED)
    world, controller = make_pool(8, 32, 0, BoardSettings())
    teams = ["hohenems", "dornbirn", "lustenau", "feldkirch"]
    controller.board.set_quotas({team: Resources(256, 0, 0) for team in teams})
    used = dict.fromkeys(teams, 0.0)
    starts = {}
    for _ in range(24):
        for team in teams:
            for _ in range(30 if team == "hohenems" else 3):
                seconds = str(rng.randrange(20, 60))
                world.submit([JobSpec("plan", team, ("run", seconds), 8, 1 << 30)])
        exhaust(run_for(world, controller, 10.0, starts))
        for _, job in world.list_jobs():
            if job.state.phase in ("starting", "running"):
                used[job.spec.team] += 10.0 * job.spec.cores
    others = [used[team] for team in teams[1:]]
    report(
        measure="evenness",
        core_seconds=used,
        spread_of_equal_teams=round(max(others) / min(others) - 1, 4),
        greedy_share=round(used["hohenems"] / sum(used.values()), 3),
        seed=SEED,
    )


def measure_faults():
    """Measure one team's jobs beside failing jobs, a failing worker and wrong needs."""
    for case in ("none", "never-running", "bad-worker", "declared-3-times", "both"):
        rng = random.Random(SEED)
        world, controller = make_pool(8, 32, 0, BoardSettings())
        if case in ("bad-worker", "both"):
            world.runners["w3"].faults = WorkerFaults(fail_all=True)
        starts, accepted = {}, {}
        for number in range(200):
            factor = 3 if case == "declared-3-times" else 1
            spec = JobSpec(
                f"plan-{number % 8}",
                "good",
                ("run", "20", "4"),
                4 * factor,
                (2 << 30) * factor,
                idempotent=True,
            )
            key = world.submit([spec])
            accepted[key.rpartition("/")[2] + ".0"] = world.now
            if case in ("never-running", "both"):
                bad = JobSpec(
                    f"bad-{number % 3}",
                    "bad",
                    ("fail", str(rng.randrange(1, 4))),
                    4,
                    2 << 30,
                    idempotent=True,
                )
                world.submit([bad])
            exhaust(run_for(world, controller, 0.5, starts))
        exhaust(run_for(world, controller, 300.0, starts))
        report_faults(case, world, starts, accepted)


def report_faults(case, world, starts, accepted):
    """Print the outcomes of the good and of the failing jobs."""
    jobs = dict(world.list_jobs())
    good = [jobs[job] for job in accepted]
    waits = sorted(starts[job] - accepted[job] for job in accepted if job in starts)
    bad = [job for job in jobs.values() if job.spec.team == "bad"]
    report(
        measure="faults",
        case=case,
        good=len(good),
        good_finished=sum(job.state.phase == "finished" for job in good),
        first_start_p50_s=round(waits[len(waits) // 2], 2),
        first_start_max_s=round(waits[-1], 2),
        bad=len(bad),
        bad_set_aside=sum(job.state.phase == "set-aside" for job in bad),
        bad_attempts=sum(job.state.attempts for job in bad),
        workers_named=sorted(set(world.taken_out)) or "none",
        seed=SEED,
    )


MEASURES = {
    "start": measure_start,
    "even": measure_evenness,
    "faults": measure_faults,
    "round": measure_round,
    "batch": measure_batch,
    "board": measure_memory,
}


def main():
    """Run the measurements that are named on the command line, or all."""
    for name in sys.argv[1:] or MEASURES:
        MEASURES[name]()


if __name__ == "__main__":
    main()
