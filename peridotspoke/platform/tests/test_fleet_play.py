"""Short seeded plays of node processes; `benchmarks.plays` plays more by hand."""

import pytest

from peridotspoke.platform.tests.fleetplay import play_seed
from peridotspoke.platform.tests.playchecks import find_late_pairs
from peridotspoke.platform.tests.playtroubles import KINDS
from peridotspoke.platform.tests.playworkspacetroubles import WORKSPACE_KINDS
from peridotspoke.platform.tests.workspaceplay import WorkspacePlay


@pytest.mark.parametrize("seed", [1])
async def test_node_processes_keep_the_rules_beside_series_of_disruptions(
    seed, tmp_path
):
    # Guards against two runs of a task at once (TWICE in the users' own runs).
    play, breaks = await play_seed(seed, tmp_path, traffic=12.0)
    assert play.site.runs
    assert not breaks


async def test_node_processes_keep_the_rules_of_workspaces_beside_disruptions(
    tmp_path,
):
    # Guards against revoked keys that go on working on nodes that are cut off, stopped
    # or replaced, against another workspace's jobs, and against starts above a limit.
    kinds = (*KINDS, *WORKSPACE_KINDS * 2)
    play, breaks = await play_seed(2, tmp_path, kinds, 12.0, make=WorkspacePlay)
    assert play.site.runs
    assert any(call.status == 200 for call in play.calls)
    assert any(call.status == 401 for call in play.calls)
    assert not breaks


@pytest.mark.parametrize("kind", ["recut", "recutkill"])
async def test_no_task_runs_twice_behind_a_cut_of_an_executor_that_restarted(
    kind, tmp_path
):
    # Guards against releasing runs while the lease holds that a call to the former life
    # gave the next one (TWICE in the users' own runs).
    play, breaks = await play_seed(45, tmp_path, [kind], 18.0, longest_lease=10.0)
    assert play.site.runs
    assert not breaks + find_late_pairs(play)
