"""Limits and waits of the token bucket."""

import pytest
from hypothesis import (
    given as hypothesis_given,
    strategies as st,
)
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.tokenbucket import TokenBucket

scenarios("tokenbucket.feature")


@given(
    parsers.parse("a bucket of {capacity:d} tokens that gains {rate:d} a second"),
    target_fixture="bucket",
)
def make_bucket(capacity, rate):
    return TokenBucket(rate, capacity)


@when(
    parsers.parse(
        "{count:d} calls that leave {reserve:d} tokens come at the same moment"
    ),
    target_fixture="taken",
)
def take_tokens(bucket, count, reserve):
    return sum(bucket.take(0.0, reserve=reserve) for _ in range(count))


@then(parsers.parse("{expected:d} of them get a token"))
def check_taken(taken, expected):
    assert taken == expected


@then("an urgent call gets a token at once")
def check_urgent(bucket):
    assert bucket.take(0.0)


@hypothesis_given(
    st.lists(st.tuples(st.floats(0, 5), st.floats(0, 3)), max_size=50),
    st.floats(0.5, 10),
    st.floats(1, 20),
)
def test_no_more_is_taken_than_the_rate_and_the_capacity_allow(steps, rate, capacity):
    bucket = TokenBucket(rate, capacity)
    now = taken = 0.0
    for pause, amount in steps:
        now += pause
        taken += amount if bucket.take(now, amount) else 0.0
        assert taken <= capacity + rate * now + 1e-6


def test_take_succeeds_after_the_computed_wait():
    bucket = TokenBucket(2.0, 4.0)
    assert bucket.take(0.0, 4.0)
    wait = bucket.compute_wait(0.0, 1.0, reserve=1.0)
    assert wait == pytest.approx(1.0)
    assert bucket.take(wait, 1.0, reserve=1.0)
    assert bucket.compute_wait(0.0, 5.0) == float("inf")
