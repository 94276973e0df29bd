"""Tests of plans and of estimated needs; no I/O takes place."""

import pytest
from hypothesis import (
    given as hypothesis_given,
    strategies as st,
)
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.planning import (
    Assignment,
    EstimationRules,
    InstanceView,
    NeedEstimator,
    PastMove,
    PlanningRules,
    PoolView,
    UsageSample,
    measure_evenness,
    plan_moves,
)

scenarios("planning.feature")

RULES = PlanningRules()
SIX_HOURS_S = 6 * 3600
RACK_SIZE = 4


def make_pool(number, size, need, spare, unavailable=0, returning=False):
    name = f"pool-{number}"
    views = [
        InstanceView(
            f"{name}-{n}",
            "zone",
            f"{name}-rack-{n // RACK_SIZE}",
            n >= unavailable,
            returning,
        )
        for n in range(size)
    ]
    return PoolView(name, need, 2, tuple(views), spare)


@given(
    parsers.re(
        r"pools (?P<sizes>[\d ]+) with needs (?P<needs>[\d ]+) and the spare last"
    ),
    target_fixture="pools",
)
def make_pools(sizes, needs):
    pairs = list(zip(sizes.split(), needs.split(), strict=True))
    return [
        make_pool(number, int(size), int(need), number == len(pairs) - 1)
        for number, (size, need) in enumerate(pairs)
    ]


@given(parsers.parse("{count:d} instances of the first pool are {state}"))
def make_unavailable(pools, count, state):
    first = pools[0]
    pools[0] = make_pool(
        0, len(first.instances), first.need, False, count, state == "returning"
    )


@when("a plan is made", target_fixture="plan")
def make_plan(pools):
    return plan_moves(pools, RULES)


@then(parsers.parse("{count:d} instances move {way}"))
def check_moves(pools, plan, count, way):
    names = {"to the spare": pools[-1].pool, "to the first pool": pools[0].pool}
    assert len(plan.moves) == count, plan
    assert {move.target for move in plan.moves} <= {names.get(way)}


@then(
    parsers.parse(
        "the plan leaves {shortage:d} missing, {exposure:d} after the loss of a rack"
    )
)
def check_missing(plan, shortage, exposure):
    assert (plan.shortage, plan.exposure) == (shortage, exposure)


@when(
    parsers.parse(
        "the need of the spare rises and falls by one instance {count:d} times"
    ),
    target_fixture="history",
)
def vary_need(pools, count):
    history = []
    for number in range(count):
        needs = [*(pool.need for pool in pools[:-1]), 8 + (number % 2)]
        views = [
            PoolView(pool.pool, need, 2, pool.instances, pool.spare)
            for pool, need in zip(pools, needs, strict=True)
        ]
        for move in plan_moves(views, RULES, number * 1e5, history).moves[:1]:
            history.append(
                PastMove(move.instance, move.source, move.target, number * 1e5)
            )
    assert history
    return history


@then(parsers.parse("the pools differ by at most {most:d} moves"))
def check_evenness(pools, history, most):
    assert measure_evenness(history, [pool.pool for pool in pools[:-1]]) <= most


@given(
    parsers.parse("a declared need of {declared:d} and 6 hours of usage at {usage}"),
    target_fixture="estimate",
)
def observe_usage(declared, usage):
    estimator = NeedEstimator(EstimationRules())
    surges, saturated = usage.startswith("surges"), usage.startswith("saturated")
    mean = 0.0 if usage == "nothing reported" else float(usage.split()[-1])
    for at in range(0, SIX_HOURS_S, 10):
        used = mean * (4.75 if at // 10 % 5 == 0 else 0.0625) if surges else mean
        if mean:
            sample = UsageSample("p", float(at), used, 3 if saturated else 16)
            assert estimator.observe(sample, at) is None

    def estimate():
        return estimator.estimate("p", declared, 0.95, SIX_HOURS_S).need

    estimate.estimator = estimator
    return estimate


@then(parsers.parse("the need is between {least:d} and {most:d}"))
def check_need(estimate, least, most):
    assert least <= estimate() <= most


@when(parsers.parse("a sample is {fault}"), target_fixture="before")
def observe_invalid_sample(estimate, fault):
    before = estimate()
    at = {"hours old": 0.0, "hours ahead": 2.0 * SIX_HOURS_S}.get(fault, SIX_HOURS_S)
    try:
        used = float(fault)
    except ValueError:
        used = None if fault == "missing" else 8.0
    estimate.estimator.observe(UsageSample("p", at, used, 8), SIX_HOURS_S)
    return before


@then(parsers.parse("it is rejected as {reason} and the need is unchanged"))
def check_rejected(estimate, before, reason):
    assert estimate.estimator.rejected == {reason: 1}
    assert estimate() == before


@st.composite
def fleets(draw):
    racks = draw(st.integers(2, 6))
    pools = []
    for number in range(draw(st.integers(2, 5))):
        views = tuple(
            InstanceView(
                f"{number}-{n}",
                "zone",
                f"rack-{draw(st.integers(1, racks))}",
                *draw(st.sampled_from([(True, False), (False, False), (False, True)])),
            )
            for n in range(draw(st.integers(0, 8)))
        )
        budget, need = draw(st.integers(1, 3)), draw(st.integers(1, 7))
        pools.append(PoolView(f"p{number}", need, budget, views, number == 0))
    return pools


def count_unavailable(pool):
    return sum(not item.available for item in pool.instances)


@hypothesis_given(fleets())
def test_plans_respect_budgets_and_needs(pools):
    plan = plan_moves(pools, RULES)
    assert len({move.instance for move in plan.moves}) == len(plan.moves)
    before = Assignment(pools)
    for pool in pools:
        moved_out = [move for move in plan.moves if move.source == pool.pool]
        moved_in = [move for move in plan.moves if move.target == pool.pool]
        views = {item.instance: item for item in pool.instances}
        assert all(views[move.instance].available for move in moved_out)
        if moved_out:
            assert not moved_in
            assert len(moved_out) + count_unavailable(pool) <= pool.max_unavailable
            assert before.get_excess(pool.pool) >= len(moved_out)


@pytest.mark.parametrize("need", [5, 7])
def test_no_moves_are_planned_after_a_plan_was_applied(need):
    pools = [make_pool(0, 8, need, False), make_pool(1, 8, 4, True)]
    for _ in range(4):
        moved = {move.instance: move.target for move in plan_moves(pools, RULES).moves}
        views = [(item, pool.pool) for pool in pools for item in pool.instances]
        pools = [
            PoolView(
                pool.pool,
                pool.need,
                pool.max_unavailable,
                tuple(i for i, at in views if moved.get(i.instance, at) == pool.pool),
                pool.spare,
            )
            for pool in pools
        ]
    assert plan_moves(pools, RULES).moves == ()
