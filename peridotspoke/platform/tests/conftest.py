"""Fixtures for the tests of the platform's adapter."""

import fcntl

import pytest


@pytest.fixture
def alone(tmp_path_factory):
    """Let one of these tests run at a time, over all workers of pytest-xdist."""
    path = tmp_path_factory.getbasetemp().parent / "outside-callers.lock"
    with open(path, "w", encoding="utf-8") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
