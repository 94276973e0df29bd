"""Ejects upstreams that fail all they get, and tries them again by probes."""

from dataclasses import dataclass, replace

__all__ = ["UpstreamHealth"]

FAILURES_TO_EJECT = 4
FIRST_EJECTION = 1.0  # seconds
LONGEST_EJECTION = 30.0  # seconds
MOST_EJECTED = 0.5  # share of a service's upstreams


@dataclass(frozen=True, slots=True)
class _State:
    failures: int = 0
    ejection: float = 0.0
    ejected_at: float = 0.0
    probing: bool = False

    @property
    def is_ejected(self):
        return self.ejection > 0


class UpstreamHealth:
    """Counts failures in a row for each upstream.

    An upstream is ejected after `FAILURES_TO_EJECT` failures without a success in
    between. When the ejection ends one request probes it, an idempotent one if any
    comes within the same time again. A failed probe doubles the ejection. At most
    half of the upstreams that are asked about stay ejected; of more, those that
    were ejected last are used, so that never all are out.
    """

    def __init__(self):
        self._states = {}

    def note_success(self, instance):
        """Note an answer; it ends an ejection."""
        self._states.pop(instance, None)

    def note_failure(self, instance, now):
        """Note a failure at `now`, monotonic seconds."""
        state = self._states.get(instance, _State())
        failures = state.failures + 1
        if failures < FAILURES_TO_EJECT:
            self._states[instance] = replace(state, failures=failures)
            return
        if state.is_ejected and not state.probing:
            return
        ejection = min(LONGEST_EJECTION, max(FIRST_EJECTION, 2 * state.ejection))
        self._states[instance] = _State(failures, ejection, now)

    def note_start(self, instance):
        """Note that a request was sent; to an ejected upstream it is the probe."""
        state = self._states.get(instance)
        if state is not None and state.is_ejected:
            self._states[instance] = replace(state, probing=True)

    def forget_absent(self, instances):
        """Drop what is known of all but `instances`."""
        self._states = {
            name: state for name, state in self._states.items() if name in instances
        }

    def list_usable(self, upstreams, idempotent, now):
        """Return those of `upstreams` that may get a request at `now`."""
        if not self._states:
            return upstreams
        ejected = [item for item in upstreams if self._is_ejected(item)]
        if not ejected:
            return upstreams
        ejected.sort(key=lambda item: self._states[item.instance].ejected_at)
        kept_out = {
            item.instance
            for item in ejected[: int(len(upstreams) * MOST_EJECTED)]
            if not self._may_probe(item, idempotent, now)
        }
        return [item for item in upstreams if item.instance not in kept_out]

    def _is_ejected(self, upstream):
        state = self._states.get(upstream.instance)
        return state is not None and state.is_ejected

    def _may_probe(self, upstream, idempotent, now):
        state = self._states[upstream.instance]
        wait = state.ejection if idempotent else 2 * state.ejection
        return not state.probing and now >= state.ejected_at + wait
