"""A short seeded play of node processes; `benchmarks.plays` plays more by hand."""

import pytest

from peridotspoke.platform.tests.fleetplay import play_seed


@pytest.mark.parametrize("seed", [1])
async def test_node_processes_keep_the_rules_beside_series_of_disruptions(
    seed, tmp_path
):
    # Guards against two runs of a task at once (TWICE in the users' own runs).
    play, breaks = await play_seed(seed, tmp_path, traffic=12.0)
    assert play.site.runs
    assert not breaks
