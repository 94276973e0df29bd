"""Tests of statements that an owner of an older build outlives."""

from peridotspoke.nodes.records import LeaseStatement, encode_value
from peridotspoke.nodes.statements import StatementReader
from peridotspoke.nodes.view import StoreView
from peridotspoke.store import FollowedRecords, Record


def test_a_statement_from_before_an_older_builds_owner_is_not_used():
    """Its record comes and goes within one batch, and it replaces no statement."""
    view, key = StoreView(), "work/leases/pool"
    statement = encode_value(LeaseStatement(5, {"e1": 1.0}))
    records = {key: Record(key, statement, 9)}
    view.apply_work(FollowedRecords(records, frozenset({key}), 0.0, 9))
    gone = frozenset({"work/owner/pool"})  # written at 20 and deleted at 40
    view.apply_work(FollowedRecords(records, gone, 0.0, 40))
    reader = StatementReader("me")
    reader.note(view.statements, 10.0)
    assert reader.find("pool", view.last_fences.get("pool", 0)).lease_ends == {}
