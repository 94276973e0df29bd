"""Ejection of failing upstreams, and probes that end it."""

from dataclasses import dataclass, replace

__all__ = ["UpstreamHealth"]

EJECTION_THRESHOLD = 4  # failures in a row
MIN_EJECTION_TIME = 1.0  # seconds
MAX_EJECTION_TIME = 30.0  # seconds
MAX_EJECTED_FRACTION = 0.5  # fraction of a service's upstreams


@dataclass(frozen=True, slots=True)
class _UpstreamState:
    consecutive_failures: int = 0
    ejection_time: float = 0.0  # seconds; 0 while not ejected
    ejected_at: float = 0.0
    probe_running: bool = False

    @property
    def is_ejected(self):
        return self.ejection_time > 0


class UpstreamHealth:
    """Ejects upstreams that fail repeatedly (passive outlier detection).

    An upstream is ejected after `EJECTION_THRESHOLD` failures in a row. Once the
    ejection time has passed, a single request probes the upstream: an idempotent
    one or, after twice the ejection time, any request. A successful probe ends the
    ejection; a failed one doubles the ejection time, up to `MAX_EJECTION_TIME`.

    At most `MAX_EJECTED_FRACTION` of a service's upstreams are withheld. If more
    are ejected, those that were ejected last are used nevertheless, so that a
    service never loses all its upstreams.
    """

    def __init__(self):
        self._states = {}

    def record_success(self, instance):
        """Record an answer from `instance`, which ends an ejection."""
        self._states.pop(instance, None)

    def record_failure(self, instance, now):
        """Record a failed attempt.

        Parameters
        ----------
        instance : str
        now : float
            Monotonic time in seconds.
        """
        state = self._states.get(instance, _UpstreamState())
        consecutive_failures = state.consecutive_failures + 1
        if consecutive_failures < EJECTION_THRESHOLD:
            self._states[instance] = replace(
                state, consecutive_failures=consecutive_failures
            )
            return
        if state.is_ejected and not state.probe_running:
            return
        ejection_time = min(
            MAX_EJECTION_TIME, max(MIN_EJECTION_TIME, 2 * state.ejection_time)
        )
        self._states[instance] = _UpstreamState(
            consecutive_failures, ejection_time, now
        )

    def record_start(self, instance):
        """Record that a request starts; on an ejected upstream it is the probe."""
        state = self._states.get(instance)
        if state is not None and state.is_ejected:
            self._states[instance] = replace(state, probe_running=True)

    def retain_only(self, instances):
        """Discard the state of all upstreams that are not in `instances`."""
        self._states = {
            name: state for name, state in self._states.items() if name in instances
        }

    def list_usable(self, upstreams, idempotent, now):
        """Return the upstreams that may get a request.

        Parameters
        ----------
        upstreams : sequence of Upstream
            All upstreams of one service.
        idempotent : bool
            Whether the request is idempotent.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        sequence of Upstream
        """
        if not self._states:
            return upstreams
        ejected = [item for item in upstreams if self._is_ejected(item)]
        if not ejected:
            return upstreams
        ejected.sort(key=lambda item: self._states[item.instance].ejected_at)
        withheld = {
            item.instance
            for item in ejected[: int(len(upstreams) * MAX_EJECTED_FRACTION)]
            if not self._may_probe(item, idempotent, now)
        }
        return [item for item in upstreams if item.instance not in withheld]

    def _is_ejected(self, upstream):
        state = self._states.get(upstream.instance)
        return state is not None and state.is_ejected

    def _may_probe(self, upstream, idempotent, now):
        state = self._states[upstream.instance]
        delay = state.ejection_time if idempotent else 2 * state.ejection_time
        return not state.probe_running and now >= state.ejected_at + delay
