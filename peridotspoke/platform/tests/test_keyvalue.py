"""Tests of the client of the platform's store, against answers by hand."""

from urllib.parse import parse_qs, urlsplit

import msgspec

from peridotspoke.clock import ManualClock
from peridotspoke.platform.http import Answer
from peridotspoke.platform.keyvalue import MetadataStore, WatchRules

RULES = WatchRules(wait=3.0, busy_wait=0.5, margin=0.25)


class PeerDouble:
    """Answers with the bodies that it is given and notes how long it may take."""

    address = "peer"

    def __init__(self, bodies):
        self.bodies = list(bodies)
        self.waits = []

    async def call(self, method, path, timeout, body=None, headers=None):
        query = parse_qs(urlsplit(path).query)
        self.waits.append((int(query["waitMs"][0]), timeout))
        return Answer(200, msgspec.json.encode(self.bodies.pop(0)))


async def test_a_watch_that_has_just_told_of_changes_is_found_silent_early():
    """One on records that rest is left waiting longer, as each poll has a price."""
    event = {"key": "work/a", "value": "", "revision": 5}
    peer = PeerDouble(
        [{"events": [event], "asOf": 5}, {"events": [], "asOf": 5}, {"asOf": 5}]
    )
    store = MetadataStore(peer, ManualClock(0.0), 1.0, RULES)
    batches = store.watch("work/", 4)
    for _ in range(3):
        await anext(batches)
    await batches.aclose()
    assert peer.waits == [(500, 0.75), (500, 0.75), (3000, 3.25)]
