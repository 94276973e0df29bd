"""Tests that callers outlive an outage of the store with the delays that they get."""

import math
import random

import pytest

from peridotspoke.workloads.outage import MIN_DELAY, compute_outage_delay

RETRIES = 4
CALLERS_PER_SECOND = 100


def tell_fixed(age, draw):
    """Return the delay that does not depend on the outage's age, seconds."""
    return 1.0 + 0.5 * draw


def play_callers(length, tell):
    """Return the share of callers that end refused, and the others' mean lateness.

    Callers arrive at a steady rate through an outage of `length` seconds. Each waits
    for the delay of its last refusal, in whole seconds as it is told, and comes back
    up to `RETRIES` times. The lateness counts from the end of the outage.
    """
    chance = random.Random(7)
    refused, lateness = 0, []
    for number in range(round(length * CALLERS_PER_SECOND)):
        now = number / CALLERS_PER_SECOND
        for _ in range(RETRIES):
            if now < length:
                now += math.ceil(tell(now, chance.random()))
        if now < length:
            refused += 1
        else:
            lateness.append(now - length)
    callers = refused + len(lateness)
    return refused / callers, sum(lateness) / len(lateness)


@pytest.mark.parametrize("length", [2, 4, 6, 8, 10, 12])
def test_nine_of_ten_callers_outlive_an_outage_with_four_retries(length):
    """Told the same delay at any age, a third of them ends refused after 12 s."""
    refused, _ = play_callers(length, compute_outage_delay)
    assert refused < 0.1


@pytest.mark.parametrize("length", [10, 12])
def test_a_delay_that_grows_halves_the_callers_that_end_refused(length):
    """The outage is longer than four retries of the shortest delay."""
    refused, _ = play_callers(length, compute_outage_delay)
    fixed, _ = play_callers(length, tell_fixed)
    assert refused < 0.5 * fixed


@pytest.mark.parametrize("length", [2, 4])
def test_a_short_outage_costs_callers_little(length):
    """On average they come back within the shortest delay, or half of the outage."""
    _, lateness = play_callers(length, compute_outage_delay)
    assert lateness <= max(MIN_DELAY, 0.5 * length)


def test_callers_of_one_moment_come_back_spread_over_seconds():
    """A herd that returns at once would be refused for lack of room."""
    chance = random.Random(7)
    delays = [math.ceil(compute_outage_delay(4.0, chance.random())) for _ in range(400)]
    assert max(delays.count(delay) for delay in set(delays)) < 0.5 * len(delays)
