"""Tests of leases that outlast what an owner says of them."""

import asyncio
from contextlib import suppress

from peridotspoke.nodes.holdings import Holding
from peridotspoke.nodes.ownership import Ownership
from peridotspoke.nodes.sessions import ExecutorSession
from peridotspoke.nodes.supervising import PoolSupervisor
from peridotspoke.nodes.tests.doubles import RunningCalls
from peridotspoke.nodes.tests.stores import make_parts, own_unit
from peridotspoke.nodes.tests.test_supervising import (
    FENCE,
    follow_entries,
    make_jobs,
    update_work,
)
from peridotspoke.workloads.tests.ownershipmodel import World
from peridotspoke.workloads.tests.ownershipwalks import ONE_TASK, make_job


async def test_a_regained_pool_knows_of_leases_extended_as_it_was_given_up(monkeypatch):
    """A session that is due in the same moment sends before it is cancelled."""
    parts, jobs, calls, gates = make_parts(), make_jobs(), RunningCalls(), []

    async def wait(session, answered):
        gates.append(asyncio.get_running_loop().create_future())
        await gates[-1]

    monkeypatch.setattr(ExecutorSession, "_wait_for_next_poll", wait)
    parts.open_executor = lambda entry: calls
    parts.ownership = ownership = Ownership(
        parts.settings,
        parts.store,
        parts.view,
        parts.clock,
        list_units=list,
        on_gained=lambda holding: None,
        on_lost=lambda holding: task.cancel(),
        list_lease_waits=lambda holding: supervisor.list_lease_waits(),
    )
    own_unit(parts.store, "pool", FENCE)
    holding = ownership.holdings["pool"] = Holding("pool", FENCE, 100.0)
    supervisor = PoolSupervisor(parts, holding, jobs)
    follow_entries(parts, "e1")
    update_work(parts, FENCE)
    task = asyncio.ensure_future(supervisor.run())
    async with asyncio.timeout(20):
        for count in (1, 2, 3):
            while len(gates) < count:
                await asyncio.sleep(0.01)
            if count < 3:
                parts.clock.advance(2.0)
                parts.record_store_call("watch", "200", served=True)
                gates[-1].set_result(None)
    await asyncio.sleep(0.05)
    parts.clock.advance(1.0)
    now = parts.clock.read_monotonic()
    known = supervisor._ledger.executors["e1"].lease_end
    gates[-1].set_result(None)
    ownership.give_up(holding, "the owner record was deleted or replaced")
    stated = ownership._statements._own_ends[FENCE]["e1"]
    with suppress(asyncio.CancelledError):
        await task
    extended = [order for order in calls.orders[3:] if order.lease_end_ms is not None]
    assert not extended or stated >= now + parts.settings.run_lease, (known, stated)


def play_start_on_reborn(bound_of):
    """A start reaches the next life of its executor; then its owner is killed."""
    world = World(make_job(*ONE_TASK))
    first, second = world.executors
    world.meet([first])
    world.owner.plan()
    world.deliver_commit(0)
    first.restart()
    world.deliver_order(0)
    world.take_over()
    world.kill_former_owner(0)
    world.owner.ledger.note_unreachable(first.name, "cut", world.now)
    bound_of(world)
    world.pass_time(4.0)
    world.pass_time(1.5)
    world.work([second])
    world.work([second])


def test_a_killed_owners_start_on_a_restarted_executor_is_awaited():
    """Its clock is another, so that its lease may be the longest that it grants."""
    play_start_on_reborn(lambda world: None)  # without the knowledge of the end: passes
    play_start_on_reborn(lambda world: world.owner.learn_of_end())


def test_a_former_owners_extension_on_a_restarted_executor_is_awaited():
    """Also where the new owner inherits no run there, but starts one."""
    world = World(make_job(*ONE_TASK))
    first, second = world.executors
    world.publish()
    first.restart()
    world.take_over()
    world.extend_as_former_owner(0)
    world.work([first])
    world.owner.ledger.note_unreachable(first.name, "cut", world.now)
    world.pass_time(4.0)
    world.pass_time(1.5)
    world.work([second])


def test_a_lease_on_a_slow_clock_is_awaited_in_full():
    # Guards against two runs at once (TWICE): a clock that is 2% slow measures 98% of
    # the time that passes, so that a lease lasts for more than 102% of its duration.
    parts = make_parts()
    holding = Holding("pool", FENCE, parts.clock.read_monotonic())
    rules = PoolSupervisor(parts, holding, make_jobs())._ledger.rules
    settings = parts.settings
    slow_clock = 0.98  # seconds that it measures in each second
    run_lease, longest = settings.run_lease, settings.bounds.max_run_lease
    assert run_lease + rules.margin >= run_lease / slow_clock
    assert run_lease + rules.restart_excess >= longest / slow_clock
    assert rules.stop_limit >= settings.bounds.stop / slow_clock
    unstated = settings.timing.unstated_lease
    assert rules.inherited_lease + rules.margin >= unstated / slow_clock
