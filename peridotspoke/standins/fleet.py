"""Simulates the platform's instances and their lagging list, without I/O."""

from collections import deque
from dataclasses import replace

__all__ = ["FleetStandIn"]

MAX_SNAPSHOTS = 4096  # states of the list, and of the usage reports, that are kept


class FleetStandIn:
    """Instances that can be drained and rebooted, and that fail and recover.

    The methods take the current time in seconds, so that no clock is needed.

    Parameters
    ----------
    reboot_time : float, optional
        Seconds from the start of a reboot until the instance is live again.

    Attributes
    ----------
    instances : dict of str to ListedInstance
        The instances that are listed now, by name.
    reboots : dict of str to int
        Number of reboots by instance.
    """

    def __init__(self, reboot_time=60.0):
        self.reboot_time = reboot_time
        self.instances = {}
        self.reboots = {}
        self._reboot_ends = {}
        self._failed = {}
        self._list_snapshots = deque([(float("-inf"), ())], maxlen=MAX_SNAPSHOTS)
        self._usage_snapshots = deque([(float("-inf"), ())], maxlen=MAX_SNAPSHOTS)

    def replace_instances(self, instances, now):
        """Replace the list with `instances`."""
        self.instances = {item.instance: item for item in instances}
        self._list_snapshots.append((now, tuple(instances)))

    def drain(self, instance, incarnation, now):
        """Mark the instance as leaving; return whether `incarnation` is current."""
        if not self._is_current(instance, incarnation, now):
            return False
        item = self.instances[instance]
        if item.state == "live":
            self._store_instance(replace(item, state="leaving"), now)
        return True

    def reboot(self, instance, incarnation, now):
        """Start a reboot of the instance; return whether `incarnation` is current."""
        if not self._is_current(instance, incarnation, now):
            return False
        if instance not in self._reboot_ends:
            self.reboots[instance] = self.reboots.get(instance, 0) + 1
            self._store_instance(
                replace(self.instances[instance], state="leaving"), now
            )
            self._reboot_ends[instance] = now + self.reboot_time
        return True

    def fail(self, instance, now):
        """Remove the instance from the list, and cancel its reboot if one runs."""
        item = self.instances.pop(instance, None)
        if item is not None:
            self._reboot_ends.pop(instance, None)
            self._failed[instance] = item
            self._append_snapshot(now)

    def fail_rack(self, zone, rack, now):
        """Let all instances of a rack fail, and return their names."""
        names = [
            name
            for name, item in self.instances.items()
            if (item.zone, item.rack) == (zone, rack)
        ]
        for name in names:
            self.fail(name, now)
        return names

    def bring_back(self, instance, now):
        """List a failed instance as live again, with its next incarnation."""
        item = self._failed.pop(instance, None)
        if item is not None:
            restored = replace(item, state="live", incarnation=item.incarnation + 1)
            self._store_instance(restored, now)

    def advance(self, now):
        """Finish the reboots that are due by `now`."""
        finished = [name for name, at in self._reboot_ends.items() if at <= now]
        for name in finished:
            at = self._reboot_ends.pop(name)
            item = self.instances[name]
            restored = replace(item, state="live", incarnation=item.incarnation + 1)
            self._store_instance(restored, at)

    def read_list(self, at):
        """Return the list as it was at the time `at`."""
        self.advance(at)
        return _find_snapshot(self._list_snapshots, at)

    def report_usage(self, reports, now):
        """Replace the usage reports."""
        self._usage_snapshots.append((now, tuple(reports)))

    def read_usage(self, at):
        """Return the usage reports as they were at the time `at`."""
        return _find_snapshot(self._usage_snapshots, at)

    def _is_current(self, instance, incarnation, now):
        self.advance(now)
        item = self.instances.get(instance)
        return item is not None and item.incarnation == incarnation

    def _store_instance(self, item, now):
        self.instances[item.instance] = item
        self._append_snapshot(now)

    def _append_snapshot(self, now):
        self._list_snapshots.append((now, tuple(self.instances.values())))


def _find_snapshot(snapshots, at):
    return next(
        (value for taken_at, value in reversed(snapshots) if taken_at <= at),
        snapshots[0][1],
    )
