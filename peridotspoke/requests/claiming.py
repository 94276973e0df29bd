"""Runs keyed requests at most once through claims in the platform's service."""

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
    KeyedRequests,
    LeaseBucket,
    fingerprint_request,
    key_answer,
    key_claim,
)
from peridotspoke.requests.messages import Outcome, Refusal, UpstreamAnswer
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

__all__ = ["KeyedRunner"]

CLAIM_TRIES = 3
POLL_INTERVAL = 0.2  # seconds


class KeyedRunner:
    """Claims a keyed request, runs it, and answers its repeats.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock
    random : random.Random
    service : KeyValueService
    directory : AnswerDirectory
    identity : ClaimRecord
        This entry instance; its fingerprint is ignored.
    """

    def __init__(self, settings, clock, random, service, directory, identity):
        self._clock = clock
        self._random = random
        self._service = service
        self._directory = directory
        self._identity = identity
        self._known = KeyedRequests(settings.answer_entries, settings.answer_memory)
        self._ends = {}
        self._buckets = {}
        self._lease_lock = asyncio.Lock()

    def recall_answer(self, answer_key):
        """Return the `RememberedAnswer` of one of this entry's claims."""
        return self._known.recall(answer_key, self._clock.read_monotonic())

    async def run(self, request, send):
        """Return the `UpstreamAnswer` or `Refusal` of a keyed request.

        Parameters
        ----------
        request : AdmittedRequest
        send : callable
            Coroutine function without parameters that queues and sends the request
            and returns an `UpstreamAnswer` or a `Refusal`.
        """
        claim_key = key_claim(request.incoming.service, request.key)
        if not await self._wait_for_turn(request, claim_key):
            return _refuse_unknown("the first request with this key still runs")
        claim = self._make_claim(request)
        known = self._known.find(claim_key, self._clock.read_monotonic())
        if known is not None and known.state is not AnswerState.NOT_RUN:
            return _replay(known, claim.fingerprint)
        return await self._run_first(request, claim_key, claim, send)

    async def _wait_for_turn(self, request, claim_key):
        """Return whether no other request with the key is in progress here."""
        while (end := self._ends.get(claim_key)) is not None:
            left = request.deadline - self._clock.read_monotonic()
            if left <= 0:
                return False
            await asyncio.wait([end], timeout=left)
        return True

    async def _run_first(self, request, claim_key, claim, send):
        end = asyncio.get_running_loop().create_future()
        self._ends[claim_key] = end
        now = self._clock.read_monotonic()
        self._known.begin(claim_key, claim.fingerprint, claim.operation, now)
        result = _refuse_unknown("the entry instance stopped")
        claimed = False
        try:
            refusal = await self._claim(request, claim_key, claim)
            claimed = refusal is None
            result = await send() if claimed else refusal
        finally:
            self._conclude(request, claim_key, result, claimed)
            del self._ends[claim_key]
            end.set_result(None)
        return result

    def _conclude(self, request, claim_key, result, claimed):
        """Remember the end; of a claim that wasn't won only that it is unused."""
        now = self._clock.read_monotonic()
        expires_at = now + request.rules.key_lifetime
        if not claimed or _get_outcome(result) is Outcome.NOT_RUN:
            state, answer = AnswerState.NOT_RUN, None
        elif isinstance(result, UpstreamAnswer):
            state, answer = AnswerState.FINISHED, result
        else:
            state, answer = AnswerState.UNKNOWN, None
        self._known.conclude(claim_key, state, answer, expires_at, now)

    async def _claim(self, request, claim_key, claim):
        """Return None where this entry may send, else what the caller is told."""
        left = request.deadline - self._clock.read_monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                return await self._swap_claim(request, claim_key, claim)
        except TimeoutError:
            return _refuse_not_run("the claim was not made within the time limit")
        except PlatformError as error:
            return _refuse_not_run(f"the key can't be claimed: {error}")

    async def _swap_claim(self, request, claim_key, claim):
        note = self._make_note(request, claim)
        stored = Stored(claim, (note,))
        expected = 0
        for _ in range(CLAIM_TRIES):
            lease = await self._get_lease(request.rules.key_lifetime)
            try:
                await swap_stored(
                    self._service, claim_key, stored, expected, lease.lease_id
                )
                return self._check_lease(lease, request)
            except OperationConflictError:
                record = await self._service.read(claim_key)
            except PlatformError:
                self._buckets.pop(request.rules.key_lifetime, None)
                raise
            expected = 0 if record is None else record.revision
            if record is not None:
                told = await self._ask_holder(request, claim_key, claim, record)
                if told is not None:
                    return told
        return _refuse_not_run("the key is claimed again and again")

    def _make_claim(self, request):
        return replace(
            self._identity,
            fingerprint=fingerprint_request(request.incoming),
            operation=make_operation_id(self._random),
        )

    def _make_note(self, request, claim):
        return ChangeNote(
            operation=claim.operation,
            author=claim.entry,
            action="claim",
            reason=f"request {request.incoming.request_id}",
            at=self._clock.read_wall(),
        )

    def _check_lease(self, lease, request):
        """Refuse to send what is late or could still run after the claim's lapse."""
        in_time = self._clock.read_monotonic() < request.deadline
        if in_time and lease.is_held(request.deadline):
            return None
        return _refuse_not_run("too little is left of the time limit or the claim")

    async def _get_lease(self, lifetime):
        bucket = self._buckets.setdefault(lifetime, LeaseBucket(lifetime))
        async with self._lease_lock:
            lease = bucket.get(self._clock.read_monotonic())
            if lease is None:
                lease = await self._service.grant_lease(math.ceil(bucket.ttl))
                bucket.keep(lease)
            return lease

    async def _ask_holder(self, request, claim_key, own, record):
        """Return what a repeat is told, or None where the claim may be taken over.

        Whoever takes over a claim that was not used swaps the record at the same
        revision, so that of several only one can win.
        """
        try:
            claim = decode_record(record, ClaimRecord).body
        except RecordError as error:
            return _refuse_unknown(f"the claim can't be read: {error}")
        if claim.fingerprint != own.fingerprint:
            return _refuse_reuse()
        answer_key = key_answer(claim_key, claim.operation)
        while True:
            try:
                found = await self._fetch_answer(claim, answer_key)
            except PeerError as error:
                return _refuse_unknown(f"the claim's holder doesn't answer: {error}")
            if found.state is AnswerState.NOT_RUN:
                return None
            left = request.deadline - self._clock.read_monotonic()
            if found.state is not AnswerState.RUNNING or left <= POLL_INTERVAL:
                return _replay(found, claim.fingerprint)
            await asyncio.sleep(POLL_INTERVAL)

    async def _fetch_answer(self, claim, answer_key):
        if claim.is_held_by(self._identity):
            return self.recall_answer(answer_key)
        return await self._directory.fetch_answer(claim, answer_key)


def _get_outcome(result):
    return getattr(result, "outcome", Outcome.ANSWERED)


def _replay(remembered, fingerprint):
    """Return what a repeat is told of a request that was claimed before."""
    if remembered.fingerprint not in ("", fingerprint):
        return _refuse_reuse()
    if remembered.state is AnswerState.FINISHED:
        return remembered.answer
    if remembered.state is AnswerState.RUNNING:
        return _refuse_unknown("the first request with this key still runs")
    return _refuse_unknown("the holder of the claim doesn't know how it ended")


def _refuse_not_run(detail):
    return Refusal(503, Outcome.NOT_RUN, "Not run", detail, 1)


def _refuse_unknown(detail):
    return Refusal(504, Outcome.UNKNOWN, "Outcome unknown", detail)


def _refuse_reuse():
    detail = "Idempotency-Key: expected the first request again, found another one"
    return Refusal(422, Outcome.NOT_RUN, "Key used for another request", detail)
