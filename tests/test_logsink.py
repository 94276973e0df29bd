"""Tests of the log sink, with a pipe that is not read while lines are written."""

import os

import pytest

from peridotspoke.clock import ManualClock
from peridotspoke.logs import configure_logs, log_event
from peridotspoke.logsink import BoundedSink, SinkRules

INFO, WARNING = 20, 30  # log levels
LINE = "x" * 200 + "\n"


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    chunks = []
    while True:
        try:
            chunks.append(os.read(reader, 65536))
        except BlockingIOError:
            return b"".join(chunks).decode()


def test_full_pipe_neither_blocks_nor_grows_the_queue(pipe):
    """Lines beyond the limit are dropped and counted, and the count is logged."""
    reader, writer = pipe
    rules = SinkRules(burst=100_000, most_waiting=50, reserve=10)
    sink = BoundedSink(writer, ManualClock(), rules)
    for _ in range(5_000):
        sink.put(LINE, INFO, "event=run-ordered")
    text = read_all(reader)
    sink.put("refused\n", WARNING, "event=start-refused")
    sink.put("next\n", INFO, "event=run-ordered")
    text += read_all(reader)
    assert "event=log-lines-left-out lines=" in text
    assert text.endswith("refused\nnext\n")
    written = text.count(LINE)
    assert f"lines={5_000 - written}" in text


def test_rate_limit_spares_lines_that_explain_refusals(pipe):
    """A burst of task starts must not suppress why a job was refused."""
    reader, writer = pipe
    sink = BoundedSink(writer, ManualClock(), SinkRules(rate=1.0, burst=3.0))
    for number in range(10):
        sink.put(f"start {number}\n", INFO, "event=run-ordered")
        sink.put(f"refused {number}\n", INFO, "event=job-submit outcome=Refused")
    text = read_all(reader)
    assert text.count("refused") == 10
    assert text.count("start ") == 3


def test_rate_limit_spares_the_starts_of_tasks_that_last(pipe):
    """A pool's owner that starts hundreds of short tasks a second left them out."""
    reader, writer = pipe
    sink = BoundedSink(writer, ManualClock(), SinkRules(rate=1.0, burst=3.0))
    for number in range(10):
        sink.put(f"short {number}\n", INFO, "event=run-ordered fence=7")
        sink.put(f"lasts {number}\n", INFO, "event=run-ordered fence=7 lasting=True")
        sink.put(f"stands {number}\n", INFO, "event=run-confirmed run=1")
    text = read_all(reader)
    assert text.count("lasts ") == text.count("stands ") == 10
    assert text.count("short ") == 3


def test_configured_logs_are_rate_limited_by_the_sink(pipe):
    """The logging library passes each message with its level and event."""
    reader, writer = pipe
    sink = BoundedSink(writer, ManualClock(), SinkRules(rate=1.0, burst=1.0))
    configure_logs("node", "n1", stream=sink)
    try:
        log_event("run-ordered", job="a")
        log_event("run-ordered", job="b")
        log_event("start-refused", job="c")
    finally:
        configure_logs("test", "")
    lines = read_all(reader).splitlines()
    assert [line.rpartition("job=")[2] for line in lines if "job=" in line] == [
        "a",
        "c",
    ]
