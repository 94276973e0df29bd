"""Random walks of pools that share a workspace's limit, and walks that must fail."""

import pytest

from peridotspoke.workloads.tests.quotamodel import QuotaBrokenError
from peridotspoke.workloads.tests.quotawalks import walk, walk_returns
from peridotspoke.workloads.tests.weakenedquotas import WEAKENINGS, HoardingBook

# A walk and the seeds with which it finds a safeguard that is missing.
FINDERS = {
    "writes aren't conditional on the revision": (walk, range(6)),
    "writes aren't conditional on the ownership": (walk_returns, range(12)),
    "decreases take effect when confirmed": (walk_returns, range(20)),
    "increases take effect when sent": (walk, range(12)),
    "inherited runs don't count": (walk, range(12)),
}


@pytest.mark.parametrize("seed", range(8))
def test_the_limit_holds_and_no_pool_waits_beside_unused_quota(seed):
    """Guards against two pools that count the same quota, and against hoarding."""
    assert walk(seed).starts > 0


@pytest.mark.parametrize("seed", range(12))
def test_the_limit_holds_while_grants_are_returned_late(seed):
    """Guards against a late write that leaves an owner less than it goes by."""
    assert walk_returns(seed).starts > 0


@pytest.mark.parametrize("name", WEAKENINGS)
def test_walks_find_a_safeguard_that_is_missing(name):
    """Guards against walks that couldn't show the failure that they are for."""
    run, seeds = FINDERS[name]
    quiet = {"quiet": 0.0} if run is walk else {}
    with pytest.raises(QuotaBrokenError):
        for seed in seeds:
            run(seed, WEAKENINGS[name], **quiet)


def test_walks_find_a_pool_that_keeps_what_it_does_not_use():
    """Guards against a check of waits that no wait could fail."""
    with pytest.raises(QuotaBrokenError, match="has waited"):
        walk(0, {"book_class": HoardingBook})
