"""Keyed requests under random interleavings of messages and faults.

The faults are lost messages, pauses, unreachable entry instances and restarts.
"""

import asyncio
from collections import Counter

from hypothesis import (
    given,
    settings,
    strategies as st,
)

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.requests import Outcome
from peridotspoke.requests.tests.keys import (
    Fleet,
    get_outcome,
    make_answer,
    make_refusal,
)

ENTRIES = ("one", "two", "three")
SETTLE_STEPS = 12  # iterations of the event loop after each action

ACTIONS = st.one_of(
    st.tuples(st.just("request"), st.sampled_from(ENTRIES)),
    st.tuples(st.just("request"), st.sampled_from(ENTRIES)),
    st.tuples(st.just("flush"), st.integers(1, 12)),
    st.tuples(st.just("flush"), st.integers(6, 12)),
    st.tuples(st.just("deliver"), st.integers(0, 7)),
    st.tuples(st.just("lose"), st.integers(0, 7)),
    st.tuples(st.just("end"), st.sampled_from(list(Outcome))),
    st.tuples(
        st.sampled_from(["restart", "disconnect", "reconnect"]),
        st.sampled_from(ENTRIES),
    ),
    st.tuples(st.just("wait"), st.sampled_from([1.0, 6.0, 40.0])),
)


class Interleaving:
    """Performs actions; calls to the store and sent requests wait to be released."""

    def __init__(self):
        self.held_messages = []
        self.sends = []
        self.results = []
        self.tasks = []
        self.runs = Counter()
        self.fleet = Fleet(self.hold)
        for name in ENTRIES:
            self.fleet.start_entry(name)

    async def hold(self, stage):
        release = asyncio.get_running_loop().create_future()
        self.held_messages.append((stage, release))
        if await release == "lose":
            raise (PlatformUnavailableError if stage == "call" else AnswerLostError)("")

    async def send(self, deadline):
        if self.fleet.clock.read_monotonic() >= deadline:
            return make_refusal(Outcome.NOT_RUN), False
        release = asyncio.get_running_loop().create_future()
        self.sends.append(release)
        outcome = await release
        ran = outcome is not Outcome.NOT_RUN
        self.runs["k"] += ran
        answered = outcome is Outcome.ANSWERED
        return make_answer(self.runs["k"]) if answered else make_refusal(outcome), ran

    async def request(self, entry):
        request = self.fleet.make_request()
        ran_here = []

        async def send():
            answer, ran = await self.send(request.deadline)
            ran_here.append(ran)
            return answer

        result = await self.fleet.entries[entry].run(request, send)
        self.results.append((result, any(ran_here)))

    async def perform(self, action, value):
        if action == "request":
            self.tasks.append(asyncio.create_task(self.request(value)))
        elif action in {"deliver", "lose"} and self.held_messages:
            _, release = self.held_messages.pop(value % len(self.held_messages))
            if not release.done():
                release.set_result(action)
        elif action == "flush":
            for _ in range(value):
                await self.perform("deliver", 0)
        elif action == "end" and self.sends:
            self.sends.pop().set_result(value)
        elif action == "restart":
            self.fleet.start_entry(value)
        elif action == "disconnect":
            self.fleet.unreachable.add(value)
        elif action == "reconnect":
            self.fleet.unreachable.discard(value)
        elif action == "wait":
            self.fleet.clock.advance(value)
        for _ in range(SETTLE_STEPS):
            await asyncio.sleep(0)

    async def finish(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _assert_at_most_one_run(interleaving):
    assert interleaving.runs["k"] <= 1
    for result, ran_here in interleaving.results:
        outcome = get_outcome(result)
        if outcome is Outcome.ANSWERED:
            assert result == make_answer(1)
        if outcome is Outcome.NOT_RUN:
            assert not ran_here


@settings(max_examples=300)
@given(st.lists(ACTIONS, min_size=30, max_size=60))
def test_keyed_request_runs_at_most_once(actions):
    """A keyed request runs at most once, and not at all where not-run is reported."""

    async def run():
        interleaving = Interleaving()
        for action, value in actions:
            await interleaving.perform(action, value)
        await interleaving.finish()
        _assert_at_most_one_run(interleaving)

    asyncio.run(run())
