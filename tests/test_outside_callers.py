"""peridotspoke-entry under callers outside the limits, which nobody controls.

As in `peridotspoke/platform/tests/test_outside_callers.py`, the bounds are those of the
instance, which the entry's settings state: its memory and its connections.
"""

import contextlib
import subprocess
import sys
import threading
import time

import psutil
import pytest

from tests.conftest import start_serving_fleet

MEMORY = 120  # MB, the setting `memory`
BODY_MEMORY = 4 << 20  # bytes, the setting `body_memory`
CONNECTIONS = 150  # the setting `caller_connections`
OTHER_DESCRIPTORS = 60  # for the platform, the executors, the peers and the log
MOST_OUTPUT = 65_536  # bytes
SAMPLE_INTERVAL = 0.02  # seconds
HANG_LIMIT = 60  # seconds
MEGABYTE = 1_000_000  # bytes
CROWDS = (
    "endless-heads",
    "whole-bodies",
    "half-closed-bodies",
    "large-chunks",
    "small-chunks",
    "trailers",
    "empty-lines",
    "left-connections",
    "unread-responses",
    "malformed-heads",
    "left-bodies",
)


class Watched:
    """Samples the resident memory and the descriptors of a process."""

    def __init__(self, pid):
        self._process = psutil.Process(pid)
        self.first_memory = self._process.memory_info().rss
        self.most_memory = self.most_descriptors = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def _sample(self):
        with contextlib.suppress(psutil.Error):
            while not self._stop.wait(SAMPLE_INTERVAL):
                memory = self._process.memory_info().rss
                self.most_memory = max(self.most_memory, memory)
                opened = self._process.num_fds()
                self.most_descriptors = max(self.most_descriptors, opened)

    def close(self):
        self._stop.set()
        self._thread.join()


@contextlib.contextmanager
def meet(kind, url):
    """Let a crowd send, and keep its connections open inside the block."""
    host, _, port = url.removeprefix("http://").partition(":")
    crowd = subprocess.Popen(
        [
            sys.executable,
            "-B",
            "-m",
            "peridotspoke.platform.tests.outsidecallers",
            kind,
            host,
            port,
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        assert crowd.stdout.readline() == b"sent\n"
        yield
    finally:
        crowd.kill()
        crowd.wait()
        crowd.stdin.close()
        crowd.stdout.close()


def is_served(fleet):
    """Return whether an ordinary request is answered before the limit."""
    deadline = time.monotonic() + HANG_LIMIT
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if fleet.call("entry-0", "/q/ordinary").outcome == "answered":
                return True
        time.sleep(0.2)
    return False


@pytest.fixture
def entry(alone, fleet, monkeypatch):
    """Return an entry process with low limits that serves requests."""
    monkeypatch.setenv("PERIDOTSPOKE_MEMORY", str(MEMORY))
    monkeypatch.setenv("PERIDOTSPOKE_BODY_MEMORY", str(BODY_MEMORY))
    monkeypatch.setenv("PERIDOTSPOKE_CALLER_CONNECTIONS", str(CONNECTIONS))
    start_serving_fleet(fleet, 1, "q")
    return next(item for item in fleet.processes if item.has_event("entry-started"))


def check_crowd(fleet, process, kind, url):
    before = sum(map(len, process.lines))
    watched = Watched(process.pid)
    with meet(kind, url):
        answered = is_served(fleet)
    time.sleep(0.5)  # for what the end of the connections writes
    watched.close()
    output = sum(map(len, process.lines)) - before
    measured = (
        f"memory {watched.first_memory / MEGABYTE:.1f} to "
        f"{watched.most_memory / MEGABYTE:.1f} MB, descriptors "
        f"{watched.most_descriptors}, output {output} bytes, answered {answered}"
    )
    print(f"entry, {kind}: {measured}")
    assert process.is_running(), measured
    assert watched.most_memory <= MEMORY * MEGABYTE, measured
    assert watched.most_descriptors <= CONNECTIONS + OTHER_DESCRIPTORS, measured
    assert output <= MOST_OUTPUT, measured
    assert answered, measured


@pytest.mark.parametrize("kind", CROWDS)
def test_an_entry_stays_within_its_instance(entry, fleet, kind):
    check_crowd(fleet, entry, kind, fleet.entries["entry-0"])


def test_heads_at_the_admin_address_stay_within_the_instance(entry, fleet):
    admin = entry.wait_for_event("entry-started")["admin"]
    check_crowd(fleet, entry, "endless-heads", admin)
