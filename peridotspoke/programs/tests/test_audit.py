"""Changes of records as peridotspoke-audit lists them."""

import asyncio

from peridotspoke.clock import ManualClock
from peridotspoke.programs.audit import list_changes
from peridotspoke.standins import MemoryKeyValueService, StoreStandIn
from peridotspoke.store import ChangeNote, Stored, decode_record, swap_stored

KEY = "instances/i1"


async def write_and_list(count):
    service = MemoryKeyValueService(StoreStandIn(), ManualClock())
    await service.swap("instances/bad", b"{", 0)
    stored, revision = Stored({"epoch": 0}), 0
    for number in range(count):
        note = ChangeNote(f"op-{number}", "control-1", "move", "need", float(number))
        changed = stored.replace({"epoch": number + 1}, note)
        record = await swap_stored(service, KEY, changed, revision)
        stored, revision = decode_record(record, dict), record.revision
    return await list_changes(service, ("instances/",))


def test_current_and_archived_changes_are_listed_once_in_order():
    changes = asyncio.run(write_and_list(40))
    assert [note.operation for _, note in changes] == [f"op-{n}" for n in range(40)]
    assert {key for key, _ in changes} == {KEY}
    assert (changes[7][1].before, changes[7][1].after) == ("epoch=7", "epoch=8")
