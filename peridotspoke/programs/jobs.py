"""The routes by which callers submit, see and cancel jobs."""

import msgspec
from aiohttp import web

from peridotspoke.exceptions import (
    AnswerLostError,
    PlatformError,
    PlatformUnavailableError,
    RequestError,
)
from peridotspoke.identities import make_operation_id
from peridotspoke.jobs import (
    MAX_SUBMISSION,
    JobSubmission,
    PoolLimits,
    check_job,
    parse_job_id,
    parse_submission,
)
from peridotspoke.jobs.messages import TERMINAL_PHASES, JobPhase
from peridotspoke.requests.concluding import conclude_refusal
from peridotspoke.requests.messages import Outcome, Refusal

__all__ = ["JobRoutes"]

MAX_KEY = 255  # characters
RETRY_AFTER = 1  # seconds
ANSWERED = {"Peridotspoke-Outcome": Outcome.ANSWERED}


class JobRoutes:
    """Answers callers about jobs.

    Parameters
    ----------
    acceptor : JobAcceptor
    random : random.Random
    find_service : callable
        Returns the `ServiceDeclaration` in force by its name, or None.
    find_largest : callable, optional
        Returns the largest `ListedInstance` of a pool by its name, or None.
    """

    def __init__(self, acceptor, random, find_service, find_largest=None):
        self._acceptor = acceptor
        self._random = random
        self._find_service = find_service
        self._find_largest = find_largest or (lambda pool: None)

    def register(self, application):
        """Add the routes; those of `application` that match all come later."""
        router = application.router
        router.add_post("/{service}/jobs", self._guard(self._submit))
        router.add_get("/{service}/jobs/{job}", self._guard(self._show))
        router.add_delete("/{service}/jobs/{job}", self._guard(self._cancel))

    def _guard(self, handler):
        async def handle(request):
            request_id = make_operation_id(self._random)
            try:
                return await handler(request, request_id)
            except web.HTTPRequestEntityTooLarge:
                detail = f"body: expected at most {MAX_SUBMISSION} bytes"
                refusal = _refuse(413, Outcome.NOT_RUN, "Body too large", detail)
            except RequestError as error:
                status = 409 if "Idempotency-Key" in error.message else 400
                refusal = _refuse(status, Outcome.NOT_RUN, "Bad request", error.message)
            except AnswerLostError as error:
                refusal = _refuse(
                    504, Outcome.UNKNOWN, "Outcome unknown", error.message
                )
            except PlatformUnavailableError as error:
                refusal = _refuse(
                    503, Outcome.NOT_RUN, "Platform unavailable", error.message
                )
            except PlatformError as error:
                refusal = _refuse(
                    502, Outcome.UNKNOWN, "Record unreadable", error.message
                )
            conclusion = conclude_refusal(request_id, refusal)
            return web.Response(
                status=conclusion.status,
                headers=conclusion.headers,
                body=conclusion.body,
            )

        return handle

    def _get_declaration(self, request):
        service = request.match_info["service"]
        declaration = self._find_service(service)
        if declaration is None:
            raise RequestError(
                f"service: found {service!r}, expected a published one",
                step="find service",
            )
        return declaration

    async def _submit(self, request, request_id):
        declaration = self._get_declaration(request)
        key = request.headers.get("Idempotency-Key", "")
        if len(key) > MAX_KEY:
            raise RequestError(
                f"Idempotency key: found {len(key)} characters, "
                f"expected at most {MAX_KEY}",
                step="read headers",
            )
        body = await request.read()
        specs = parse_submission(body)
        limits = self._get_limits(declaration)
        for spec in specs:
            check_job(spec, limits)
        submission = JobSubmission(request_id, declaration.service, specs, body, key)
        acceptance = await self._acceptor.accept(submission)
        document = {"jobs": acceptance.job_ids, "repeated": acceptance.repeated}
        place = f"/{declaration.service}/jobs/{acceptance.job_ids[0]}"
        return _answer(document, 202, {"Location": place})

    def _get_limits(self, declaration):
        largest = self._find_largest(declaration.service)
        if largest is None:
            return PoolLimits(quota=declaration.quota)
        return PoolLimits(
            largest.cores, largest.memory, largest.accelerators, declaration.quota
        )

    async def _show(self, request, request_id):
        declaration = self._get_declaration(request)
        job_id = parse_job_id(request.match_info["job"])
        found = await self._acceptor.find(declaration.service, job_id)
        return _answer_job(found)

    async def _cancel(self, request, request_id):
        declaration = self._get_declaration(request)
        job_id = parse_job_id(request.match_info["job"])
        found = await self._acceptor.cancel(declaration.service, job_id)
        return _answer_job(found, cancelling=True)


def _refuse(status, outcome, title, detail):
    retry_after = RETRY_AFTER if status == 503 else 0
    return Refusal(status, outcome, title, detail, retry_after)


def _answer(document, status=200, headers=None):
    return web.Response(
        status=status,
        headers={**ANSWERED, **(headers or {})},
        body=msgspec.json.encode(document),
        content_type="application/json",
    )


def _answer_job(found, cancelling=False):
    """Return the answer that shows a job.

    A cancellation is answered with 200 where the job is cancelled, 202 where it is
    still to be stopped, and 409 where it had ended before.
    """
    if found is None:
        return _answer({"detail": "found no such job"}, 404)
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
    return _answer(document, status)
