"""Validation of submitted jobs."""

from peridotspoke.exceptions import RequestError
from peridotspoke.workloads.jobs import Job

__all__ = ["check_job", "is_job_id"]

JOB_ID_LENGTH = 16  # hexadecimal digits
MAX_SPEC_SIZE = 4000  # bytes
MAX_STEPS = 64
MAX_TASKS = 4096
MAX_REPEATS = 100_000
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def is_job_id(text):
    """Return whether `text` is a well-formed job ID.

    Examples
    --------
    >>> is_job_id("5c0e7a21d94b36f8"), is_job_id("5c0e")
    (True, False)
    """
    return len(text) == JOB_ID_LENGTH and HEX_DIGITS.issuperset(text)


def check_job(job: Job):
    """Raise `RequestError` that lists every fault if a job is not valid."""
    faults = [*_find_job_faults(job)]
    for number, step in enumerate(job.steps):
        faults += [
            f"step {number}: {fault}" for fault in _find_step_faults(number, step)
        ]
    if faults:
        raise RequestError("; ".join(faults), step="check job", peer=job.job_id)


def _find_job_faults(job):
    if not is_job_id(job.job_id):
        yield f"expected an ID of {JOB_ID_LENGTH} hexadecimal digits"
    if len(job.spec.encode()) > MAX_SPEC_SIZE:
        yield f"expected a spec of at most {MAX_SPEC_SIZE} bytes"
    if not 0 < len(job.steps) <= MAX_STEPS:
        yield f"expected 1 to {MAX_STEPS} steps, found {len(job.steps)}"
    if sum(max(0, step.count) for step in job.steps) > MAX_TASKS:
        yield f"expected at most {MAX_TASKS} tasks"
    if not 0 <= job.repeats <= MAX_REPEATS:
        yield f"expected 0 to {MAX_REPEATS} occurrences, found {job.repeats}"
    if job.repeats > 1 and job.interval <= 0:
        yield "expected an interval above 0 between occurrences"


def _find_step_faults(number, step):
    if step.count < 1:
        yield f"expected a count of at least 1, found {step.count}"
    if min(step.need.cpu, step.need.memory, step.need.accelerators) < 0:
        yield "expected needs of at least 0"
    if step.estimate < 0:
        yield "expected an estimate of at least 0"
    if any(not 0 <= earlier < number for earlier in step.after):
        yield f"expected only earlier steps in after, found {list(step.after)}"
    if step.most_per_executor < 0:
        yield "expected a limit for each executor of at least 0"
    if not 0 <= step.may_miss:
        yield "expected a number of tasks that may be away of at least 0"
