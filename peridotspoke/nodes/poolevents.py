"""How the events of a pool's owner read in the log."""

from datetime import UTC, datetime

from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.waiting import WaitingTasks, list_waiting

__all__ = [
    "WaitingReport",
    "count_assigned",
    "describe_job",
    "describe_step",
    "format_fields",
]

MIN_WAIT = 0.5  # seconds that a lasting task waits before it is reported
LOOK_INTERVAL = 0.25  # seconds between two looks for such tasks
LINE_INTERVAL = 1.0  # seconds between two lines about them
WAITING_GAUGE = "lasting_tasks_waiting"


def format_fields(fields, clock):
    """Return the fields of an event as they are logged.

    Parameters
    ----------
    fields : dict of str to object
        ``task`` is a `TaskKey`, and ``held_until`` a monotonic time in seconds, where
        they are given.
    clock : Clock

    Returns
    -------
    dict of str to object
        The task in two fields, its job and its place there; times in UTC.
    """
    shown = dict(fields)
    key = shown.pop("task", None)
    if key is not None:
        place = f"{key.occurrence}.{key.step}.{key.index}"
        shown = {"job": key.job_id, "task": place, **shown}
    if "held_until" in shown:
        wall = clock.read_wall() + shown["held_until"] - clock.read_monotonic()
        held_until = datetime.fromtimestamp(wall, UTC)
        shown["held_until"] = held_until.isoformat(timespec="milliseconds")
    return shown


def count_assigned(progress):
    """Return how many tasks of a `JobProgress` an earlier owner had assigned."""
    return sum(task.status is TaskStatus.ASSIGNED for task in progress.list_tasks())


def describe_step(step):
    """Return a step's summary for the log, with its need in thousandths of a core."""
    marks = (
        ("gang", step.gang),
        ("lasting", step.lasting),
        ("fills", step.fills),
        ("saves", step.checkpointing),
        ("copies", step.speculative),
        (f"target={step.target:g}", step.target),
        (f"miss={step.may_miss}", step.may_miss),
        (f"apart={step.most_per_executor}", step.most_per_executor),
    )
    shown = "".join(f",{mark}" for mark, is_set in marks if is_set)
    return f"{step.count}x{step.need.cpu}m@{step.estimate:g}s{shown}"


def describe_job(progress):
    """Return the fields of the log's event about a `JobProgress` that is taken over."""
    job = progress.job
    return {
        "job": job.job_id,
        "queue": job.queue,
        "workspace": job.workspace or None,
        "inherited": count_assigned(progress),
        "steps": " ".join(describe_step(step) for step in job.steps),
    }


class WaitingReport:
    """Reports the tasks of a pool that last and wait, in the log and the metrics.

    However many wait, the pool has at most one line in `LINE_INTERVAL`.

    Parameters
    ----------
    ledger : PoolLedger
    find_tickets : callable
        As for `list_waiting`.
    metrics : MetricsRegistry
    log : callable
        Takes an event and its fields.
    """

    def __init__(self, ledger, find_tickets, metrics, log):
        self._ledger = ledger
        self._find_tickets = find_tickets
        self._metrics = metrics
        self._log = log
        self._tasks = WaitingTasks(MIN_WAIT)
        self._reasons = set()
        self._looked_at = float("-inf")
        self._told_at = float("-inf")

    def update(self, now):
        """Look for such tasks and report them, unless it was done just before.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if now - self._looked_at < LOOK_INTERVAL:
            return
        self._looked_at = now
        waiting = list_waiting(self._ledger, now, self._find_tickets)
        summary = self._tasks.update(waiting, now)
        self._set_gauges(summary.counts if summary else {})
        if summary is None or now - self._told_at < LINE_INTERVAL:
            return
        self._told_at = now
        states = self._ledger.executors.values()
        self._log(
            "task-waiting",
            tasks=sum(summary.counts.values()),
            longest=summary.longest,
            task=summary.example,
            reason=str(summary.reason),
            reasons=",".join(f"{key}:{val}" for key, val in summary.counts.items()),
            executors=sum(state.accepts_runs(now) for state in states),
        )

    def clear(self):
        """Set the gauges to 0, as another node reports from now on."""
        self._set_gauges({})

    def _set_gauges(self, counts):
        self._reasons |= counts.keys()
        for reason in self._reasons:
            count = counts.get(reason, 0)
            self._metrics.set_gauge(
                WAITING_GAUGE, count, pool=self._ledger.pool, reason=str(reason)
            )
