"""Tests of the choice of the callers that give way or are overdue."""

from hypothesis import (
    given,
    strategies as st,
)

from peridotspoke.callers.budget import (
    CONNECTION_COST,
    CallerBudget,
    CallerLimits,
    Phase,
)
from peridotspoke.nodes.settings import CallerSettings, NodeSettings
from peridotspoke.platform.callerlimits import derive_limits

LIMITS = CallerLimits(
    memory=1_000_000, connections=10, handled=5, arrival=10.0, rate=2000.0, pause=20.0
)
BODY = 262_144
NODE = NodeSettings("n", "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")


def add_body(budget, arrived, expected=BODY, begun=0.0, touched=0.0):
    caller = budget.open(begun)
    budget.enter(caller, Phase.BODY, begun, expected)
    budget.add_arrived(caller, arrived, touched)
    budget.hold(caller, arrived)
    return caller


def test_the_smallest_instance_holds_three_hundred_of_the_largest_bodies():
    """Callers within the documented limits were refused by a default."""
    limits = derive_limits(NodeSettings(**_list_fields(memory=200.0)), 4100)
    assert limits.memory >= 300 * BODY
    assert min(limits.connections, limits.handled) >= 300


def test_settings_replace_what_follows_from_the_instance():
    callers = CallerSettings(memory=5.0, connections=7)
    limits = derive_limits(NodeSettings(**_list_fields(callers=callers)), 4100)
    assert (limits.memory, limits.connections) == (5_000_000, 7)


def _list_fields(**changed):
    names = ("name", "zone", "front", "ready", "store")
    return {name: getattr(NODE, name) for name in names} | changed


def test_the_emptiest_body_gives_way_first():
    """A body that had almost arrived was refused instead of one that had just begun."""
    budget = CallerBudget(LIMITS)
    full = [add_body(budget, 200_000) for _ in range(4)]
    empty = add_body(budget, 150_000)
    chosen = budget.choose_for_memory(1.0)
    assert chosen[0] is empty
    assert set(chosen) <= {empty, *full}


def test_paused_bodies_give_way_before_arriving_ones():
    """Bodies that stop just short of their end kept all others out."""
    budget = CallerBudget(LIMITS)
    paused = [add_body(budget, BODY - 44) for _ in range(3)]
    arriving = add_body(budget, 100_000, touched=9.0)
    chosen = budget.choose_for_memory(10.0)
    assert chosen and set(chosen) <= set(paused)
    assert arriving not in chosen


def test_a_body_that_is_nearly_complete_never_gives_way_while_it_arrives():
    budget = CallerBudget(LIMITS)
    for _ in range(5):
        add_body(budget, BODY - 44)
    assert budget.choose_for_memory(1.0) == []


def test_the_longest_idle_connections_give_way_to_a_new_one():
    """A connection that had just been used was closed for a new one."""
    budget = CallerBudget(LIMITS)
    idle = [budget.open(float(number)) for number in range(LIMITS.connections)]
    newest = budget.open(9.5)
    assert budget.choose_for_room(newest, 9.5) == idle[:1]


def test_a_new_connection_gives_way_where_all_others_are_busy():
    """A connection was closed whose request was carried out."""
    budget = CallerBudget(LIMITS)
    for _ in range(LIMITS.connections):
        budget.enter(budget.open(0.0), Phase.BUSY, 0.0)
    newest = budget.open(5.0)
    assert budget.choose_for_room(newest, 5.0) == [newest]


def test_the_deadline_of_a_body_grows_with_what_has_arrived():
    """A link of 5 Mbit/s that 300 callers share delivers 2,083 bytes/s to each."""
    budget = CallerBudget(LIMITS)
    slow, stuck = add_body(budget, 0), add_body(budget, 1000)
    for second in range(1, 120):
        budget.add_arrived(slow, 2083, float(second))
        overdue = [caller for caller, _ in budget.find_overdue(float(second))]
        assert slow not in overdue
    assert budget.find_overdue(119.0) == [(stuck, "body")]


def test_a_response_that_nobody_reads_is_overdue():
    budget = CallerBudget(LIMITS)
    caller = budget.open(0.0)
    caller.unread_since = 1.0
    assert budget.find_overdue(20.0) == []
    assert budget.find_overdue(21.5) == [(caller, "response")]


PHASES = st.sampled_from(list(Phase))
CALLERS = st.tuples(
    PHASES, st.integers(0, BODY), st.sampled_from([0, BODY]), st.floats(0.0, 30.0)
)


@given(st.lists(CALLERS, max_size=40), st.floats(30.0, 40.0))
def test_no_request_that_is_carried_out_or_nearly_complete_gives_way(drawn, now):
    budget = CallerBudget(LIMITS)
    for phase, arrived, expected, touched in drawn:
        caller = add_body(budget, arrived, expected, 0.0, touched)
        caller.phase = phase
    total = sum(CONNECTION_COST + arrived for _, arrived, _, _ in drawn)
    assert budget.held == total
    newest = budget.open(now)
    for caller in budget.choose_for_memory(now) + budget.choose_for_room(newest, now):
        assert caller.phase not in {Phase.BUSY, Phase.LEAVING}
        is_arriving = now - caller.touched_at <= 5.0
        if caller.phase is Phase.BODY and caller.expected and is_arriving:
            assert caller.arrived < 0.9 * caller.expected
