"""Decodes the jobs that callers submit, and encodes the states returned to them."""

from typing import Annotated

import msgspec

from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import MalformedDataError, RequestError
from peridotspoke.workloads.checking import MAX_AMOUNT, check_step_count
from peridotspoke.workloads.jobs import Job, Need, Step

__all__ = ["decode_submission", "encode_state", "encode_waiting"]


# A whole number of JSON may have thousands of digits.
_Number = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]


class _Step(msgspec.Struct, rename="camel"):
    """A step as submitted; `Step` describes the fields."""

    count: _Number
    cpu: _Number = 0
    mem_mb: _Number = 0
    gpu: _Number = 0
    estimate_ms: float = 0.0
    after: list[_Number] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    # The wire's "antiAffinity" is a number: the most tasks of the step on one executor.
    anti_affinity: _Number = 0
    speculative: bool = False
    # The wire's "longRunning" means that the tasks run until the job is cancelled.
    long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: _Number = 0


class _Submission(msgspec.Struct, rename="camel"):
    spec: str
    steps: list[msgspec.Raw]  # each of them a `_Step`
    repeat_count: _Number = 0
    first_ms: float = 0.0
    interval_ms: float = 0.0


def decode_submission(body, job_id, queue, accepted_at):
    """Decode a job that a caller submits.

    Parameters
    ----------
    body : bytes
        JSON body of the request.
    job_id : str
        ID from the request's path.
    queue : Queue
        Queue that the request's host and path select.
    accepted_at : float
        Time of the request, in seconds since the Unix epoch.

    Returns
    -------
    Job

    Raises
    ------
    RequestError
        If the body is not JSON of the expected form, or has too many steps. The other
        values are not checked.
    """
    try:
        submission = decode_json(body, _Submission)
        check_step_count(job_id, len(submission.steps))
        steps = [decode_json(step, _Step) for step in submission.steps]
    except MalformedDataError as error:
        raise RequestError(str(error), step="read job", peer=job_id) from error
    return Job(
        job_id=job_id,
        queue=queue.name,
        pool=queue.pool,
        spec=submission.spec,
        steps=tuple(_make_step(step) for step in steps),
        terms=queue.terms,
        accepted_at=accepted_at,
        first_due=submission.first_ms / 1000,
        interval=submission.interval_ms / 1000,
        repeats=submission.repeat_count,
    )


def encode_state(state):
    """Return the JSON body, as bytes, of a response with a job's state."""
    return msgspec.json.encode({"state": state})


def encode_waiting(count):
    """Return the JSON body, as bytes, of a response with a queue's waiting jobs."""
    return msgspec.json.encode({"waiting": count})


def _make_step(step):
    return Step(
        count=step.count,
        need=Need(step.cpu, step.mem_mb, step.gpu),
        estimate=step.estimate_ms / 1000,
        after=tuple(step.after),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        requires=step.requires,
        affinity=step.affinity,
        most_per_executor=step.anti_affinity,
        speculative=step.speculative,
        lasting=step.long_running,
        image=step.image,
        target=step.target_ms / 1000,
        fills=step.fills,
        may_miss=step.may_miss,
    )
