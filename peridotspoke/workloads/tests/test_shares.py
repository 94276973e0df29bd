"""Tests of entitlements and waits against simulations in small steps."""

import math

import pytest
from hypothesis import (
    given,
    settings,
    strategies as st,
)

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.shares import (
    compute_entitlements,
    compute_fair_waits,
    fill_weights,
)

CAPACITY = Need(100_000, 400_000, 10)
NAMES = "abcdef"

weights_of_some = st.dictionaries(
    st.sampled_from(NAMES), st.sampled_from([0.0, 0.5, 1.0, 3.0, 10.0])
)
demands = st.dictionaries(
    st.sampled_from(NAMES),
    st.builds(
        Need, st.integers(0, 150_000), st.integers(0, 600_000), st.integers(0, 15)
    ),
    min_size=1,
)
works = st.dictionaries(st.sampled_from(NAMES), st.floats(0.1, 50.0), min_size=1)
inflows = st.dictionaries(st.sampled_from(NAMES), st.floats(0.0, 8.0))


def list_shares(need):
    return (
        need.cpu / CAPACITY.cpu,
        need.memory / CAPACITY.memory,
        need.accelerators / CAPACITY.accelerators,
    )


def fill_in_steps(demands, weights):
    """Raise all dominant shares in small steps, as long as no resource is used up."""
    shares = {name: list_shares(need) for name, need in demands.items()}
    filled = fill_weights(weights, demands)
    reached, left = dict.fromkeys(demands, 0.0), [1.0, 1.0, 1.0]
    rising = {name for name in demands if max(shares[name]) > 0}
    step = 1e-3 / max(filled.values())
    while rising:
        for name in sorted(rising):
            dominant = max(shares[name])
            rise = min(filled[name] * step, dominant - reached[name])
            used = [share / dominant * rise for share in shares[name]]
            if any(amount > room for amount, room in zip(used, left, strict=True)):
                rising.discard(name)
                continue
            left = [room - amount for amount, room in zip(used, left, strict=True)]
            reached[name] += rise
            if rise < filled[name] * step:
                rising.discard(name)
    return reached


@settings(max_examples=60, deadline=None, derandomize=True)
@given(demands, weights_of_some)
def test_entitlements_match_a_filling_in_small_steps(demands, weights):
    """Guards against shares that depend on the order or leave a resource unused."""
    expected = fill_in_steps(demands, weights)
    found = compute_entitlements(demands, weights, CAPACITY)
    assert found == pytest.approx(expected, abs=0.02)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(demands, weights_of_some)
def test_entitlements_fit_the_pool_and_no_one_gets_more_than_it_needs(demands, weights):
    """Guards against a first pass that could not be placed as a whole."""
    found = compute_entitlements(demands, weights, CAPACITY)
    used = [0.0, 0.0, 0.0]
    for name, need in demands.items():
        shares = list_shares(need)
        assert 0.0 <= found[name] <= max(shares) + 1e-9
        for number, share in enumerate(shares):
            used[number] += share / max(shares) * found[name] if max(shares) else 0.0
    assert max(used) <= 1.0 + 1e-6


def test_a_memory_bound_workspace_leaves_the_processors_to_another():
    """Guards against halving the pool between workspaces that need different parts."""
    demands = {"memory": Need(20_000, 800_000), "cpu": Need(200_000, 80_000)}
    found = compute_entitlements(demands, {"memory": 1.0, "cpu": 1.0}, CAPACITY)
    assert found["memory"] == pytest.approx(1 / 1.1)
    assert found["cpu"] == pytest.approx(1 / 1.1)


def test_weights_that_are_no_positive_numbers_get_a_tenth_of_the_smallest():
    """Jobs of a workspace that was removed must still end, with little capacity."""
    demands = {name: Need(200_000) for name in ("a", "b", "zero", "gone", "infinite")}
    weights = {"a": 20.0, "b": 10.0, "zero": 0.0, "infinite": math.inf}
    found = compute_entitlements(demands, weights, CAPACITY)
    assert found["a"] == pytest.approx(20 / 33)
    assert found["b"] == pytest.approx(10 / 33)
    for name in ("zero", "gone", "infinite"):
        assert found[name] == pytest.approx(1 / 33)


def test_a_pool_without_accelerators_or_executors_has_entitlements():
    """Guards against a division by zero, which would end the owner's rounds."""
    demands = {"a": Need(1000, 100, 1)}
    found = compute_entitlements(demands, {"a": 1.0}, Need(10_000, 1000, 0))
    assert found == {"a": 0.1}
    assert compute_entitlements(demands, {"a": 1.0}, Need()) == {"a": 0.0}


def process_in_steps(backlogs, weights, rate, inflows):
    """Process the backlogs in small steps; return when each one is processed."""
    filled = fill_weights(weights, [*backlogs, *(inflows.keys() - backlogs.keys())])
    left, waits, elapsed = dict(backlogs), {}, 0.0
    step = 1e-3 * sum(backlogs.values()) / rate
    while left:
        rest = filled.keys() - left.keys()
        limits = {name: inflows.get(name, 0.0) for name in rest}
        level = find_level(filled, limits, rate)
        while left.keys().isdisjoint(waits):
            elapsed += step
            for name in left:
                left[name] -= filled[name] * level * step
                if left[name] <= 0:
                    waits[name] = elapsed
        left = {name: work for name, work in left.items() if name not in waits}
    return waits


def find_level(weights, limits, rate):
    """Return by bisection how much capacity for each weight adds up to the rate."""
    low, high = 0.0, rate / min(weights.values())
    for _ in range(60):
        middle = (low + high) / 2
        used = sum(
            min(weight * middle, limits.get(name, math.inf))
            for name, weight in weights.items()
        )
        low, high = (middle, high) if used < rate else (low, middle)
    return low


@settings(max_examples=40, deadline=None, derandomize=True)
@given(works, weights_of_some, st.floats(1.0, 20.0), inflows)
def test_waits_match_a_simulation_in_small_steps(backlogs, weights, rate, inflows):
    """Guards against a retry time at which a workspace's backlog is still too long."""
    expected = process_in_steps(backlogs, weights, rate, inflows)
    found = compute_fair_waits(backlogs, weights, rate, inflows)
    longest = max(expected.values())
    assert found == pytest.approx(expected, rel=0.01, abs=0.01 * longest)


@given(works, weights_of_some, st.floats(1.0, 20.0))
def test_without_inflow_the_last_backlog_ends_when_all_work_is_done(
    backlogs, weights, rate
):
    """Guards against capacity that no workspace is counted to use."""
    waits = compute_fair_waits(backlogs, weights, rate)
    assert max(waits.values()) == pytest.approx(sum(backlogs.values()) / rate)


def test_a_workspace_beyond_its_share_waits_by_what_the_others_leave():
    """The others' work goes on arriving: 5 of 10 cores are left, not 10."""
    others = {f"w{number}": 1.0 for number in range(5)}
    backlogs = {"hot": 50.0}
    weights = {"hot": 1.0, **others}
    assert compute_fair_waits(backlogs, weights, 10.0) == {"hot": 5.0}
    assert compute_fair_waits(backlogs, weights, 10.0, others) == {"hot": 10.0}
