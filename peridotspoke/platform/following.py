"""Follows the records under a prefix through one watch."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

from peridotspoke.exceptions import PlatformError
from peridotspoke.logs import log_event
from peridotspoke.platform.keyvalue import Record

__all__ = ["FollowedRecords", "follow_prefix"]

RETRY_INTERVAL = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class FollowedRecords:
    """All records under the prefix, and the keys that changed since the last."""

    records: Mapping[str, Record]
    changed: frozenset[str]


async def follow_prefix(service, prefix, sleep=asyncio.sleep):
    """Yield `FollowedRecords` for the first snapshot and after each change.

    After a lost watch the prefix is read again. The mapping that is yielded is the
    same object each time; it changes only between yields.

    Parameters
    ----------
    service : KeyValueService
    prefix : str
    sleep : callable, optional
        Coroutine function that waits for seconds.
    """
    records = {}
    while True:
        try:
            snapshot = await service.read_prefix(prefix)
            changed = _replace_records(records, snapshot.records)
            yield FollowedRecords(records, changed)
            async for batch in service.watch(prefix, snapshot.revision):
                if batch.changes:
                    yield FollowedRecords(records, _apply_batch(records, batch))
        except PlatformError as error:
            log_event("watch-lost", "WARNING", prefix=prefix, error=error)
        await sleep(RETRY_INTERVAL)


def _replace_records(records, found):
    before = dict(records)
    records.clear()
    records.update({record.key: record for record in found})
    keys = before.keys() | records.keys()
    return frozenset(key for key in keys if before.get(key) != records.get(key))


def _apply_batch(records, batch):
    for change in batch.changes:
        if change.record is None:
            records.pop(change.key, None)
        else:
            records[change.key] = change.record
    return frozenset(change.key for change in batch.changes)
