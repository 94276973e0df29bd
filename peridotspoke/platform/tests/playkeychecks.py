"""Checks of the calls of a play by the keys that they were sent with."""

from dataclasses import dataclass

from peridotspoke.platform.tests.playversions import list_in_force

__all__ = ["REVOCATION", "Call", "find_key_breaks", "find_shown_keys"]

REVOCATION = 5.0  # seconds, as revokeMs
# Statuses of calls that were not served, or not because of their key; any other one
# shows that the node took the key for valid. 0 is no answer.
UNSERVED = {0, 401, 404, 503}


@dataclass(frozen=True, slots=True)
class Call:
    """A call as its caller saw it; times in monotonic seconds.

    Parameters
    ----------
    asked_at : float
        Before the call was sent.
    told_at : float
        When the answer had been read, or the call was given up.
    node, method, path : str
    owner : str
        Workspace of the path's job; empty for the count of a queue, and for a job that
        was not accepted when the call was sent.
    key : str or None
    status : int
        0 without an answer.
    """

    asked_at: float
    told_at: float
    node: str
    method: str
    path: str
    owner: str
    key: str | None
    status: int


def find_key_breaks(calls, versions):
    """Return the calls that broke a rule of keys, each with the rule's name first.

    Parameters
    ----------
    calls : iterable of Call
        All of queues that are not anonymous.
    versions : list of Version
        In the order in which they were acknowledged.
    """
    texts = []
    for call in calls:
        rule = _find_broken_rule(call, versions)
        if rule:
            texts.append(
                f"{rule} {call.method} {call.path} {call.node} key={call.key}: "
                f"{call.status}, sent at {call.asked_at:.3f}, "
                f"told at {call.told_at:.3f}"
            )
    return texts


def _find_broken_rule(call, versions):
    """Return which rule a call broke, or None."""
    held = [version for version in versions if call.key in version.keys]
    if call.status not in UNSERVED:
        if not any(item.acknowledged_at <= call.told_at for item in held):
            return "KEY"
        span = list_in_force(versions, call.asked_at - REVOCATION, call.told_at)
        if not any(call.key in version.keys for version in span):
            return "REVOKED"
    if call.status == 200 and call.owner and held[0].keys[call.key] != call.owner:
        return "FOREIGN"
    if call.status == 401:
        span = list_in_force(versions, call.asked_at, call.told_at)
        if span and all(call.key in version.keys for version in span):
            return "DENIED"
    return None


def find_shown_keys(texts, versions):
    """Return the keys that a log shows.

    Parameters
    ----------
    texts : dict of str to str
        The log of each node.
    versions : iterable of Version
    """
    keys = {key for version in versions for key in version.keys}
    return [
        f"SHOWN key={key} in the log of {name}"
        for name, text in texts.items()
        for key in sorted(keys)
        if key in text
    ]
