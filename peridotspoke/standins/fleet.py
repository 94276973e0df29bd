"""The platform's instances: drains, reboots, failures and a lagging list, no I/O."""

from collections import deque
from dataclasses import replace

__all__ = ["FleetStandIn"]

KEPT_LISTS = 4096


class FleetStandIn:
    """Instances that can be drained, rebooted, lost and brought back.

    Every method takes the time in seconds, so that it needs no clock. `reboots`
    counts the reboots of each instance.

    Parameters
    ----------
    reboot_time : float, optional
        Seconds from a reboot's begin to the instance being live again.
    """

    def __init__(self, reboot_time=60.0):
        self.reboot_time = reboot_time
        self.instances = {}
        self.reboots = {}
        self._returns = {}
        self._lost = {}
        self._lists = deque([(float("-inf"), ())], maxlen=KEPT_LISTS)
        self._usage = deque([(float("-inf"), ())], maxlen=KEPT_LISTS)

    def replace_instances(self, instances, now):
        """List `instances` instead of those before."""
        self.instances = {item.instance: item for item in instances}
        self._lists.append((now, tuple(instances)))

    def drain(self, instance, incarnation, now):
        """List the instance as leaving; return whether it is of that incarnation."""
        if not self._is_current(instance, incarnation, now):
            return False
        item = self.instances[instance]
        if item.state == "live":
            self._put(replace(item, state="leaving"), now)
        return True

    def reboot(self, instance, incarnation, now):
        """Restart the instance; return whether it is of that incarnation."""
        if not self._is_current(instance, incarnation, now):
            return False
        if instance not in self._returns:
            self.reboots[instance] = self.reboots.get(instance, 0) + 1
            self._put(replace(self.instances[instance], state="leaving"), now)
            self._returns[instance] = now + self.reboot_time
        return True

    def fail(self, instance, now):
        """Let the instance vanish; one that is restarting stays away."""
        item = self.instances.pop(instance, None)
        if item is not None:
            self._returns.pop(instance, None)
            self._lost[instance] = item
            self._note_list(now)

    def fail_rack(self, zone, rack, now):
        """Let all instances of a rack vanish and return their names."""
        names = [
            name
            for name, item in self.instances.items()
            if (item.zone, item.rack) == (zone, rack)
        ]
        for name in names:
            self.fail(name, now)
        return names

    def bring_back(self, instance, now):
        """Let a vanished instance return with its next incarnation."""
        item = self._lost.pop(instance, None)
        if item is not None:
            back = replace(item, state="live", incarnation=item.incarnation + 1)
            self._put(back, now)

    def advance(self, now):
        """Finish the reboots that end by `now`."""
        ended = [name for name, at in self._returns.items() if at <= now]
        for name in ended:
            at = self._returns.pop(name)
            item = self.instances[name]
            back = replace(item, state="live", incarnation=item.incarnation + 1)
            self._put(back, at)

    def read_list(self, at):
        """Return the list as it was at a time."""
        self.advance(at)
        return _find_latest(self._lists, at)

    def report_usage(self, reports, now):
        """Replace the usage reports."""
        self._usage.append((now, tuple(reports)))

    def read_usage(self, at):
        """Return the usage reports as they were at a time."""
        return _find_latest(self._usage, at)

    def _is_current(self, instance, incarnation, now):
        self.advance(now)
        item = self.instances.get(instance)
        return item is not None and item.incarnation == incarnation

    def _put(self, item, now):
        self.instances[item.instance] = item
        self._note_list(now)

    def _note_list(self, now):
        self._lists.append((now, tuple(self.instances.values())))


def _find_latest(history, at):
    return next(
        (value for noted_at, value in reversed(history) if noted_at <= at),
        history[0][1],
    )
