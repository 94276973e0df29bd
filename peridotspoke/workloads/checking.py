"""Validation of submitted jobs."""

from itertools import chain, islice

from peridotspoke.exceptions import RequestError
from peridotspoke.workloads.jobs import Job

__all__ = ["MAX_AMOUNT", "MAX_TASKS", "check_job", "check_step_count", "is_job_id"]

JOB_ID_LENGTH = 16  # hexadecimal digits
MAX_SPEC_SIZE = 4000  # bytes
MAX_STEPS = 64
MAX_TASKS = 4096
MAX_REPEATS = 100_000
MAX_AMOUNT = 2**53  # largest whole number of a need or a limit
MAX_DURATION = 1e9  # seconds
LATEST_TIME = 253_402_300_800.0  # seconds since the Unix epoch; the year 10000
MAX_FAULTS = 8  # faults of one job that are told
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def is_job_id(text):
    """Return whether `text` is a well-formed job ID.

    Examples
    --------
    >>> is_job_id("5c0e7a21d94b36f8"), is_job_id("5c0e")
    (True, False)
    """
    return len(text) == JOB_ID_LENGTH and HEX_DIGITS.issuperset(text)


def check_step_count(job_id, count):
    """Raise `RequestError` if a job has no steps or too many.

    Before the steps are decoded, this spares the time that a body full of them takes.
    """
    if not 0 < count <= MAX_STEPS:
        raise RequestError(_describe_step_count(count), step="check job", peer=job_id)


def check_job(job: Job):
    """Raise `RequestError` that lists the first `MAX_FAULTS` if a job is not valid."""
    steps = enumerate(job.steps[:MAX_STEPS])
    step_faults = (
        f"step {number}: {fault}"
        for number, step in steps
        for fault in _find_step_faults(number, step)
    )
    found = chain(_find_job_faults(job), step_faults)
    faults = list(islice(found, MAX_FAULTS))
    if next(found, None) is not None:
        faults.append("more faults")
    if faults:
        raise RequestError("; ".join(faults), step="check job", peer=job.job_id)


def _describe_step_count(count):
    return f"expected 1 to {MAX_STEPS} steps, found {count}"


def _find_job_faults(job):
    if not is_job_id(job.job_id):
        yield f"expected an ID of {JOB_ID_LENGTH} hexadecimal digits"
    if len(job.spec.encode()) > MAX_SPEC_SIZE:
        yield f"expected a spec of at most {MAX_SPEC_SIZE} bytes"
    if not 0 < len(job.steps) <= MAX_STEPS:
        yield _describe_step_count(len(job.steps))
    if sum(max(0, step.count) for step in job.steps) > MAX_TASKS:
        yield f"expected at most {MAX_TASKS} tasks"
    if not 0 <= job.repeats <= MAX_REPEATS:
        yield f"expected 0 to {MAX_REPEATS} occurrences, found {job.repeats}"
    if job.repeats and not 0 <= job.first_due < LATEST_TIME:
        yield "expected a first occurrence between the years 1970 and 9999"
    if job.repeats and not 0 <= job.interval <= MAX_DURATION:
        yield f"expected an interval of 0 to {MAX_DURATION:g} s"
    if job.repeats > 1 and job.interval <= 0:
        yield "expected an interval above 0 between occurrences"


def _find_step_faults(number, step):
    if step.count < 1:
        yield f"expected a count of at least 1, found {step.count}"
    need = step.need
    for amount in (need.cpu, need.memory, need.accelerators):
        if not 0 <= amount <= MAX_AMOUNT:
            yield f"expected needs of 0 to {MAX_AMOUNT}"
    if not 0 <= step.estimate <= MAX_DURATION:
        yield f"expected an estimate of 0 to {MAX_DURATION:g} s"
    if not 0 <= step.target <= MAX_DURATION:
        yield f"expected a target of 0 to {MAX_DURATION:g} s"
    if len(step.after) > MAX_STEPS:
        yield f"expected at most {MAX_STEPS} steps in after, found {len(step.after)}"
    elif any(not 0 <= earlier < number for earlier in step.after):
        yield f"expected only earlier steps in after, found {list(step.after)}"
    if not 0 <= step.most_per_executor <= MAX_AMOUNT:
        yield f"expected a limit for each executor of 0 to {MAX_AMOUNT}"
    if not 0 <= step.may_miss <= MAX_AMOUNT:
        yield f"expected a number of tasks that may be away of 0 to {MAX_AMOUNT}"
