"""Tests of what callers are told while the store is away."""

import heapq
import math

import pytest

from peridotspoke.exceptions import PlatformUnavailableError
from peridotspoke.nodes import jobanswers as answers
from peridotspoke.nodes.jobrequests import JobRequestHandler
from peridotspoke.nodes.tests.handlers import (
    OTHER_JOB,
    advance,
    decode_long,
    make_handler,
    submit,
)
from peridotspoke.nodes.tests.stores import make_parts


async def play_outage(length, retries=4, interval=0.025):
    """Return the share of callers that end refused in an outage of the store.

    Callers arrive every `interval` seconds through an outage of `length` seconds, and
    come back after the delay that they are told, in whole seconds.
    """
    parts = make_parts()
    handler = JobRequestHandler(parts, decode_long)
    began_at = parts.clock.read_monotonic()
    for _ in range(3):
        parts.record_store_call("commit", "AnswerLostError", served=False)
    callers = round(length / interval)
    attempts = [(number * interval, number, retries) for number in range(callers)]
    refused = 0
    while attempts and attempts[0][0] < length:
        time, number, left = heapq.heappop(attempts)
        advance(parts, began_at + time - parts.clock.read_monotonic())
        answer = await submit(handler, path=f"/q/{number:016x}")
        if left:
            delay = math.ceil(answer.retry_after)
            heapq.heappush(attempts, (time + delay, number, left - 1))
        else:
            refused += 1
    return refused / callers


@pytest.mark.parametrize("length", [2.0, 6.0, 8.0, 10.0, 12.0])
async def test_callers_do_not_spend_their_retries_inside_an_outage_of_the_store(length):
    """Each refusal told them to come back soon, however old the outage was."""
    assert await play_outage(length) < 0.1


async def make_refusals(age):
    """Return the answers to each kind of request, `age` seconds into an outage."""
    parts, handler = make_handler()
    await submit(handler)
    for _ in range(3):
        parts.record_store_call("commit", "AnswerLostError", served=False)

    async def fail(*arguments):
        raise PlatformUnavailableError("unavailable", step="read")

    parts.store.read = parts.store.read_prefix = fail
    advance(parts, age)
    path = f"/q/{OTHER_JOB}"
    return [
        await submit(handler, path=path),
        await handler.cancel("host", path),
        await handler.show("host", path),
        await handler.show("host", "/q/"),
    ]


async def test_every_refusal_for_the_absent_store_follows_the_age_of_the_outage():
    """Jittered by half, the longest delay is at least 1.5 s and at most 4.5 s."""
    answers_of_all = [await make_refusals(20.0) for _ in range(10)]
    for kind in zip(*answers_of_all, strict=True):
        assert all(isinstance(answer, answers.Refused) for answer in kind)
        assert all(1.5 <= answer.retry_after <= 4.5 for answer in kind)
        assert all(answer.outage == pytest.approx(20.0) for answer in kind)


async def test_a_write_that_fails_in_an_outage_tells_its_age():
    """Other calls have failed before, but the store does not count as away yet."""
    parts, handler = make_handler()
    advance(parts, 1.9)
    parts.store.faults = ["unavailable"]
    answer = await submit(handler)
    assert answer.outage == pytest.approx(1.9)


async def test_no_caller_is_sent_away_for_longer_than_its_job_keeps_its_worth():
    """The job has no worth 3 s after its submission; others wait for up to 4.5 s."""
    parts, handler = make_handler()
    for _ in range(3):
        parts.record_store_call("commit", "AnswerLostError", served=False)
    advance(parts, 60.0)
    for number in range(20):
        answer = await submit(handler, path=f"/q/{number:016x}")
        assert answer.retry_after <= 3.0
