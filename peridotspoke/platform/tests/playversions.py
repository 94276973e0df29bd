"""The versions of the configuration of a play, as its store acknowledged them."""

import math
from dataclasses import dataclass

__all__ = ["RESOURCES", "Version", "list_in_force", "read_versions"]

RESOURCES = ("cpu", "memMb")


@dataclass(frozen=True, slots=True)
class Version:
    """What one version says of workspaces.

    Parameters
    ----------
    acknowledged_at : float
        Monotonic seconds.
    keys : dict of str to str
        The workspace of each key.
    limits : dict of str to tuple of float
        The limit of each workspace, in the order of `RESOURCES`; infinite if none.
    """

    acknowledged_at: float
    keys: dict[str, str]
    limits: dict[str, tuple[float, ...]]


def read_versions(configurations):
    """Return the versions in the order in which they were acknowledged.

    Parameters
    ----------
    configurations : iterable of (float, dict)
        When each was acknowledged, monotonic seconds, and the stored document.

    Examples
    --------
    >>> tenant = {"name": "a", "apiKeys": ["k"], "maxCount": {"cpu": 500}}
    >>> read_versions([(1.0, {"tenants": [tenant]})])
    [Version(acknowledged_at=1.0, keys={'k': 'a'}, limits={'a': (500, inf)})]
    """
    return [
        Version(
            at,
            {
                key: item["name"]
                for item in document.get("tenants", ())
                for key in item["apiKeys"]
            },
            {
                item["name"]: tuple(
                    item["maxCount"].get(name, 0) or math.inf for name in RESOURCES
                )
                for item in document.get("tenants", ())
            },
        )
        for at, document in configurations
    ]


def list_in_force(versions, begin, end):
    """Return the versions that were the newest at any time of a span.

    Parameters
    ----------
    versions : list of Version
    begin, end : float
        Monotonic seconds.

    Examples
    --------
    >>> versions = [Version(at, {}, {}) for at in (1.0, 2.0, 3.0)]
    >>> [item.acknowledged_at for item in list_in_force(versions, 2.5, 2.9)]
    [2.0]
    """
    ends = [item.acknowledged_at for item in versions[1:]] + [math.inf]
    return [
        item
        for item, replaced_at in zip(versions, ends, strict=True)
        if item.acknowledged_at <= end and replaced_at >= begin
    ]
