"""Applies the workspaces' weights to a pool's rounds, and reports their shares."""

import msgspec

from peridotspoke.labels import BoundedLabels
from peridotspoke.workloads.sharedrounds import PoolShares

__all__ = ["SharedRounds", "read_weights"]

LOOK_INTERVAL = 0.5  # seconds between two looks at the workspaces' shares
MIN_DURATION = 1.0  # seconds for which a change lasts before it is logged
LINE_INTERVAL = 1.0  # seconds between two groups of lines
MAX_LINES = 8  # of a group; the other changes are logged in later ones
MAX_LABELS = 250  # workspaces with a label of their own in the metrics
USE_GAUGE = "workspace_use_share"
ENTITLED_GAUGE = "workspace_entitled_share"
WAIT_GAUGE = "workspace_wait_seconds"


def read_weights(configuration):
    """Return the weights of a configuration's workspaces, or None without any.

    Parameters
    ----------
    configuration : Configuration or None

    Returns
    -------
    dict of str to float, or None
        By workspace.
    """
    if configuration is None or not configuration.workspaces:
        return None
    return {item.name: item.weight for item in configuration.workspaces}


class SharedRounds:
    """The `PoolShares` of one pool by the current configuration, and its report.

    Parameters
    ----------
    view : StoreView
    pool : str
    metrics : MetricsRegistry
    log : callable
        Takes an event and its fields.
    """

    def __init__(self, view, pool, metrics, log):
        self._view = view
        self._pool = pool
        self._metrics = metrics
        self._log = log
        self._configuration = None
        self._shares = None
        self._labels = BoundedLabels(MAX_LABELS)
        self._shown = set()
        self._told = set()
        self._differing_since = {}
        self._looked_at = float("-inf")
        self._told_at = float("-inf")

    def get(self):
        """Return the `PoolShares` of the next round, or None without workspaces."""
        configuration = self._view.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            weights = read_weights(configuration)
            self._shares = None if weights is None else PoolShares(weights)
        return self._shares

    def update(self, now):
        """Report the workspaces' shares, unless it was done just before.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        is_idle = self._shares is None and not self._told and not self._shown
        if is_idle or now - self._looked_at < LOOK_INTERVAL:
            return
        self._looked_at = now
        latest = self._shares and self._shares.latest
        standings = latest.list_standings() if latest else {}
        waits = self._read_waits()
        self._set_gauges(standings, waits)
        self._tell(standings, waits, now)

    def clear(self):
        """Set the gauges to 0, as another node reports from now on."""
        self._set_gauges({}, {})

    def _read_waits(self):
        """Return the seconds by workspace by which submissions are judged."""
        demand = self._view.pools.get(self._pool)
        if demand is None or demand.workspace_waits is msgspec.UNSET:
            return {}
        return demand.workspace_waits

    def _set_gauges(self, standings, waits):
        shown = {}
        for name in standings.keys() | waits.keys():
            row = shown.setdefault(self._labels.bound(name), [0.0, 0.0, 0.0])
            standing = standings.get(name)
            if standing is not None:
                row[0] += standing.use
                row[1] += standing.entitlement
            row[2] = max(row[2], waits.get(name, 0.0))
        for label in self._shown | shown.keys():
            row = shown.get(label, (0.0, 0.0, 0.0))
            for gauge, value in zip(
                (USE_GAUGE, ENTITLED_GAUGE, WAIT_GAUGE), row, strict=True
            ):
                self._metrics.set_gauge(gauge, value, pool=self._pool, workspace=label)
        self._shown = set(shown)

    def _tell(self, standings, waits, now):
        """Log each workspace that has begun or ceased to need more than its share."""
        limited = {name for name, item in standings.items() if item.is_limited}
        differing = limited ^ self._told
        self._differing_since = {
            name: self._differing_since.get(name, now) for name in differing
        }
        due = [
            name
            for name, since in self._differing_since.items()
            if now - since >= MIN_DURATION
        ]
        if not due or now - self._told_at < LINE_INTERVAL:
            return
        self._told_at = now
        due.sort(key=lambda name: (self._differing_since[name], name))
        for name in due[:MAX_LINES]:
            self._told ^= {name}
            del self._differing_since[name]
            standing = standings.get(name)
            self._log(
                "share-exceeded",
                workspace=name,
                exceeded=name in limited,
                use=standing and standing.use,
                demand=standing and standing.demand,
                entitled=standing and standing.entitlement,
                weight=self._shares and self._shares.weights.get(name),
                wait=waits.get(name, 0.0),
            )
