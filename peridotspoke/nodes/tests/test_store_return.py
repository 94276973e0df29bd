"""Tests of what a node does as the store serves again after an outage."""

from peridotspoke.nodes.tests.stores import make_parts


def lose_store(parts):
    for _ in range(3):
        parts.clock.advance(0.8)
        parts.record_store_call("commit", "AnswerLostError", served=False, seconds=0.8)
    assert not parts.has_store()
    parts.clock.advance(5.0)


def regain_store(parts):
    parts.record_store_call("watch", "200", served=True, seconds=0.01)
    assert parts.has_store()


def test_calls_from_before_the_return_make_the_store_lost_again():
    """They are ended by the return, so that their failures say nothing about it."""
    parts = make_parts()
    lose_store(parts)
    ended = []
    parts.cancel_stale_calls = ended.append
    regain_store(parts)
    for _ in range(3):
        parts.record_store_call("renew", "AnswerLostError", served=False, seconds=0.6)
        assert parts.has_store()
    regain_store(parts)
    assert ended == [0.01]


def test_calls_sent_after_the_return_count_as_failures():
    parts = make_parts()
    lose_store(parts)
    regain_store(parts)
    lose_store(parts)
