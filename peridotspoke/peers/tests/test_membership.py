"""Steps for the membership rules, which do no I/O."""

import re

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.exceptions import PeerError
from peridotspoke.peers import MemberRecord, Membership, PeerView

scenarios("membership.feature")


def make_record(name, incarnation=5):
    return MemberRecord(name, "entry", "z", "127.0.0.1:1", incarnation)


def make_view(name, incarnation=5, members=()):
    return PeerView(make_record(name, incarnation), 0, 0, members=members)


@pytest.fixture
def view():
    """Return the `Membership` of process e1."""
    return Membership(make_record("e1"))


@given(parsers.parse('entry "{name}" of incarnation {number:d} heard at second 0'))
def hear(view, name, number):
    view.take_view(make_view(name, number), 0)


@when(
    parsers.re("(?P<events>nothing|a call|it is|it vanishes|incarnation)(?P<rest>.*)")
)
def apply_events(view, events, rest):
    for event in (events + rest).split(","):
        found = re.search(r" (\d+)$", event)
        now = int(found.group(1)) if found else 0
        if "fails" in event:
            view.record_failure("e2", now)
        elif "unlisted" in event or "vanishes" in event:
            view.take_records([], now)
        elif "listed" in event:
            view.take_records([make_record("e2")], now)
        elif "incarnation 6 named" in event:
            view.take_view(make_view("e3", 5, (make_record("e2", 6),)), now)
        elif "names" in event:
            view.take_view(make_view("e3", 5, (make_record("e2"),)), now)
        elif "answers" in event:
            number = 6 if "incarnation 6" in event else 5
            view.take_view(make_view("e2", number), now)


@then(parsers.parse('at second {second:d} "{name}" is {state}'))
def check_state(view, second, name, state):
    states = {item.record.name: item.state.value for item in view.list_members(second)}
    assert states.get(name, "gone") == state


@when(parsers.parse('a view of "{name}" incarnation {number:d} comes at second 20'))
def take_invalid(view, name, number):
    with pytest.raises(PeerError) as caught:
        view.take_view(make_view(name, number, (make_record("e9"),)), 20)
    view.error = caught.value


@then(parsers.parse('it is refused for its {field} and "e2" is still suspect'))
def check_refused(view, field):
    assert f"{field}: expected" in view.error.message
    assert [(item.record.name, item.state) for item in view.list_members(20)] == [
        ("e2", "suspect")
    ]


@given(parsers.parse('entries "{names}" heard at second 0'))
def hear_all(view, names):
    for name in names.split(","):
        view.take_view(make_view(name), 0)


@when("they are contacted one after the other from second 1")
def contact_in_turn(view):
    view.order = []
    for second in range(1, 5):
        target = view.choose_target(second)
        view.record_request(target.name, second)
        view.order.append(target.name)


@then(parsers.parse('the order was "{names}"'))
def check_order(view, names):
    assert view.order == names.split(",")


@then("after news at second 5 those not contacted since come first")
def check_news(view):
    view.record_request("e3", 6)
    assert [view.choose_target(7, changed_at=5).name] == ["e4"]
