"""Entry instances that claim idempotency keys in a shared store, for tests."""

import asyncio
import itertools
import random

from multidict import CIMultiDict

from peridotspoke.clock import ManualClock
from peridotspoke.declarations.schema import RequestsDeclaration
from peridotspoke.exceptions import (
    AnswerLostError,
    PeerError,
    PlatformUnavailableError,
)
from peridotspoke.programs.settings import EntrySettings
from peridotspoke.requests import (
    AdmittedRequest,
    AnswerDirectory,
    ClaimRecord,
    IdempotentRunner,
    IncomingRequest,
    Outcome,
    Refusal,
    UpstreamAnswer,
)
from peridotspoke.standins import StoreStandIn
from peridotspoke.store import KeyValueService, Lease

KEY_LIFETIME = 600.0  # seconds
TIME_LIMIT = 5.0  # seconds


class StoreService(KeyValueService):
    """Key-value service on an in-memory store, with injected faults.

    The coroutine function `intercept` is awaited with ``"call"`` before each
    operation and with ``"answer"`` after it, and may raise the error for the loss of
    either.
    """

    def __init__(self, clock, intercept):
        self.store = StoreStandIn()
        self._clock = clock
        self._intercept = intercept

    async def _call(self, method, action):
        await self._intercept("call")
        self.store.calls[method] += 1
        result = action(self._clock.read_monotonic())
        await self._intercept("answer")
        return result

    async def read(self, key):
        return await self._call("read", lambda now: self.store.read(key, now))

    async def swap(self, key, value, expected_revision, lease_id=0):
        return await self._call(
            "swap",
            lambda now: self.store.swap(key, value, expected_revision, lease_id, now),
        )

    async def grant_lease(self, ttl):
        requested_at = self._clock.read_monotonic()
        lease_id = await self._call(
            "grant", lambda now: self.store.grant_lease(ttl, now)
        )
        return Lease(lease_id, ttl, requested_at)

    async def read_prefix(self, prefix):
        raise NotImplementedError

    async def renew_lease(self, lease):
        raise NotImplementedError

    async def revoke_lease(self, lease):
        raise NotImplementedError

    def watch(self, prefix, from_revision):
        raise NotImplementedError


class Fleet(AnswerDirectory):
    """Entry instances by name, and the directory through which they reach each other.

    Those in `unreachable` can't be reached.
    """

    def __init__(self, intercept):
        self.clock = ManualClock(1000.0)
        self.service = StoreService(self.clock, intercept)
        self.entries = {}
        self.identities = {}
        self.unreachable = set()
        self._incarnations = itertools.count(1)
        self._random = random.Random(7)

    def start_entry(self, name, max_entries=100):
        """Start an entry instance, or restart it without its remembered answers."""
        settings = EntrySettings(name=name, zone="z", answer_entries=max_entries)
        identity = ClaimRecord(name, next(self._incarnations), "127.0.0.1:1")
        self.identities[name] = identity
        self.entries[name] = IdempotentRunner(
            settings, self.clock, self._random, self.service, self, identity
        )

    async def fetch_answer(self, claim, answer_key):
        entry = self.identities.get(claim.entry)
        if (
            claim.entry in self.unreachable
            or entry is None
            or not claim.is_held_by(entry)
        ):
            raise PeerError("unreachable", step="fetch answer", peer=claim.entry)
        return self.entries[claim.entry].find_answer(answer_key)

    def make_request(self, key="k", body=b"silk"):
        """Return an `AdmittedRequest` with an idempotency key."""
        now = self.clock.read_monotonic()
        incoming = IncomingRequest(
            f"r{now}", "dornbirn", "POST", "/order", CIMultiDict(), body, now
        )
        rules = RequestsDeclaration(key_lifetime=KEY_LIFETIME)
        return AdmittedRequest(incoming, False, now + TIME_LIMIT, rules, key)


def make_answer(number):
    """Return the answer of the run with this number."""
    return UpstreamAnswer(200, (("X-Run", str(number)),), b"done")


def make_refusal(outcome):
    """Return a `Refusal` with `outcome`."""
    return Refusal(503, outcome, "", "")


def get_outcome(result):
    """Return the outcome of an answer or a refusal."""
    return getattr(result, "outcome", Outcome.ANSWERED)


class FaultInjector:
    """Injects faults of the platform: unavailability and lost answers.

    After the last lost answer the platform goes down if `down_after` is set. The
    callback `on_answer` is called before each answer.
    """

    def __init__(self):
        self.down = False
        self.answers_to_lose = 0
        self.down_after = False
        self.on_answer = lambda: None

    async def __call__(self, stage):
        await asyncio.sleep(0)
        if stage == "call" and self.down:
            raise PlatformUnavailableError("down")
        if stage == "answer":
            self.on_answer()
        if stage == "answer" and self.answers_to_lose:
            self.answers_to_lose -= 1
            self.down = self.down_after
            raise AnswerLostError("lost")
