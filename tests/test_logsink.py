"""Tests of the log sink, with a pipe that is not read while lines are written."""

import os
import threading
from types import SimpleNamespace

import pytest

from peridotspoke.clock import ManualClock
from peridotspoke.logs import configure_logs, log_event
from peridotspoke.logsink import BoundedSink, SinkRules
from peridotspoke.metrics import MetricsRegistry
from peridotspoke.programs import node as node_program

INFO, WARNING = 20, 30  # log levels
LINE = "x" * 200 + "\n"
DECISIONS = (  # of a run's owner: what it ordered and released, and what it believed
    "run-ordered",
    "run-confirmed",
    "start-unconfirmed",
    "start-after-release",
    "start-refused",
    "run-stopping",
    "stop-answered",
    "run-ended",
    "run-over",
    "given-up-ended",
    "late-end",
    "run-foreign",
    "executor-listed",
    "executor-unlisted",
    "entry-lapsed",
    "executor-withdrawn",
    "executor-unreachable",
    "executor-reachable",
    "executor-reborn",
    "executor-replaced",
    "incarnation-ignored",
    "ends-missing",
    "leases-expired",
    "job-taken",
    "ownership-gained",
    "ownership-lost",
)


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
    """A burst of ordinary lines must not suppress why a job was refused."""
    reader, writer = pipe
    sink = BoundedSink(writer, ManualClock(), SinkRules(rate=1.0, burst=3.0))
    for number in range(10):
        sink.put(f"paced {number}\n", INFO, "event=run-paced")
        sink.put(f"refused {number}\n", INFO, "event=job-submit outcome=Refused")
    text = read_all(reader)
    assert text.count("refused") == 10
    assert text.count("paced ") == 3


def test_rate_limit_spares_the_lines_of_tasks_that_last(pipe):
    """A pool's owner that runs hundreds of short tasks a second left them out."""
    reader, writer = pipe
    sink = BoundedSink(writer, ManualClock(), SinkRules(rate=1.0, burst=3.0))
    for number in range(10):
        sink.put(f"short {number}\n", INFO, "event=run-paced share=7")
        sink.put(f"lasts {number}\n", INFO, "event=run-paced share=7 lasting=True")
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
        log_event("run-paced", job="a")
        log_event("run-paced", job="b")
        log_event("start-refused", job="c")
    finally:
        configure_logs("test", "")
    lines = read_all(reader).splitlines()
    assert [line.rpartition("job=")[2] for line in lines if "job=" in line] == [
        "a",
        "c",
    ]


def put_decisions(sink):
    for event in DECISIONS:
        sink.put(f"decision {event}\n", INFO, f"event={event} pool=p")


def list_decisions(text):
    lines = [line for line in text.splitlines() if line.startswith("decision ")]
    return tuple(line.removeprefix("decision ") for line in lines)


def test_rate_limit_spares_each_decision_about_a_run(pipe):
    """The log of a node that ordered two runs of one task named neither (issue 35)."""
    reader, writer = pipe
    sink = BoundedSink(writer, ManualClock(), SinkRules(rate=1.0, burst=3.0))
    for _ in range(50):
        sink.put("ordinary\n", INFO, "event=run-paced")
    put_decisions(sink)
    assert list_decisions(read_all(reader)) == DECISIONS


def test_ordinary_lines_that_wait_make_room_for_decisions(pipe):
    """A buffer full of ordinary lines left out the decisions that came later."""
    reader, writer = pipe
    rules = SinkRules(burst=100_000, most_waiting=len(DECISIONS) + 1, reserve=0)
    sink = BoundedSink(writer, ManualClock(), rules)
    for number in range(2_000):
        sink.put(f"{number} {LINE}", INFO, "event=run-paced")
    put_decisions(sink)
    text = read_all(reader)
    sink.put("last\n", WARNING, "event=fenced")
    text += read_all(reader)
    assert list_decisions(text) == DECISIONS
    assert text.endswith("last\n")
    numbers = [int(line.split()[0]) for line in text.splitlines() if "xxx" in line]
    assert numbers == sorted(numbers)
    left_out = 2_000 - len(numbers)
    assert f"lines={left_out} essential=0 events=run-paced:{left_out}\n" in text


