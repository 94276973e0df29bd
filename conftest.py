"""Shared test settings, and expected failures listed in KNOWN-RED.txt."""

import asyncio
import fcntl
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis.internal.conjecture.providers import Constants, HypothesisProvider

# A search also draws constants of the modules that are loaded: its examples would
# depend on the tests that the same worker has run before.
HypothesisProvider._local_constants = Constants()
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def _read_known_red():
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(items):
    """Mark each test that KNOWN-RED.txt names as an expected failure."""
    known_red = _read_known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason=known_red[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    """Print the entries of KNOWN-RED.txt at the end of the run."""
    for entry in _read_known_red().values():
        terminalreporter.write_line(f"known red: {entry}")


@pytest.fixture
def runner():
    """Yield an `asyncio.Runner` by which plain step functions run coroutines."""
    with asyncio.Runner() as event_runner:
        yield event_runner


@pytest.fixture
def alone(tmp_path_factory):
    """Let one of these tests run at a time, over all workers of pytest-xdist."""
    path = tmp_path_factory.getbasetemp().parent / "outside-callers.lock"
    with open(path, "w", encoding="utf-8") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
