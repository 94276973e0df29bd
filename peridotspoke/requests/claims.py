"""Claims that let one entry instance run a keyed request, without I/O."""

import enum
import hashlib
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

from peridotspoke.requests.memory import ExpiringMap
from peridotspoke.requests.messages import UpstreamAnswer

__all__ = [
    "AnswerDirectory",
    "AnswerState",
    "CLAIMS_PREFIX",
    "ClaimRecord",
    "KeyedRequests",
    "LeaseBucket",
    "NoAnswerDirectory",
    "RememberedAnswer",
    "fingerprint_request",
    "key_answer",
    "key_claim",
]

CLAIMS_PREFIX = "claims/"
DIGEST_SIZE = 16  # bytes
BUCKET_SHARE = 0.25  # of a key's lifetime
ENTRY_OVERHEAD = 512  # bytes of a remembered answer besides its body


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Names the one entry instance that may send a keyed request.

    `address` is for peers; `fingerprint` is that of the request; `operation` is
    the identity of the claim itself.
    """

    entry: str
    incarnation: int
    address: str
    fingerprint: str = ""
    operation: str = ""

    def is_held_by(self, other):
        """Return whether the same life of the same entry made both claims."""
        return (self.entry, self.incarnation) == (other.entry, other.incarnation)


class AnswerState(enum.StrEnum):
    """What the holder of a claim knows of the request."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    FINISHED = "finished"
    NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class RememberedAnswer:
    """The state of a keyed request and, where it is finished, its answer.

    `unused` names claims of the same key that were never followed by sending.
    """

    state: AnswerState
    answer: UpstreamAnswer | None = None
    fingerprint: str = ""
    operation: str = ""
    unused: frozenset[str] = frozenset()


class AnswerDirectory(ABC):
    """Asks other entry instances for the answers that they remember."""

    @abstractmethod
    async def fetch_answer(self, claim, answer_key):
        """Return the `RememberedAnswer` of the entry that `claim` names.

        That entry finds it by `KeyedRunner.recall_answer`.

        Parameters
        ----------
        claim : ClaimRecord
        answer_key : str
            As `key_answer` returns it; not to be taken apart.

        Raises
        ------
        PeerError
            If that entry can't be reached or has another incarnation.
        """


class NoAnswerDirectory(AnswerDirectory):
    """Knows no other entry instance."""

    async def fetch_answer(self, claim, answer_key):
        """Return that nothing is known."""
        return RememberedAnswer(AnswerState.UNKNOWN)


def key_claim(service, key):
    """Return the record's key for a caller's idempotency key.

    Examples
    --------
    >>> key_claim("feldkirch", "order-7")
    'claims/1dc920162500f151690fc8a7b95abfda'
    """
    text = f"{service}\0{key}".encode()
    return CLAIMS_PREFIX + hashlib.blake2b(text, digest_size=DIGEST_SIZE).hexdigest()


def key_answer(claim_key, operation):
    """Return the name by which an entry is asked about one claim of a key."""
    return f"{claim_key}@{operation}"


def fingerprint_request(incoming):
    """Return a digest of what a repeat must share: method, path and body."""
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE)
    for part in (incoming.method.encode(), incoming.path.encode(), incoming.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class KeyedRequests:
    """What this entry instance knows of the keyed requests that it took.

    Parameters
    ----------
    most_entries : int
    most_bytes : int

    Notes
    -----
    An entry dropped early is `UNKNOWN` to whoever asks, never "not run".
    """

    def __init__(self, most_entries, most_bytes):
        self._running = {}
        self._known = ExpiringMap(most_entries, most_bytes)

    def begin(self, claim_key, fingerprint, operation, now):
        """Note that this entry is claiming or running the request."""
        known = self.find(claim_key, now)
        self._running[claim_key] = RememberedAnswer(
            AnswerState.RUNNING,
            None,
            fingerprint,
            operation,
            known.unused if known else frozenset(),
        )

    def conclude(self, claim_key, state, answer, expires_at, now):
        """Remember how the request ended until `expires_at`, monotonic seconds."""
        running = self._running.pop(claim_key)
        unused = running.unused
        if state is AnswerState.NOT_RUN:
            unused |= {running.operation}
        remembered = replace(running, state=state, answer=answer, unused=unused)
        size = ENTRY_OVERHEAD + (len(answer.body) if answer else 0)
        self._known.put(claim_key, remembered, size, expires_at, now)

    def find(self, claim_key, now):
        """Return the `RememberedAnswer` of a key, or None where none is known."""
        return self._running.get(claim_key) or self._known.get(claim_key, now)

    def recall(self, answer_key, now):
        """Return the `RememberedAnswer` of one claim; `UNKNOWN` where forgotten."""
        claim_key, _, operation = answer_key.rpartition("@")
        found = self.find(claim_key, now)
        if found is not None and operation in found.unused:
            return RememberedAnswer(AnswerState.NOT_RUN)
        if found is None or found.operation != operation:
            return RememberedAnswer(AnswerState.UNKNOWN)
        return found


class LeaseBucket:
    """Decides when claims need a new lease.

    All claims of one span of time share a lease that is never renewed and does not
    depend on the life of the entry instance, so that a claim outlives its holder.

    Parameters
    ----------
    lifetime : float
        Seconds for which a key must stay claimed.
    """

    def __init__(self, lifetime):
        self.ttl = lifetime * (1 + BUCKET_SHARE)
        self._lifetime = lifetime
        self._lease = None

    def get(self, now):
        """Return a lease that lasts at least the lifetime from `now`, or None."""
        if self._lease is None:
            return None
        left = self._lease.asked_at + self._lease.ttl - now
        return self._lease if left >= self._lifetime else None

    def keep(self, lease):
        """Use `lease` for the claims to come; None drops the present one."""
        self._lease = lease
