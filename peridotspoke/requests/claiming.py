"""Runs keyed requests at most once, by claims in the platform's key-value store."""

import asyncio
import math
from dataclasses import replace

from peridotspoke.exceptions import (
    OperationConflictError,
    PeerError,
    PlatformError,
    RecordError,
)
from peridotspoke.identities import make_operation_id
from peridotspoke.requests.claims import (
    AnswerState,
    ClaimRecord,
    LeaseBucket,
    RequestHistory,
    fingerprint_request,
    make_answer_key,
    make_claim_key,
)
from peridotspoke.requests.messages import Outcome, Refusal, UpstreamAnswer
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

__all__ = ["IdempotentRunner"]

MAX_CLAIM_ATTEMPTS = 3
POLL_INTERVAL = 0.2  # seconds


class IdempotentRunner:
    """Claims and runs keyed requests, and answers repeated ones.

    A keyed request is one with an Idempotency-Key that is not idempotent otherwise.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    random : random.Random
        Source of the claims' identifiers.
    service : KeyValueService
        Store of the claims.
    directory : AnswerDirectory
        Access to the answers that other entry instances remember.
    identity : ClaimRecord
        Template for the claims of this entry instance; its `fingerprint` and
        `operation` are ignored.
    """

    def __init__(self, settings, clock, random, service, directory, identity):
        self._clock = clock
        self._random = random
        self._service = service
        self._directory = directory
        self._identity = identity
        self._history = RequestHistory(settings.answer_entries, settings.answer_memory)
        self._in_progress = {}
        self._lease_buckets = {}
        self._lease_lock = asyncio.Lock()

    def find_answer(self, answer_key):
        """Return the `RememberedAnswer` of one of this entry instance's claims.

        Parameters
        ----------
        answer_key : str
            Result of `make_answer_key`.

        Returns
        -------
        RememberedAnswer
        """
        return self._history.find_answer(answer_key, self._clock.read_monotonic())

    async def run(self, request, send):
        """Run a keyed request, or return the answer of its first run.

        Parameters
        ----------
        request : AdmittedRequest
        send : callable
            Coroutine function without parameters that queues and sends the request
            and returns an `UpstreamAnswer` or a `Refusal`.

        Returns
        -------
        UpstreamAnswer or Refusal
        """
        claim_key = make_claim_key(request.incoming.service, request.key)
        if not await self._wait_until_idle(request, claim_key):
            return _refuse_unknown("the first request with this key still runs")
        claim = self._make_claim(request)
        remembered = self._history.find(claim_key, self._clock.read_monotonic())
        if remembered is not None and remembered.state is not AnswerState.NOT_RUN:
            return _answer_repeat(remembered, claim.fingerprint)
        return await self._claim_and_run(request, claim_key, claim, send)

    async def _wait_until_idle(self, request, claim_key):
        """Wait until no other request with the key is in progress here.

        Returns
        -------
        bool
            False if the deadline passes first.
        """
        while (ended := self._in_progress.get(claim_key)) is not None:
            remaining = request.deadline - self._clock.read_monotonic()
            if remaining <= 0:
                return False
            await asyncio.wait([ended], timeout=remaining)
        return True

    async def _claim_and_run(self, request, claim_key, claim, send):
        ended = asyncio.get_running_loop().create_future()
        self._in_progress[claim_key] = ended
        now = self._clock.read_monotonic()
        self._history.begin(claim_key, claim.fingerprint, claim.operation, now)
        result = _refuse_unknown("the entry instance stopped")
        claimed = False
        try:
            refusal = await self._claim(request, claim_key, claim)
            claimed = refusal is None
            result = await send() if claimed else refusal
        finally:
            self._record_end(request, claim_key, result, claimed)
            del self._in_progress[claim_key]
            ended.set_result(None)
        return result

    def _record_end(self, request, claim_key, result, claimed):
        """Record the result; without a claim, record that the request was not run."""
        now = self._clock.read_monotonic()
        expires_at = now + request.rules.key_lifetime
        if not claimed or _get_outcome(result) is Outcome.NOT_RUN:
            state, answer = AnswerState.NOT_RUN, None
        elif isinstance(result, UpstreamAnswer):
            state, answer = AnswerState.FINISHED, result
        else:
            state, answer = AnswerState.UNKNOWN, None
        self._history.record_end(claim_key, state, answer, expires_at, now)

    async def _claim(self, request, claim_key, claim):
        """Claim the key.

        Returns
        -------
        UpstreamAnswer or Refusal or None
            None if this entry instance may send the request; otherwise the answer
            for the caller.
        """
        remaining = request.deadline - self._clock.read_monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                return await self._write_claim(request, claim_key, claim)
        except TimeoutError:
            return _refuse_not_run("the claim was not made within the time limit")
        except PlatformError as error:
            return _refuse_not_run(f"the key can't be claimed: {error}")

    async def _write_claim(self, request, claim_key, claim):
        note = self._make_change_note(request, claim)
        stored = Stored(claim, (note,))
        expected = 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            lease = await self._get_lease(request.rules.key_lifetime)
            try:
                await swap_stored(
                    self._service, claim_key, stored, expected, lease.lease_id
                )
                return self._refuse_unless_in_time(lease, request)
            except OperationConflictError:
                record = await self._service.read(claim_key)
            except PlatformError:
                self._lease_buckets.pop(request.rules.key_lifetime, None)
                raise
            expected = 0 if record is None else record.revision
            if record is not None:
                result = await self._query_holder(request, claim_key, claim, record)
                if result is not None:
                    return result
        return _refuse_not_run("the key is claimed again and again")

    def _make_claim(self, request):
        return replace(
            self._identity,
            fingerprint=fingerprint_request(request.incoming),
            operation=make_operation_id(self._random),
        )

    def _make_change_note(self, request, claim):
        return ChangeNote(
            operation=claim.operation,
            author=claim.entry,
            action="claim",
            reason=f"request {request.incoming.request_id}",
            at=self._clock.read_wall(),
        )

    def _refuse_unless_in_time(self, lease, request):
        """Return a `Refusal` unless the claim lasts beyond the request's deadline.

        A request that is past its deadline, or could still run after the claim has
        expired, must not be sent.
        """
        in_time = self._clock.read_monotonic() < request.deadline
        if in_time and lease.is_held(request.deadline):
            return None
        return _refuse_not_run("too little is left of the time limit or the claim")

    async def _get_lease(self, lifetime):
        bucket = self._lease_buckets.setdefault(lifetime, LeaseBucket(lifetime))
        async with self._lease_lock:
            lease = bucket.get_lease(self._clock.read_monotonic())
            if lease is None:
                lease = await self._service.grant_lease(math.ceil(bucket.ttl))
                bucket.set_lease(lease)
            return lease

    async def _query_holder(self, request, claim_key, own, record):
        """Ask the holder of the key's claim for the answer to a repeated request.

        Parameters
        ----------
        request : AdmittedRequest
        claim_key : str
        own : ClaimRecord
            Claim that this entry instance tries to make.
        record : Record
            Stored claim of the holder.

        Returns
        -------
        UpstreamAnswer or Refusal or None
            None if the request was not run, so that the claim may be replaced.
            Replacing it compares the revision of `record`, so at most one of several
            entry instances succeeds.
        """
        try:
            claim = decode_record(record, ClaimRecord).body
        except RecordError as error:
            return _refuse_unknown(f"the claim can't be read: {error}")
        if claim.fingerprint != own.fingerprint:
            return _refuse_other_request()
        answer_key = make_answer_key(claim_key, claim.operation)
        while True:
            try:
                remembered = await self._fetch_answer(claim, answer_key)
            except PeerError as error:
                return _refuse_unknown(f"the claim's holder doesn't answer: {error}")
            if remembered.state is AnswerState.NOT_RUN:
                return None
            remaining = request.deadline - self._clock.read_monotonic()
            if (
                remembered.state is not AnswerState.RUNNING
                or remaining <= POLL_INTERVAL
            ):
                return _answer_repeat(remembered, claim.fingerprint)
            await asyncio.sleep(POLL_INTERVAL)

    async def _fetch_answer(self, claim, answer_key):
        if claim.is_held_by(self._identity):
            return self.find_answer(answer_key)
        return await self._directory.fetch_answer(claim, answer_key)


def _get_outcome(result):
    return getattr(result, "outcome", Outcome.ANSWERED)


def _answer_repeat(remembered, fingerprint):
    """Return the answer to a repeated request from the state of the first one."""
    if remembered.fingerprint not in ("", fingerprint):
        return _refuse_other_request()
    if remembered.state is AnswerState.FINISHED:
        return remembered.answer
    if remembered.state is AnswerState.RUNNING:
        return _refuse_unknown("the first request with this key still runs")
    return _refuse_unknown("the holder of the claim doesn't know how it ended")


def _refuse_not_run(detail):
    return Refusal(503, Outcome.NOT_RUN, "Not run", detail, 1)


def _refuse_unknown(detail):
    return Refusal(504, Outcome.UNKNOWN, "Outcome unknown", detail)


def _refuse_other_request():
    detail = "Idempotency-Key: expected the first request again, found another one"
    return Refusal(422, Outcome.NOT_RUN, "Key used for another request", detail)
