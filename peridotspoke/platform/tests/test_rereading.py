"""A seeded search: a followed copy never goes back, though pages are no snapshot."""

import random
from contextlib import aclosing
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from peridotspoke.clock import ManualClock
from peridotspoke.exceptions import AnswerLostError
from peridotspoke.platform.http import HttpResponse
from peridotspoke.platform.keyvalue import MetadataStore
from peridotspoke.store import follow_prefix

SEEDS = 100
UPDATES = 60
PAGE_SIZE = 3
KEYS = tuple(f"jobs/p/{number}" for number in range(10))


class ChangingPeer:
    """A store that changes before each call, forgets its history and loses answers.

    Attributes
    ----------
    changes : dict of str to list of tuple
        The revision of each change of a key, and whether it was deleted then.
    read_at : dict of str to int
        The last change of each key that a page has shown.
    """

    address = "peer"

    def __init__(self, chance):
        self._chance = chance
        self._items = {}
        self._history = []
        self._compacted = 0
        self._revision = 1
        self.changes = {key: [] for key in KEYS}
        self.read_at = {}

    async def read(self, path, limits):
        for _ in range(self._chance.randrange(6)):
            self._change(self._chance.choice(KEYS))
        if self._chance.random() < 0.1:
            raise AnswerLostError("lost", step="read")
        if self._chance.random() < 0.15:
            self._history.clear()
            self._compacted = self._revision
        url = urlsplit(path)
        after = parse_qs(url.query).get("after", [""])[0]
        if url.path.endswith("kv-range"):
            return self._read_page(after)
        if int(after) < self._compacted:
            return HttpResponse(410, b"")
        events = [event for event in self._history if event["revision"] > int(after)]
        return self._respond(events=events)

    def _change(self, key):
        self._revision += 1
        is_deleted = key in self._items and self._chance.random() < 0.5
        event = {"key": key, "revision": self._revision}
        if is_deleted:
            del self._items[key]
            event["deleted"] = True
        else:
            self._items[key] = event
        self._history.append(event)
        self.changes[key].append((self._revision, is_deleted))

    def _read_page(self, after):
        keys = sorted(key for key in self._items if key > after)
        page = keys[:PAGE_SIZE]
        is_last = len(page) == len(keys)
        for key in KEYS:
            if key > after and (is_last or key <= page[-1]) and self.changes[key]:
                self.read_at[key] = self.changes[key][-1][0]
        return self._respond(
            items=[self._items[key] for key in page], has_more=not is_last
        )

    def _respond(self, events=(), items=(), has_more=False):
        body = {
            "events": events,
            "items": items,
            "hasMore": has_more,
            "asOf": self._revision,
        }
        return HttpResponse(200, msgspec.json.encode(body))


def is_as_new(changes, record, revision):
    """Return whether a copy of a key is as new as the key's change at a revision."""
    if record is not None:
        return record.revision >= revision
    return any(is_deleted and at >= revision for at, is_deleted in changes)


@pytest.mark.parametrize("seed", range(SEEDS))
async def test_a_copy_that_is_read_again_never_goes_back_and_lacks_no_change(seed):
    """Neither a change nor a deletion between two pages is missed or undone."""
    chance = random.Random(seed)
    peer = ChangingPeer(chance)
    store = MetadataStore(peer, ManualClock(0.0), 1.0)

    async def sleep(seconds):
        return None

    follow = follow_prefix(store, "jobs/p/", sleep, clock=ManualClock(0.0))
    async with aclosing(follow) as updates:
        for _ in range(UPDATES):
            update = await anext(updates)
            for key, changes in peer.changes.items():
                record = update.records.get(key)
                due = [at for at, _ in changes if at <= update.revision]
                for revision in (*due[-1:], peer.read_at.get(key, 0)):
                    if revision:
                        assert is_as_new(changes, record, revision)
