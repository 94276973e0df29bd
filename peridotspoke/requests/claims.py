"""Claims on idempotency keys and the remembered answers, without I/O."""

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
    "LeaseBucket",
    "NoAnswerDirectory",
    "RememberedAnswer",
    "RequestHistory",
    "fingerprint_request",
    "make_answer_key",
    "make_claim_key",
]

CLAIMS_PREFIX = "claims/"
DIGEST_SIZE = 16  # bytes
BUCKET_FRACTION = 0.25  # fraction of a key's lifetime
ANSWER_OVERHEAD = 512  # bytes for each remembered answer, without its body


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim of one entry instance on an idempotency key.

    Only the entry instance that holds the claim may send the request.

    Parameters
    ----------
    entry : str
        Name of the entry instance.
    incarnation : int
        Incarnation of its process.
    address : str
        Its address for other entry instances.
    fingerprint : str
        Fingerprint of the request; see `fingerprint_request`.
    operation : str
        Identifier of the claim.
    """

    entry: str
    incarnation: int
    address: str
    fingerprint: str = ""
    operation: str = ""

    def is_held_by(self, other):
        """Return whether both claims are of the same entry instance and incarnation."""
        return (self.entry, self.incarnation) == (other.entry, other.incarnation)


class AnswerState(enum.StrEnum):
    """State of a keyed request, as known by the holder of its claim."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    FINISHED = "finished"
    NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class RememberedAnswer:
    """State of a keyed request and, if it is finished, its answer.

    Parameters
    ----------
    state : AnswerState
    answer : UpstreamAnswer or None
        None unless the state is `FINISHED`.
    fingerprint : str
        Fingerprint of the request; empty if unknown.
    operation : str
        Identifier of the claim.
    unused : frozenset of str
        Identifiers of claims on the same key whose request was not run.
    """

    state: AnswerState
    answer: UpstreamAnswer | None = None
    fingerprint: str = ""
    operation: str = ""
    unused: frozenset[str] = frozenset()


class AnswerDirectory(ABC):
    """Looks up answers that other entry instances remember."""

    @abstractmethod
    async def fetch_answer(self, claim, answer_key):
        """Fetch the remembered answer from the holder of a claim.

        The holder looks it up with `IdempotentRunner.find_answer`.

        Parameters
        ----------
        claim : ClaimRecord
        answer_key : str
            Result of `make_answer_key`, to be treated as opaque.

        Returns
        -------
        RememberedAnswer

        Raises
        ------
        PeerError
            If the holder can't be reached or has been restarted since, so that its
            incarnation differs.
        """


class NoAnswerDirectory(AnswerDirectory):
    """Directory without other entry instances."""

    async def fetch_answer(self, claim, answer_key):
        """Return a `RememberedAnswer` in state `UNKNOWN`."""
        return RememberedAnswer(AnswerState.UNKNOWN)


def make_claim_key(service, key):
    """Return the store key of the claim on an idempotency key.

    Parameters
    ----------
    service : str
    key : str
        The Idempotency-Key that the caller sent.

    Returns
    -------
    str

    Examples
    --------
    >>> make_claim_key("feldkirch", "order-7")
    'claims/1dc920162500f151690fc8a7b95abfda'
    """
    text = f"{service}\0{key}".encode()
    return CLAIMS_PREFIX + hashlib.blake2b(text, digest_size=DIGEST_SIZE).hexdigest()


def make_answer_key(claim_key, operation):
    """Return the key under which the holder of a claim finds its answer.

    Parameters
    ----------
    claim_key : str
        Store key of the claim.
    operation : str
        Identifier of the claim.

    Returns
    -------
    str
    """
    return f"{claim_key}@{operation}"


def fingerprint_request(incoming):
    """Return a digest of the method, the path and the body of a request.

    Requests with the same idempotency key must have the same fingerprint.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE)
    for part in (incoming.method.encode(), incoming.path.encode(), incoming.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class RequestHistory:
    """Keyed requests that this entry instance runs or has run.

    Parameters
    ----------
    max_entries : int
        Maximum number of remembered answers.
    max_bytes : int
        Maximum total size of the remembered answers in bytes.

    Notes
    -----
    A request that was dropped before it expired is reported as `UNKNOWN`, never as
    `NOT_RUN`, because it may have run.
    """

    def __init__(self, max_entries, max_bytes):
        self._running = {}
        self._ended = ExpiringMap(max_entries, max_bytes)

    def begin(self, claim_key, fingerprint, operation, now):
        """Record that this entry instance claims or runs a request.

        Parameters
        ----------
        claim_key : str
        fingerprint : str
        operation : str
            Identifier of the claim.
        now : float
            Monotonic time in seconds.
        """
        previous = self.find(claim_key, now)
        self._running[claim_key] = RememberedAnswer(
            AnswerState.RUNNING,
            None,
            fingerprint,
            operation,
            previous.unused if previous else frozenset(),
        )

    def record_end(self, claim_key, state, answer, expires_at, now):
        """Record how a request ended.

        Parameters
        ----------
        claim_key : str
        state : AnswerState
        answer : UpstreamAnswer or None
        expires_at : float
            Monotonic time in seconds until which the result is kept.
        now : float
            Monotonic time in seconds.
        """
        running = self._running.pop(claim_key)
        unused = running.unused
        if state is AnswerState.NOT_RUN:
            unused |= {running.operation}
        ended = replace(running, state=state, answer=answer, unused=unused)
        size = ANSWER_OVERHEAD + (len(answer.body) if answer else 0)
        self._ended.put(claim_key, ended, size, expires_at, now)

    def find(self, claim_key, now):
        """Return the `RememberedAnswer` of a key, or None if there is none."""
        return self._running.get(claim_key) or self._ended.get(claim_key, now)

    def find_answer(self, answer_key, now):
        """Return the `RememberedAnswer` of one claim.

        Its state is `UNKNOWN` if the claim is not remembered any more.
        """
        claim_key, _, operation = answer_key.rpartition("@")
        remembered = self.find(claim_key, now)
        if remembered is not None and operation in remembered.unused:
            return RememberedAnswer(AnswerState.NOT_RUN)
        if remembered is None or remembered.operation != operation:
            return RememberedAnswer(AnswerState.UNKNOWN)
        return remembered


class LeaseBucket:
    """Shares one lease between the claims made within a period.

    The lease lasts longer than the lifetime of a key, by `BUCKET_FRACTION` of it,
    and is never renewed. It doesn't depend on the process of the entry instance, so
    a claim outlives its holder.

    Parameters
    ----------
    lifetime : float
        Seconds for which a key must stay claimed.
    """

    def __init__(self, lifetime):
        self.ttl = lifetime * (1 + BUCKET_FRACTION)
        self._lifetime = lifetime
        self._lease = None

    def get_lease(self, now):
        """Return the lease if it still lasts for a whole lifetime, or None."""
        if self._lease is None:
            return None
        remaining = self._lease.requested_at + self._lease.ttl - now
        return self._lease if remaining >= self._lifetime else None

    def set_lease(self, lease):
        """Set the lease for the following claims; None discards the current one."""
        self._lease = lease
