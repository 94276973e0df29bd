"""Tests of what an executor's answers to a start are taken for."""

import msgspec
import pytest

from peridotspoke.exceptions import AnswerLostError
from peridotspoke.platform.executors import HttpExecutor
from peridotspoke.platform.http import HttpResponse
from peridotspoke.workloads.executors import (
    LeaseRenewal,
    Refusal,
    StartAnswer,
    StartOrder,
)
from peridotspoke.workloads.jobs import TaskKey

ORDER = StartOrder(TaskKey("5c0e7a21d94b36f8", 0, 0, 0), 1, "spec", 6000, 7)

DEEPLY_NESTED = b'{"x":' + b"[" * 2000


class PeerDouble:
    """Answers each call with the same response."""

    address = "10.0.0.1:80"

    def __init__(self, status, body):
        self._response = HttpResponse(status, body)

    async def call(self, method, path, timeout, body=None, headers=None):
        return self._response


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, msgspec.json.encode({"clockMs": 482113}), StartAnswer(clock=482113)),
        (200, b"{}", StartAnswer()),
        (200, b"not JSON", StartAnswer()),
        (200, DEEPLY_NESTED, StartAnswer()),
        (
            409,
            msgspec.json.encode({"clockMs": 482113, "reason": "room"}),
            StartAnswer(Refusal.ROOM),
        ),
        (421, b"", StartAnswer(Refusal.OTHER_INCARNATION)),
    ],
)
async def test_the_status_decides_and_a_malformed_body_loses_only_the_clock(
    status, body, expected
):
    executor = HttpExecutor(PeerDouble(status, body), "i-1", timeout=0.7)
    assert await executor.start(ORDER) == expected


async def test_a_deeply_nested_answer_of_an_executor_counts_as_lost():
    # Guards against a session with an executor that ends by an unexpected error.
    executor = HttpExecutor(PeerDouble(200, DEEPLY_NESTED), "i-1", timeout=0.7)
    with pytest.raises(AnswerLostError):
        await executor.renew_leases(LeaseRenewal(fence=7, cursor=0))


@pytest.mark.parametrize(("listed", "has_more"), [(499, False), (500, True)])
async def test_a_full_list_of_ends_says_that_more_may_follow(listed, has_more):
    # Guards against taking runs for over whose ends are not listed yet (review/1).
    rows = [
        [number, f"5c0e7a21d94b36f8.0.0.{number}", 1, "done", ""]
        for number in range(1, listed + 1)
    ]
    body = msgspec.json.encode({"clockMs": 5, "born": 6, "running": [], "ended": rows})
    executor = HttpExecutor(PeerDouble(200, body), "i-1", timeout=0.7)
    report = await executor.renew_leases(LeaseRenewal(fence=7, cursor=0))
    assert (len(report.ended), report.has_more_ends) == (listed, has_more)
