"""Decides which workspace a call belongs to, and whether it may be served now.

A call with an API key is decided by the node's own copy of the configuration. That copy
may be out of date: an unknown key may be newer than it, and a known one may have been
revoked since. How old it may be is judged by the time at which the request was sent
whose answer last proved it newest.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from peridotspoke.workloads.configuration import Queue, Workspace

__all__ = [
    "CallerKey",
    "Denied",
    "Granted",
    "KeyFault",
    "Proof",
    "StaleProof",
    "UnprovedKey",
    "can_access",
    "decide_access",
    "index_keys",
]

MAX_KEY_SIZE = 4096  # bytes
PROOF_MARGIN = 0.25  # seconds for the time between the decision and its effect


class KeyFault(enum.StrEnum):
    """Why a call has no valid API key."""

    ABSENT = "no key"
    REPEATED = "more than one key"
    TOO_LONG = "key too long"
    NOT_TEXT = "key is not text"
    UNKNOWN = "unknown key"


@dataclass(frozen=True, slots=True)
class CallerKey:
    """The API key of a call, as received.

    Parameters
    ----------
    lines : tuple of str, optional
        The values of all header lines that carry a key; bytes that are not UTF-8 are
        surrogate characters. They are not part of the representation, so that no log
        line or error message shows a key.
    """

    lines: tuple[str, ...] = field(default=(), repr=False)

    def find_fault(self):
        """Return the `KeyFault` that makes this no key of any workspace, or None.

        Examples
        --------
        >>> CallerKey(("k",)).find_fault() is None
        True
        >>> str(CallerKey(("k", "k")).find_fault())
        'more than one key'
        """
        if len(self.lines) > 1:
            return KeyFault.REPEATED
        if not self.lines or not self.lines[0]:
            return KeyFault.ABSENT
        try:
            size = len(self.lines[0].encode())
        except UnicodeEncodeError:
            return KeyFault.NOT_TEXT
        if size > MAX_KEY_SIZE:
            return KeyFault.TOO_LONG
        return None


@dataclass(frozen=True, slots=True)
class Proof:
    """What is known about a configuration's age.

    Parameters
    ----------
    proved_at : float
        Monotonic time, in seconds, at which the request was sent whose answer last
        proved the configuration newest.
    revocation : float
        Time after which no call succeeds with a revoked key, in seconds; 0 if no such
        bound holds.
    """

    proved_at: float
    revocation: float = 0.0

    def is_young(self, now):
        """Return whether a known key is certainly within the bound of revocations."""
        if not self.revocation:
            return True
        return now - self.proved_at <= self.revocation - PROOF_MARGIN


@dataclass(frozen=True, slots=True)
class Granted:
    """The call is served.

    Parameters
    ----------
    workspace : str
        Name of the caller's workspace; empty for an anonymous caller.
    """

    workspace: str = ""


@dataclass(frozen=True, slots=True)
class Denied:
    """The call has no valid key."""

    fault: KeyFault


@dataclass(frozen=True, slots=True)
class UnprovedKey:
    """The key is unknown; it may belong to a newer configuration."""


@dataclass(frozen=True, slots=True)
class StaleProof:
    """The key is known, and the configuration too old to tell whether it still holds.

    Parameters
    ----------
    workspace : str
        Name of the workspace that had the key.
    """

    workspace: str


def index_keys(workspaces):
    """Return the `Workspace` of each key; of a key of several, the first of these.

    Parameters
    ----------
    workspaces : iterable of Workspace

    Examples
    --------
    >>> index_keys([Workspace("a", frozenset({"k"})), Workspace("b")])["k"].name
    'a'
    """
    index = {}
    for workspace in workspaces:
        for key in workspace.keys:
            index.setdefault(key, workspace)
    return index


def decide_access(
    queue: Queue,
    key: CallerKey,
    index: Mapping[str, Workspace],
    proof: Proof,
    arrived_at: float,
    now: float,
):
    """Decide whether a call is served, where the configuration has workspaces.

    An anonymous queue needs no key. A valid one still shows which workspace's jobs the
    caller has access to, since the queue may have needed keys before.

    Parameters
    ----------
    queue : Queue
    key : CallerKey
    index : Mapping of str to Workspace
        As `index_keys` returns it.
    proof : Proof
    arrived_at : float
        Monotonic time, in seconds, at which the call arrived.
    now : float
        Monotonic seconds.

    Returns
    -------
    Granted, Denied, UnprovedKey or StaleProof

    Examples
    --------
    >>> queue = Queue("q", "h", "/", "p")
    >>> index = index_keys([Workspace("a", frozenset({"k"}))])
    >>> proof = Proof(proved_at=6.0, revocation=5.0)
    >>> decide_access(queue, CallerKey(("k",)), index, proof, 9.0, 9.0)
    Granted(workspace='a')
    >>> decide_access(queue, CallerKey(("k",)), index, proof, 9.0, 10.8)
    StaleProof(workspace='a')
    >>> decide_access(queue, CallerKey(("x",)), index, proof, 9.0, 9.0)
    UnprovedKey()
    """
    fault = key.find_fault()
    workspace = None if fault else index.get(key.lines[0])
    if queue.anonymous:
        is_known = workspace is not None and proof.is_young(now)
        return Granted(workspace.name if is_known else "")
    if fault:
        return Denied(fault)
    if workspace is None:
        # Proved by a request that was sent after the call arrived: no configuration
        # that was acknowledged before the call has the key.
        is_proved = proof.proved_at >= arrived_at
        return Denied(KeyFault.UNKNOWN) if is_proved else UnprovedKey()
    if not proof.is_young(now):
        return StaleProof(workspace.name)
    return Granted(workspace.name)


def can_access(job, workspace):
    """Return whether a caller has access to a job.

    Parameters
    ----------
    job : Job
    workspace : str or None
        The caller's workspace, empty for an anonymous caller; None where the
        configuration has no workspaces.
    """
    return workspace is None or job.workspace in ("", workspace)
