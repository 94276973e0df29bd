"""Tells operators how the quotas of workspaces stand: in the log and the metrics."""

from datetime import UTC, datetime

from peridotspoke.labels import BoundedLabels
from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.quotarecords import NOTHING

__all__ = ["QuotaReport", "format_need"]

MIN_WAIT = 0.25  # seconds that a workspace waits for quota before it is logged
LINE_INTERVAL = 5.0  # seconds between two lines about the same wait
GAUGE_INTERVAL = 1.0  # seconds between two updates of the gauges
MAX_LABELS = 250  # workspaces with label values of their own
OTHER = "other"
RESOURCES = ("cpu", "memory", "accelerators")
GAUGES = ("quota_use", "quota_granted")


def format_need(need):
    """Return a need as the log shows it.

    Examples
    --------
    >>> format_need(Need(1500, 200, 1))
    'cpu:1500m,memory:200MB,accelerators:1'
    """
    return f"cpu:{need.cpu}m,memory:{need.memory}MB,accelerators:{need.accelerators}"


class QuotaReport:
    """Reports the quotas that the owner of a pool runs its jobs under.

    Parameters
    ----------
    pool : str
    metrics : MetricsRegistry
    log : callable
        Takes an event and its fields.
    """

    def __init__(self, pool, metrics, log):
        self._pool, self._metrics, self._log = pool, metrics, log
        self._told_at, self._labels = {}, BoundedLabels(MAX_LABELS)
        self._shown, self._updated_at = set(), float("-inf")

    def note_stored(self, workspace, quota, row, before, revision, age):
        """Log that the pool's row of a workspace's record was written.

        Parameters
        ----------
        workspace : str
        quota : WorkspaceQuota
        row : QuotaRow
        before : Need
            What the pool had been granted.
        revision : int
            Revision of the write.
        age : float
            Seconds for which the record had been known.
        """
        self._metrics.count("quota_writes", pool=self._pool)
        self._log(
            "quota-changed",
            workspace=workspace,
            granted=format_need(row.granted),
            before=format_need(before),
            use=format_need(quota.use),
            waiting=bool(row.waiting_since),
            revision=revision,
            record_age=age,
        )

    def update(self, book, now, wall):
        """Log the workspaces that wait for quota, and update the gauges.

        Parameters
        ----------
        book : QuotaBook
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        for workspace, quota in book.quotas.items():
            if quota.waiting_since and wall - quota.waiting_since >= MIN_WAIT:
                self._tell_waiting(workspace, quota, now, wall)
        if now - self._updated_at >= GAUGE_INTERVAL:
            self._updated_at = now
            self._set_gauges(book)

    def clear(self):
        """Set the gauges to 0, as another node reports from now on."""
        for name, label in self._shown:
            self._set_gauge(name, label, NOTHING)

    def _tell_waiting(self, workspace, quota, now, wall):
        if now - self._told_at.get(workspace, float("-inf")) < LINE_INTERVAL:
            return
        self._told_at[workspace] = now
        since = datetime.fromtimestamp(quota.waiting_since, UTC)
        fields = {} if quota.next_task is None else {"task": quota.next_task}
        self._log(
            "quota-waiting",
            **fields,
            workspace=workspace,
            next=format_need(quota.next),
            since=since.isoformat(timespec="milliseconds"),
            waited=wall - quota.waiting_since,
            use=format_need(quota.use),
            granted=format_need(quota.granted),
            others=format_need(quota.others),
            limit=format_need(quota.limit),
            known=quota.is_known,
        )

    def _set_gauges(self, book):
        sums = {shown: [0, 0, 0] for shown in self._shown}
        for workspace, quota in book.quotas.items():
            label = self._labels.bound(workspace)
            for name, need in zip(GAUGES, (quota.use, quota.granted), strict=True):
                total = sums.setdefault((name, label), [0, 0, 0])
                total[0] += need.cpu
                total[1] += need.memory
                total[2] += need.accelerators
        for (name, label), total in sums.items():
            self._set_gauge(name, label, Need(*total))
        self._shown = set(sums)
        for workspace, limit in book.limits.items():
            label = self._labels.bound(workspace)
            if label != OTHER:
                self._set_gauge("quota_limit", label, limit, pool=None)

    def _set_gauge(self, name, label, need, pool=""):
        labels = {"workspace": label}
        if pool is not None:
            labels["pool"] = self._pool
        for resource in RESOURCES:
            amount = getattr(need, resource)
            self._metrics.set_gauge(name, amount, resource=resource, **labels)
