"""Steps for the rules on leaving upstreams, which do no I/O."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.peers import LeavingNews, LeavingView
from peridotspoke.pools import InstanceRecord, Phase
from peridotspoke.requests import build_routing_table
from peridotspoke.store import ListedInstance

scenarios("leaving.feature")

VIEW_BOUND_S = 5.0


@pytest.fixture
def world():
    """Return the state shared by the steps."""
    return {"view": LeavingView(), "zone": "a", "incarnation": 1}


def take_record(world, epoch, phase):
    record = InstanceRecord("i1", "tiles", phase, epoch, world["zone"], "r1")
    world["view"].take_records({"i1": record}, 0)


def take_list(world, state):
    world["listed"] = [
        ListedInstance(
            "i1", world["zone"], "r1", state, world["incarnation"], "127.0.0.1:1"
        )
    ]
    world["view"].take_list(world["listed"])


@given('an entry of zone "a" whose view was confirmed at second 0')
def confirm(world):
    world["view"].confirm_until(0)


@given('an entry of zone "a" that has read nothing')
def start(world):
    assert world["view"].get_age(0) is None


@given(
    parsers.parse('upstream "i1" of zone "{zone}" serves at epoch 4 and is listed live')
)
def serve(world, zone):
    world["zone"] = zone
    take_record(world, 4, Phase.SERVING)
    take_list(world, "live")


@when(parsers.parse("it learns: {news}"))
def learn(world, news):
    view = world["view"]
    for item in news.split(", "):
        words = item.split()
        if words[0] == "record":
            phase = Phase.SERVING if words[2] == "serves" else Phase.DRAINING
            take_record(world, int(words[1]), phase)
        elif words[0] == "list":
            world["incarnation"] += "again" in words
            take_list(world, words[1])
        elif words[0] == "peer":
            returned = words[2] == "returned"
            view.take_news([LeavingNews("i1", int(words[3]), returned, "tiles")], 0)
        elif item == "upstream refuses":
            view.record_refusal("i1", 0)
        elif item == "view confirmed":
            view.confirm_until(3)


def list_routed(world, now):
    view = world["view"]
    listed = view.select_listed(world["listed"], "a", VIEW_BOUND_S, now)
    routes = build_routing_table(listed, view.select_records())
    return [upstream.instance for upstream in routes.get_upstreams("tiles")]


@then(parsers.parse('at second {second:d} "i1" {outcome}'))
def check_routed(world, second, outcome):
    expected = ["i1"] if outcome.strip() == "gets new work" else []
    assert list_routed(world, second) == expected


@when('it reads a list that calls "i1" leaving, then record 9 that serves')
def read_old_list(world):
    take_list(world, "leaving")
    take_record(world, 9, Phase.SERVING)


@then('"i1" gets no new work until a newer epoch or the list says live')
def check_until(world):
    assert list_routed(world, 1) == []
    take_list(world, "live")
    assert list_routed(world, 1) == ["i1"]
    take_list(world, "leaving")
    assert list_routed(world, 1) == []
    take_record(world, 10, Phase.SERVING)
    assert list_routed(world, 1) == ["i1"]


@then('its news says that "i1" returned at epoch 4')
def check_news(world):
    assert world["view"].list_news(0) == (LeavingNews("i1", 4, True, "tiles", 0),)
