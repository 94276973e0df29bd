"""Keyed requests under random orders of messages, losses, freezes and restarts."""

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
    find_outcome,
    make_answer,
    make_refusal,
)

ENTRIES = ("one", "two", "three")
SETTLE_STEPS = 12

ACTIONS = st.one_of(
    st.tuples(st.just("ask"), st.sampled_from(ENTRIES)),
    st.tuples(st.just("ask"), st.sampled_from(ENTRIES)),
    st.tuples(st.just("flush"), st.integers(1, 12)),
    st.tuples(st.just("flush"), st.integers(6, 12)),
    st.tuples(st.just("deliver"), st.integers(0, 7)),
    st.tuples(st.just("lose"), st.integers(0, 7)),
    st.tuples(st.just("end"), st.sampled_from(list(Outcome))),
    st.tuples(st.sampled_from(["restart", "cut", "join"]), st.sampled_from(ENTRIES)),
    st.tuples(st.just("wait"), st.sampled_from([1.0, 6.0, 40.0])),
)


class Orders:
    """Carries out actions; each call to the store and each send is a held message."""

    def __init__(self):
        self.held = []
        self.sends = []
        self.told = []
        self.tasks = []
        self.runs = Counter()
        self.fleet = Fleet(self.hold)
        for name in ENTRIES:
            self.fleet.start_entry(name)

    async def hold(self, stage):
        release = asyncio.get_running_loop().create_future()
        self.held.append((stage, release))
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

    async def ask(self, entry):
        request = self.fleet.make_request()
        ran_here = []

        async def send():
            result, ran = await self.send(request.deadline)
            ran_here.append(ran)
            return result

        told = await self.fleet.entries[entry].run(request, send)
        self.told.append((told, any(ran_here)))

    async def act(self, action, value):
        if action == "ask":
            self.tasks.append(asyncio.create_task(self.ask(value)))
        elif action in {"deliver", "lose"} and self.held:
            _, release = self.held.pop(value % len(self.held))
            if not release.done():
                release.set_result(action)
        elif action == "flush":
            for _ in range(value):
                await self.act("deliver", 0)
        elif action == "end" and self.sends:
            self.sends.pop().set_result(value)
        elif action == "restart":
            self.fleet.start_entry(value)
        elif action == "cut":
            self.fleet.cut.add(value)
        elif action == "join":
            self.fleet.cut.discard(value)
        elif action == "wait":
            self.fleet.clock.advance(value)
        for _ in range(SETTLE_STEPS):
            await asyncio.sleep(0)

    async def finish(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def _check(orders):
    assert orders.runs["k"] <= 1
    for told, ran_here in orders.told:
        outcome = find_outcome(told)
        if outcome is Outcome.ANSWERED:
            assert told == make_answer(1)
        if outcome is Outcome.NOT_RUN:
            assert not ran_here


@settings(max_examples=300)
@given(st.lists(ACTIONS, min_size=30, max_size=60))
def test_a_key_runs_at_most_once_in_any_order(actions):
    """A key runs at most once, and whoever is told not-run didn't run it."""

    async def run():
        orders = Orders()
        for action, value in actions:
            await orders.act(action, value)
        await orders.finish()
        _check(orders)

    asyncio.run(run())
