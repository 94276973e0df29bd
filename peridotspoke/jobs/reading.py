"""Parses and validates job submissions."""

from dataclasses import dataclass, field
from typing import Annotated

from pydantic import (
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
    dataclasses as checked,
)

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import MalformedDataError, RequestError
from peridotspoke.jobs.messages import JobSpec, Urgency

__all__ = ["MAX_SUBMISSION", "PoolLimits", "check_job", "parse_submission"]

MAX_JOBS = 16  # in one submission
MAX_SUBMISSION = 256 * 1024  # bytes
MAX_SHOWN = 80  # characters of an invalid value in a message

Argument = Annotated[str, Field(max_length=4096)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]


@checked.dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class _SubmittedJob:
    name: Name
    team: Name
    command: Annotated[tuple[Argument, ...], Field(max_length=64)] = ()
    cores: Annotated[float, Field(gt=0, le=4096)] = 1.0
    memory: Annotated[int, Field(gt=0, strict=True)] = 1 << 30
    accelerators: Annotated[int, Field(ge=0, le=4096, strict=True)] = 0
    run_time: Annotated[float, Field(gt=0, le=30 * 86400)] = 60.0
    urgency: Urgency = Urgency.NORMAL
    idempotent: Annotated[bool, Field(strict=True)] = False
    checkpointable: Annotated[bool, Field(strict=True)] = False


@checked.dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class _Submission:
    jobs: Annotated[tuple[_SubmittedJob, ...], Field(min_length=1, max_length=MAX_JOBS)]


_JOB_ADAPTER = TypeAdapter(_SubmittedJob)
_SUBMISSION_ADAPTER = TypeAdapter(_Submission)


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """The largest job that a pool can run.

    Parameters
    ----------
    cores : float
        Cores of the largest worker; 0 if unknown.
    memory : int
        Memory of the largest worker in bytes; 0 if unknown.
    accelerators : int
        Accelerators of the largest worker; ignored if `cores` is unknown.
    quota : dict of str to quota
        Quota of each team, with the attributes `cores` and `accelerators`.
    """

    cores: float = 0
    memory: int = 0
    accelerators: int = 0
    quota: dict = field(default_factory=dict)


def parse_submission(body):
    """Return the jobs in the body of a submission.

    Parameters
    ----------
    body : bytes
        JSON text, either of one job or of an object with a list of jobs under the
        key ``jobs``.

    Returns
    -------
    tuple of JobSpec

    Raises
    ------
    RequestError
        If the body is invalid. The message names the invalid fields, each with the
        value found and what was expected.
    """
    if len(body) > MAX_SUBMISSION:
        raise RequestError(
            f"expected at most {MAX_SUBMISSION} bytes, found {len(body)}",
            step="read submission",
        )
    try:
        data = decode_json(body)
    except MalformedDataError as error:
        found = body[:MAX_SHOWN]
        raise RequestError(
            f"expected a JSON object, found {found!r}: {error}", step="read submission"
        ) from error
    try:
        if isinstance(data, dict) and "jobs" in data:
            submitted = _SUBMISSION_ADAPTER.validate_python(data).jobs
        else:
            submitted = (_JOB_ADAPTER.validate_python(data),)
    except ValidationError as error:
        faults = "; ".join(_describe_fault(fault) for fault in error.errors()[:8])
        raise RequestError(faults, step="read submission") from error
    return tuple(_make_spec(job) for job in submitted)


def _describe_fault(fault):
    place = ".".join(str(key) for key in fault["loc"]) or "body"
    if fault["type"] in ("missing", "missing_argument"):
        return f"{place}: found nothing, expected a value"
    found = repr(fault["input"])[:MAX_SHOWN]
    expected = "no such key" if "unexpected" in fault["type"] else fault["msg"]
    return f"{place}: found {found}, expected {expected}"


def _make_spec(job):
    return JobSpec(
        job.name,
        job.team,
        job.command,
        job.cores,
        job.memory,
        job.accelerators,
        job.run_time,
        job.urgency,
        job.idempotent,
        job.checkpointable,
    )


def check_job(spec, limits):
    """Check that the pool can run a job as declared.

    Parameters
    ----------
    spec : JobSpec
    limits : PoolLimits
        Without quotas, any team may submit jobs.

    Raises
    ------
    RequestError
        If the team is unknown, or if the job exceeds the quota of its team or the
        largest worker.
    """
    if limits.quota and spec.team not in limits.quota:
        raise RequestError(
            f"team: found {spec.team!r}, expected one of {', '.join(limits.quota)}",
            step="check job",
        )
    quota = limits.quota.get(spec.team)
    bounds = [
        ("cores", spec.cores, limits.cores, "on the pool's largest worker"),
        ("memory", spec.memory, limits.memory, "on the pool's largest worker"),
    ]
    if limits.cores:
        place = "on one worker of the pool"
        accelerators = limits.accelerators
        bounds.append(("accelerators", spec.accelerators, accelerators or -1, place))
    if quota is not None:
        place = f"in the quota of team {spec.team}"
        bounds.append(("cores", spec.cores, quota.cores or -1, place))
        accelerators = quota.accelerators or -1
        bounds.append(("accelerators", spec.accelerators, accelerators, place))
    for name, asked, bound, place in bounds:
        if bound and asked > max(bound, 0):
            raise RequestError(
                f"{name}: found {asked}, expected at most {max(bound, 0)} {place}",
                step="check job",
            )