def test_a_notice_names_the_events_that_were_left_out_most(pipe):
    """A number of lines didn't tell whether the one that was sought was among them."""
    reader, writer = pipe
    sink = BoundedSink(writer, ManualClock(), SinkRules(rate=1.0, burst=1.0))
    counted = {}
    sink.on_left_out = lambda event: counted.update({event: counted.get(event, 0) + 1})
    for number in range(20):
        for _ in range(number + 1):
            sink.put(
                "time=t level=INFO program=p instance=i x\n", INFO, f"event=e{number}"
            )
    sink.put("refused\n", INFO, "event=start-refused")
    notice = read_all(reader).splitlines()[1]
    assert notice == (
        "time=t level=WARNING program=p instance=i event=log-lines-left-out lines=209 "
        "essential=0 since=t events=e19:20,e18:19,e17:18,e16:17,e15:16,e14:15,e13:14,"
        "e12:13,other:77"
    )
    assert counted == {f"e{number}": number + 1 for number in range(1, 20)}


def test_notices_come_at_most_once_in_their_interval(pipe):
    """Each decision among a flood of ordinary lines had a notice of its own."""
    reader, writer = pipe
    clock = ManualClock()
    sink = BoundedSink(writer, clock, SinkRules(rate=0.001, burst=1.0))
    for _ in range(30):
        sink.put("ordinary\n", INFO, "event=run-paced")
        sink.put("ordered\n", INFO, "event=run-ordered")
    assert read_all(reader).count("event=log-lines-left-out lines=1 ") == 1
    clock.advance(1.0)
    sink.put("ordered\n", INFO, "event=run-ordered")
    assert "lines=28 essential=0 events=run-paced:28" in read_all(reader)


def test_an_orderly_stop_writes_the_lines_that_wait(pipe):
    """Lines that waited as the process stopped were lost without a notice."""
    reader, writer = pipe
    rules = SinkRules(burst=100_000, most_waiting=100)
    sink = BoundedSink(writer, ManualClock(), rules)
    for _ in range(1_000):
        sink.put(LINE, INFO, "event=run-paced")
    sink.finish(0.01)  # nobody reads: it ends
    text = read_all(reader)
    sink.finish(0.01)
    text += read_all(reader)
    written = text.count(LINE)
    assert f"lines={1_000 - written} " in text
    assert sink.finish(0.01) is None and read_all(reader) == ""


def test_a_stop_whose_reader_has_gone_ends_without_an_error():
    """A node that stopped after its reader ended with a traceback."""
    reader, writer = os.pipe()
    rules = SinkRules(rate=1e6, burst=1e6)
    sink = BoundedSink(writer, ManualClock(), rules)
    for _ in range(1_000):
        sink.put(LINE, INFO, "event=run-paced")
    os.close(reader)
    sink.finish(0.01)
    os.close(writer)


def test_the_node_program_writes_what_waits_and_counts_what_is_left_out(
    pipe, monkeypatch
):
    """A node that stopped lost the lines that its reader had not taken yet."""
    reader, writer = pipe
    os.set_blocking(reader, True)
    chunks = []
    slow_reader = threading.Thread(
        target=_read_to_the_last, args=(reader, chunks), daemon=True
    )
    metrics, node = MetricsRegistry(), SimpleNamespace()
    node.start = lambda: _fill_the_pipe(slow_reader)
    stdout = SimpleNamespace(fileno=lambda: writer)
    monkeypatch.setattr(node_program.sys, "stdout", stdout)
    monkeypatch.setattr(
        node_program, "read_settings_file", lambda: SimpleNamespace(name="n1")
    )
    parts = SimpleNamespace(metrics=metrics, render_metrics=metrics.render)
    monkeypatch.setattr(node_program, "assemble_node", lambda _: (parts, node))
    monkeypatch.setattr(node_program, "JobRequestHandler", lambda *_: None)
    monkeypatch.setattr(node_program, "Ingress", _FakeIngress)
    monkeypatch.setattr(node_program, "LOG_LIMIT", 20, raising=False)
    try:
        with pytest.raises(_StoppedError):
            node_program.main()
    finally:
        configure_logs("test", "")
    slow_reader.join(5)
    left_out = metrics.get_count("log_lines_left_out", event="run-paced")
    text = b"".join(chunks).decode()
    assert left_out > 0 and f"events=run-paced:{left_out}" in text
    assert "event=run-ordered job=last" in text


class _StoppedError(Exception):
    """Ends the node program."""


class _FakeIngress:
    """Stands for the node's listeners."""

    def __init__(self, *_):
        return None

    async def open(self):
        return None


def _fill_the_pipe(slow_reader):
    for _ in range(4_000):
        log_event("run-paced", job="x" * 200)
    log_event("run-ordered", job="last")
    slow_reader.start()
    raise _StoppedError


def _read_to_the_last(reader, chunks):
    while b"job=last" not in b"".join(chunks[-2:]):
        chunks.append(os.read(reader, 65536))
