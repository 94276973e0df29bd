"""Quotas with one safeguard taken out each, for the walks that must find it."""

from peridotspoke.workloads.quotarecords import combine_needs
from peridotspoke.workloads.quotas import QuotaBook
from peridotspoke.workloads.workspacequota import WorkspaceQuota

__all__ = ["WEAKENINGS", "HoardingBook"]


class LateDecreaseQuota(WorkspaceQuota):
    """Uses what it returns until the store has confirmed the return."""

    @property
    def granted(self):
        return self._row.granted


class EarlyIncreaseQuota(WorkspaceQuota):
    """Uses what it requests before the store has confirmed it."""

    @property
    def granted(self):
        granted = self._row.granted
        for sent in self._sent_grants:
            granted = combine_needs(max, granted, sent)
        return granted


class HoardingQuota(WorkspaceQuota):
    """Returns nothing, however long others wait."""

    def _choose_kept(self, now):
        return combine_needs(max, self.use, self._row.granted)


class HoardingBook(QuotaBook):
    quota_class = HoardingQuota


class LateDecreaseBook(QuotaBook):
    quota_class = LateDecreaseQuota


class EarlyIncreaseBook(QuotaBook):
    quota_class = EarlyIncreaseQuota


# By name: the arguments of `QuotaWorld.weaken`.
WEAKENINGS = {
    "writes aren't conditional on the revision": {"checks_revision": False},
    "writes aren't conditional on the ownership": {"checks_owner": False},
    "decreases take effect when confirmed": {"book_class": LateDecreaseBook},
    "increases take effect when sent": {"book_class": EarlyIncreaseBook},
    "inherited runs don't count": {"counts_inherited": False},
}
