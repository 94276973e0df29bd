"""Tests of what libraries log, and of the log's limits against callers' faults."""

import logging
import os

import pytest

from peridotspoke import logsink
from peridotspoke.clock import ManualClock
from peridotspoke.librarylogs import LibraryLogHandler
from peridotspoke.logs import configure_logs
from peridotspoke.logsink import BoundedSink, SinkRules

INFO = 20  # log level


@pytest.fixture
def lines():
    written = []
    configure_logs("node", "n1", stream=lambda message: written.append(str(message)))
    yield written
    configure_logs("test", "")


@pytest.fixture
def library():
    clock = ManualClock()
    handler = LibraryLogHandler(clock)
    logger = logging.Logger("aiohttp.server")
    logger.addHandler(handler)
    return clock, handler, logger


def raise_error(logger):
    try:
        raise ValueError("first line\nsecond line")
    except ValueError:
        logger.exception("Error handling request from %s", "10.0.0.1")


def test_a_library_error_is_one_line_without_its_traceback(lines, library):
    """Each malformed request wrote a traceback of twelve lines."""
    _, _, logger = library
    raise_error(logger)
    assert len(lines) == 1 and lines[0].count("\n") == 1
    assert "event=library-message logger=aiohttp.server" in lines[0]
    assert "Error handling request from 10.0.0.1" in lines[0]
    assert "ValueError" in lines[0] and "Traceback" not in lines[0]


def test_messages_of_one_kind_are_summed_up(lines, library):
    """An accept loop without descriptors wrote 20,394 tracebacks in 8 s."""
    clock, handler, logger = library
    counted = []
    handler.on_message = counted.append
    for _ in range(1000):
        raise_error(logger)
    logger.warning("another kind")
    clock.advance(10.0)
    raise_error(logger)
    assert len(lines) == 3
    assert "repeated=999" in lines[2]
    assert counted == ["aiohttp.server"] * 1002


def test_the_number_of_kinds_is_bounded(lines, library):
    """Messages with a value in their text were each a kind of their own."""
    _, _, logger = library
    for number in range(1000):
        logger.error(f"connection {number}")
    assert len(lines) < 100


def test_wrong_requests_are_limited_although_they_are_essential():
    """Callers that submit invalid jobs without end filled the log."""
    reader, writer = os.pipe()
    clock = ManualClock()
    sink = BoundedSink(writer, clock, SinkRules(fault_rate=1.0, fault_burst=3.0))
    for number in range(10):
        sink.put(f"invalid {number}\n", INFO, "event=job-submit outcome=Invalid")
        sink.put(f"unknown {number}\n", INFO, "event=job-show outcome=UnknownJob")
        sink.put(f"refused {number}\n", INFO, "event=job-submit outcome=Refused")
    text = os.read(reader, 65_536).decode()
    os.close(reader)
    os.close(writer)
    assert text.count("refused ") == 10
    assert text.count("invalid ") + text.count("unknown ") == 3


def test_a_reader_that_leaves_costs_one_line_and_is_counted(monkeypatch):
    """Each line to a reader that had left was a traceback on standard error."""
    reader, writer = os.pipe()
    error_reader, error_writer = os.pipe()
    monkeypatch.setattr(logsink, "STANDARD_ERROR", error_writer)
    sink = BoundedSink(writer, ManualClock())
    counted = []
    sink.on_left_out = counted.append
    os.close(reader)
    for _ in range(100):
        sink.put("line\n", INFO, "event=run-ordered")
    assert os.read(error_reader, 65_536) == b"level=WARNING event=log-reader-lost\n"
    assert counted.count("log-reader-lost") == 1
    assert counted.count("run-ordered") == 99  # the first was being written
    for descriptor in (writer, error_reader, error_writer):
        os.close(descriptor)


def test_a_stuck_reader_that_leaves_costs_one_line_too(monkeypatch):
    """The line for which the full buffer was flushed was written to a lost reader."""
    reader, writer = os.pipe()
    error_reader, error_writer = os.pipe()
    monkeypatch.setattr(logsink, "STANDARD_ERROR", error_writer)
    rules = SinkRules(rate=1e6, burst=1e6, most_waiting=10, reserve=0)
    sink = BoundedSink(writer, ManualClock(), rules)
    os.set_blocking(reader, False)
    while sink._count_waiting() < rules.most_waiting:
        sink.put("line\n" * 100, INFO, "event=run-ordered")
    os.close(reader)
    for _ in range(10):
        sink.put("line\n", INFO, "event=run-ordered")
    sink.finish(0.01)
    assert os.read(error_reader, 65_536) == b"level=WARNING event=log-reader-lost\n"
    for descriptor in (writer, error_reader, error_writer):
        os.close(descriptor)


def test_a_repeated_conflict_is_limited_although_it_is_essential():
    """A caller that submits under an ID in use without end filled the log."""
    reader, writer = os.pipe()
    sink = BoundedSink(writer, ManualClock(), SinkRules(fault_rate=1, fault_burst=3.0))
    for number in range(10):
        sink.put(f"conflict {number}\n", INFO, "event=job-submit outcome=Conflict")
    text = os.read(reader, 65_536).decode()
    os.close(reader)
    os.close(writer)
    assert text.count("conflict ") == 3


def test_a_message_without_its_named_value_is_logged_as_it_is(lines, library):
    """Such a message raised a KeyError in the library that logged it."""
    _, _, logger = library
    logger.warning("lost %(peer)s", {"host": "h"})
    assert len(lines) == 1
    assert "lost %(peer)s" in lines[0]
