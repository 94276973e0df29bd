"""Tests of the operator's, the executors' and the callers' documents."""

import msgspec
import pytest

from peridotspoke.exceptions import RecordError, RequestError
from peridotspoke.platform.configuration import decode_configuration, decode_wave
from peridotspoke.platform.executors import decode_entry, format_task, parse_task
from peridotspoke.platform.submissions import decode_submission
from peridotspoke.store import Record
from peridotspoke.workloads.checking import check_job
from peridotspoke.workloads.configuration import Queue
from peridotspoke.workloads.executors import Condition
from peridotspoke.workloads.jobs import Need, TaskKey

BEAT = {
    "service": "pool",
    "address": "10.1.1.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 32000, "memMb": 65536, "gpu": 0},
    "labels": ["a", "r1-3"],
    "seq": 4,
    "born": 1_700_000_000_000,
}
QUEUE = Queue("q", "host", "/q/", "pool")


def make_record(value, key="servers/i-1"):
    data = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return Record(key, data, 5)


def test_an_executors_entry_is_decoded():
    """The last label names the rack."""
    entry = decode_entry(make_record(BEAT))
    assert entry.executor_id == "i-1"
    assert entry.condition is Condition.READY
    assert entry.rack == "r1-3"
    assert entry.capacity == Need(32000, 65536, 0)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        {**BEAT, "state": "sleepy"},
        {**BEAT, "seq": "four"},
        {**BEAT, "capacity": None},
        {key: val for key, val in BEAT.items() if key != "address"},
    ],
)
def test_an_entry_of_another_writer_names_no_executor(value):
    """Missing and mistyped fields are one clear error."""
    with pytest.raises(RecordError):
        decode_entry(make_record(value))


def test_task_names_go_both_ways():
    """The wire's form has four parts."""
    key = TaskKey("5c0e7a21d94b36f8", 2, 1, 17)
    assert parse_task(format_task(key)) == key
    with pytest.raises(ValueError, match="not enough"):
        parse_task("5c0e7a21d94b36f8.0")


def test_a_configuration_is_decoded():
    """Routes are queues and services pools."""
    document = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "prefix": "/x/",
                "service": "s",
                "targetLatencyMs": 600,
                "stretch": 1.6,
                "maxAttempts": 4,
                "advice": {"decideMs": 100, "eachMs": 2, "validMs": 3000},
            }
        ],
        "services": [{"name": "s", "admissionCheck": True, "spare": False}],
        "limits": {"maxBodyBytes": 1000},
    }
    configuration = decode_configuration(make_record(document, "op/config"))
    (queue,) = configuration.queues
    assert queue.terms.latency == pytest.approx(0.6)
    assert queue.terms.advised
    assert queue.advice.life == pytest.approx(3.0)
    assert configuration.find_queue("h", "/x/abc") is queue
    assert configuration.most_body == 1000


@pytest.mark.parametrize("value", [b"{", {"version": "new"}, {"routes": []}])
def test_an_unreadable_configuration_is_a_clear_error(value):
    """The one in force stays."""
    with pytest.raises(RecordError):
        decode_configuration(make_record(value, "op/config"))


def test_a_wave_is_decoded():
    """Its duration is in seconds."""
    value = {"wave": 1, "machines": ["m-1"], "durationS": 20, "maxCount": 2}
    wave = decode_wave(make_record(value, "op/wave/1"))
    assert (wave.number, wave.duration, wave.most_down) == (1, 20.0, 2)


def submit(**fields):
    body = msgspec.json.encode({"spec": "s", "steps": [{"count": 1}], **fields})
    job = decode_submission(body, "5c0e7a21d94b36f8", QUEUE, 1.0)
    check_job(job)
    return job


def test_a_job_is_decoded():
    """Fields that are absent have their plain meaning."""
    steps = [
        {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900, "affinity": "r1-3"},
        {"count": 20, "after": [0], "checkpointing": True, "antiAffinity": 2},
    ]
    job = submit(steps=steps)
    assert job.steps[0].need == Need(500, 256, 0)
    assert job.steps[1].after == (0,)
    assert job.steps[1].most_per_executor == 2


@pytest.mark.parametrize(
    "fields",
    [
        {"steps": []},
        {"steps": [{"count": 0}]},
        {"steps": [{"count": 1_000_000}]},
        {"steps": [{"count": 1, "after": [0]}]},
        {"steps": [{"count": 1}, {"count": 1, "after": [7]}]},
        {"steps": [{"count": 1, "cpu": -1}]},
        {"steps": [{"count": "one"}]},
        {"steps": "none"},
        {"spec": 7},
        {"spec": "x" * 5000},
        {"repeatCount": 3, "intervalMs": 0},
    ],
)
def test_what_can_not_be_run_is_a_clear_error(fields):
    """A cycle, an unknown step, zero or huge counts, mistyped fields."""
    with pytest.raises(RequestError):
        submit(**fields)
