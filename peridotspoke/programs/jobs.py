"""Callers' requests to submit, show and cancel jobs."""

import asyncio

import msgspec

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
    RequestError,
)
from peridotspoke.jobs import (
    JobSubmission,
    PoolLimits,
    check_job,
    parse_job_id,
    parse_submission,
)
from peridotspoke.jobs.messages import TERMINAL_PHASES, JobPhase
from peridotspoke.requests.messages import Outcome, Refusal, Response
from peridotspoke.requests.responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    build_refusal_response,
)

__all__ = ["JobRequests"]

JOBS_PATH = "/jobs"
RETRY_AFTER = 1  # seconds


class JobRequests:
    """Serves the requests to ``/<service>/jobs`` and the paths under it.

    Parameters
    ----------
    acceptor : JobAcceptor
        Stores, finds and cancels jobs.
    clock : Clock
    find_service : callable
        Takes a service's name and returns its `ServiceDeclaration` in force, or None.
    find_largest : callable
        Takes a pool's name and returns its largest `ListedInstance`, or None.
    """

    def __init__(self, acceptor, clock, find_service, find_largest):
        self._acceptor = acceptor
        self._clock = clock
        self._find_service = find_service
        self._find_largest = find_largest

    def handles(self, admitted):
        """Return whether an `AdmittedRequest` is about jobs."""
        path = admitted.incoming.path.partition("?")[0]
        return path == JOBS_PATH or path.startswith(JOBS_PATH + "/")

    async def serve(self, admitted):
        """Return the `Response` of an `AdmittedRequest` about jobs."""
        limit = admitted.deadline - self._clock.read_monotonic()
        try:
            async with asyncio.timeout(limit):
                return await self._serve(admitted)
        except TimeoutError:
            refusal = Refusal(
                504, Outcome.UNKNOWN, "Outcome unknown", "the time limit passed"
            )
        except RequestError as error:
            status = 409 if "Idempotency-Key" in error.message else 400
            refusal = Refusal(status, Outcome.NOT_RUN, "Bad request", error.message)
        except PlatformUnavailableError as error:
            refusal = Refusal(
                503, Outcome.NOT_RUN, "Platform unavailable", error.message, RETRY_AFTER
            )
        except (AnswerLostError, PlatformError) as error:
            refusal = Refusal(504, Outcome.UNKNOWN, "Outcome unknown", error.message)
        return build_refusal_response(admitted.incoming.request_id, refusal)

    async def _serve(self, admitted):
        incoming = admitted.incoming
        name = incoming.path.partition("?")[0].removeprefix(JOBS_PATH).strip("/")
        match incoming.method, bool(name):
            case "POST", False:
                return await self._submit(admitted)
            case "GET", True:
                job_id = parse_job_id(name)
                found = await self._acceptor.find(incoming.service, job_id)
                return _build_job_response(incoming.request_id, found)
            case "DELETE", True:
                job_id = parse_job_id(name)
                found = await self._acceptor.cancel(incoming.service, job_id)
                return _build_job_response(incoming.request_id, found, cancelling=True)
        detail = (
            f"method: found {incoming.method}, expected POST {JOBS_PATH}, "
            f"or GET or DELETE {JOBS_PATH}/<job>"
        )
        refusal = Refusal(405, Outcome.NOT_RUN, "Bad method", detail)
        return build_refusal_response(incoming.request_id, refusal)

    async def _submit(self, admitted):
        incoming = admitted.incoming
        specs = parse_submission(incoming.body)
        limits = self._get_limits(incoming.service)
        for spec in specs:
            check_job(spec, limits)
        submission = JobSubmission(
            incoming.request_id, incoming.service, specs, incoming.body, admitted.key
        )
        acceptance = await self._acceptor.accept(submission)
        document = {"jobs": acceptance.job_ids, "repeated": acceptance.repeated}
        return _build_response(incoming.request_id, document, 202)

    def _get_limits(self, service):
        quota = self._find_service(service).quota
        largest = self._find_largest(service)
        if largest is None:
            return PoolLimits(quota=quota)
        return PoolLimits(largest.cores, largest.memory, largest.accelerators, quota)


def _build_response(request_id, document, status):
    headers = (
        (OUTCOME_HEADER, Outcome.ANSWERED.value),
        (REQUEST_ID_HEADER, request_id),
        ("Content-Type", "application/json"),
    )
    body = msgspec.json.encode(document)
    return Response(status, Outcome.ANSWERED, headers, body)


def _build_job_response(request_id, found, cancelling=False):
    """Return the `Response` that shows a job.

    The status of a cancellation is 200 if the job is cancelled, 202 if it has yet to
    be stopped, and 409 if it had already ended otherwise.
    """
    if found is None:
        return _build_response(request_id, {"detail": "found no such job"}, 404)
    state = found.job.state
    document = {
        "job": found.job_id,
        "name": found.job.spec.name,
        "phase": state.phase,
        "ran": state.ran,
        "cancel_asked": state.cancel_asked,
        "attempts": state.attempts,
        "worker": state.attempt.worker if state.attempt else None,
        "reason": state.reason,
    }
    status = 200
    if cancelling and state.phase not in TERMINAL_PHASES:
        status = 202
    elif cancelling and state.phase is not JobPhase.CANCELLED:
        status = 409
    return _build_response(request_id, document, status)
