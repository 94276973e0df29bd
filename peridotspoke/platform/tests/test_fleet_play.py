"""Short seeded plays of node processes; `benchmarks.plays` plays more by hand."""

import pytest

from peridotspoke.platform.tests.fleetplay import play_seed
from peridotspoke.platform.tests.playchecks import find_late_pairs


@pytest.mark.parametrize("seed", [1])
async def test_node_processes_keep_the_rules_beside_series_of_disruptions(
    seed, tmp_path
):
    # Guards against two runs of a task at once (TWICE in the users' own runs).
    play, breaks = await play_seed(seed, tmp_path, traffic=12.0)
    assert play.site.runs
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
