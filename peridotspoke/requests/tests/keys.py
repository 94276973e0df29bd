"""Entry instances that claim keys in one store, for tests."""

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
    IncomingRequest,
    KeyedRunner,
    Outcome,
    Refusal,
    UpstreamAnswer,
)
from peridotspoke.standins import StoreStandIn
from peridotspoke.store import KeyValueService, Lease

LIFETIME = 600.0
LIMIT = 5.0


class StoreService(KeyValueService):
    """The store without I/O; `gate` is awaited before and after each effect.

    The gate gets ``"call"`` or ``"answer"`` and may raise the error of that loss.
    """

    def __init__(self, clock, gate):
        self.store = StoreStandIn()
        self._clock = clock
        self._gate = gate

    async def _call(self, method, action):
        await self._gate("call")
        self.store.calls[method] += 1
        result = action(self._clock.read_monotonic())
        await self._gate("answer")
        return result

    async def read(self, key):
        return await self._call("read", lambda now: self.store.read(key, now))

    async def swap(self, key, value, expected_revision, lease_id=0):
        return await self._call(
            "swap",
            lambda now: self.store.swap(key, value, expected_revision, lease_id, now),
        )

    async def grant_lease(self, ttl):
        asked_at = self._clock.read_monotonic()
        lease_id = await self._call(
            "grant", lambda now: self.store.grant_lease(ttl, now)
        )
        return Lease(lease_id, ttl, asked_at)

    async def read_prefix(self, prefix):
        raise NotImplementedError

    async def renew_lease(self, lease):
        raise NotImplementedError

    async def revoke_lease(self, lease):
        raise NotImplementedError

    def watch(self, prefix, from_revision):
        raise NotImplementedError


class Fleet(AnswerDirectory):
    """Entry instances by name, which ask each other unless cut off."""

    def __init__(self, gate):
        self.clock = ManualClock(1000.0)
        self.service = StoreService(self.clock, gate)
        self.entries = {}
        self.identities = {}
        self.cut = set()
        self._incarnations = itertools.count(1)
        self._random = random.Random(7)

    def start_entry(self, name, most_entries=100):
        """Start an entry instance, or start it again without its memory."""
        settings = EntrySettings(name=name, zone="z", answer_entries=most_entries)
        identity = ClaimRecord(name, next(self._incarnations), "127.0.0.1:1")
        self.identities[name] = identity
        self.entries[name] = KeyedRunner(
            settings, self.clock, self._random, self.service, self, identity
        )

    async def fetch_answer(self, claim, answer_key):
        entry = self.identities.get(claim.entry)
        if claim.entry in self.cut or entry is None or not claim.is_held_by(entry):
            raise PeerError("gone", step="fetch answer", peer=claim.entry)
        return self.entries[claim.entry].recall_answer(answer_key)

    def make_request(self, key="k", body=b"silk"):
        """Return an `AdmittedRequest` with a key."""
        now = self.clock.read_monotonic()
        incoming = IncomingRequest(
            f"r{now}", "dornbirn", "POST", "/order", CIMultiDict(), body, now
        )
        rules = RequestsDeclaration(key_lifetime=LIFETIME)
        return AdmittedRequest(incoming, False, now + LIMIT, rules, key)


def make_answer(number):
    """Return the answer of run `number`."""
    return UpstreamAnswer(200, (("X-Run", str(number)),), b"done")


def make_refusal(outcome):
    """Return a `Refusal` with `outcome`."""
    return Refusal(503, outcome, "", "")


def find_outcome(told):
    """Return the outcome of an answer or a refusal."""
    return getattr(told, "outcome", Outcome.ANSWERED)


class FaultyGate:
    """Raises the platform's errors as told: ``down``, and answers to lose."""

    def __init__(self):
        self.down = False
        self.lose = 0
        self.down_after = False
        self.on_answer = lambda: None

    async def __call__(self, stage):
        await asyncio.sleep(0)
        if stage == "call" and self.down:
            raise PlatformUnavailableError("down")
        if stage == "answer":
            self.on_answer()
        if stage == "answer" and self.lose:
            self.lose -= 1
            self.down = self.down_after
            raise AnswerLostError("lost")
