"""Tests of the decoders of the operator's, the executors' and callers' documents."""

import json

import msgspec
import pytest

from peridotspoke.exceptions import RecordError, RequestError
from peridotspoke.nodes.view import StoreView
from peridotspoke.platform.configuration import decode_configuration, decode_wave
from peridotspoke.platform.entries import decode_entry
from peridotspoke.platform.executors import format_task, parse_task
from peridotspoke.platform.submissions import decode_submission
from peridotspoke.store import FollowedRecords, Record
from peridotspoke.workloads.checking import check_job
from peridotspoke.workloads.configuration import Configuration, Queue, Workspace
from peridotspoke.workloads.executors import ExecutorCondition
from peridotspoke.workloads.jobs import Need, TaskKey

HEARTBEAT = {
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
ODD_ADDRESSES = [
    "",
    ":80",
    "10.1.1.1",
    "10.1.1.1:",
    "10.1.1.1:0",
    "10.1.1.1:-1",
    "10.1.1.1:99999",
    "10.1.1.1:8e1",
    "10.1.1.1:" + "8" * 5000,
    "10.1.1.1:\u0663\u0664",
    "10.1.1.999:80",
    "10.1.1.1\n:80",
    "10.1. 1.1:80",
    "[::1:9",
    "[::1]",
    "[10.1.1.1]:80",
    "::1:80",
    "http://10.1.1.1:80",
    "user@10.1.1.1:80",
    "10.1.1.1/x:80",
    "a" * 300 + ":80",
    ".".join(["a" * 60] * 5) + ":80",
    "\u00fcber:80",
]
QUEUE = Queue("q", "host", "/q/", "pool")
# More levels than any decoder follows; the rest of the document is missing.
DEEPLY_NESTED = b'{"inventory":' + b"[" * 2000


def make_record(value, key="servers/i-1"):
    data = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return Record(key, data, 5)


def test_an_executors_heartbeat_is_decoded():
    """The last label names the rack."""
    entry = decode_entry(make_record(HEARTBEAT))
    assert entry.executor_id == "i-1"
    assert entry.condition is ExecutorCondition.READY
    assert entry.rack == "r1-3"
    assert entry.capacity == Need(32000, 65536, 0)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        DEEPLY_NESTED,
        {**HEARTBEAT, "state": "sleepy"},
        {**HEARTBEAT, "seq": "four"},
        {**HEARTBEAT, "capacity": None},
        b'{"seq":' + b"9" * 5000 + b"}",
        {**HEARTBEAT, "seq": 10**30},
        {**HEARTBEAT, "born": 10**18},
        {**HEARTBEAT, "born": -1},
        {**HEARTBEAT, "remainingMs": -1},
        {**HEARTBEAT, "capacity": {"cpu": 10**18}},
        {**HEARTBEAT, "capacity": {"cpu": -5}},
        {**HEARTBEAT, "capacity": {"memMb": 10**18}},
        {**HEARTBEAT, "capacity": {"gpu": -1}},
        *({**HEARTBEAT, "address": address} for address in ODD_ADDRESSES),
        {key: val for key, val in HEARTBEAT.items() if key != "address"},
    ],
)
def test_an_unreadable_heartbeat_is_a_record_error(value):
    """Invalid JSON, unknown states, and missing or mistyped fields raise one error."""
    with pytest.raises(RecordError):
        decode_entry(make_record(value))


def test_a_deeply_nested_entry_of_another_writer_hides_no_executor():
    # Guards against nodes that stop reading the executors' entries (review/3).
    records = {
        record.key: record
        for record in (
            make_record(DEEPLY_NESTED, "servers/inventory"),
            make_record(HEARTBEAT, "servers/i-1"),
        )
    }
    view = StoreView()
    view.apply_entries(FollowedRecords(records, frozenset(records)), decode_entry)
    assert view.entries_loaded
    assert list(view.entries) == ["i-1"]


@pytest.mark.parametrize("decode", [decode_configuration, decode_wave])
def test_a_deeply_nested_document_of_the_operator_is_a_record_error(decode):
    # Guards against a node that stops following the operator's records.
    with pytest.raises(RecordError):
        decode(make_record(DEEPLY_NESTED, "op/wave/1"))


def test_a_deeply_nested_submission_is_a_request_error():
    # Guards against an error of the server for what the caller got wrong.
    with pytest.raises(RequestError):
        decode_submission(DEEPLY_NESTED, "5c0e7a21d94b36f8", QUEUE, 0.0)


@pytest.mark.parametrize("name", ["", "i 1", "i-1\r\nX-Fence: 9", "\u00fcber"])
def test_an_entry_whose_key_cannot_be_sent_in_a_header_is_a_record_error(name):
    # Guards against calls that fail by an unexpected error, or carry another header.
    with pytest.raises(RecordError):
        decode_entry(make_record(HEARTBEAT, f"servers/{name}"))


@pytest.mark.parametrize(
    "address", ["10.1.1.1:80", "[2001:db8::1]:65535", "localhost:1", "n-1.lima:8080"]
)
def test_the_addresses_of_executors_are_accepted(address):
    entry = decode_entry(make_record({**HEARTBEAT, "address": address}))
    assert entry.address == address


def test_task_names_are_parsed_as_they_are_formatted():
    """A name has four parts; one with fewer is refused."""
    key = TaskKey("5c0e7a21d94b36f8", 2, 1, 17)
    assert parse_task(format_task(key)) == key
    with pytest.raises(ValueError, match="not enough"):
        parse_task("5c0e7a21d94b36f8.0")


def test_a_configuration_is_decoded():
    """The platform's routes become queues, and its milliseconds seconds."""
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
    assert queue.advice.ticket_lifetime == pytest.approx(3.0)
    assert configuration.find_queue("h", "/x/abc") is queue
    assert configuration.max_body_size == 1000


@pytest.mark.parametrize("value", [b"{", {"version": "new"}, {"routes": []}])
def test_an_unreadable_configuration_is_a_record_error(value):
    """Invalid JSON and missing or mistyped fields raise `RecordError`.

    The caller can then keep the configuration that is in force.
    """
    with pytest.raises(RecordError):
        decode_configuration(make_record(value, "op/config"))


def test_workspaces_are_decoded():
    """The wire's tenants become workspaces, and its counts a limit of resources."""
    document = {
        "version": 8,
        "routes": [
            {"name": "r", "host": "h", "prefix": "/x/", "service": "s"},
            {
                "name": "open",
                "host": "h",
                "prefix": "/open/",
                "service": "s",
                "anonymous": True,
            },
        ],
        "tenants": [
            {
                "name": "olive",
                "apiKeys": ["k-1", "k-2"],
                "weight": 2.5,
                "maxCount": {"cpu": 4000, "memMb": 8192, "gpu": 2},
            },
            {"name": "plum", "apiKeys": [], "maxCount": {"cpu": 500}},
            {"name": "fig"},
        ],
    }
    configuration = decode_configuration(make_record(document, "op/config"))
    assert configuration.workspaces == (
        Workspace("olive", frozenset({"k-1", "k-2"}), 2.5, Need(4000, 8192, 2)),
        Workspace("plum", limit=Need(500)),
        Workspace("fig"),
    )
    assert [item.has_limit for item in configuration.workspaces] == [True, True, False]
    assert [queue.anonymous for queue in configuration.queues] == [False, True]
    assert decode_configuration(make_record({"version": 1}, "op/config")) == (
        Configuration(1)
    )


@pytest.mark.parametrize(
    "tenants",
    [
        {"olive": {}},
        [{"apiKeys": ["SECRET-1"]}],
        [{"name": "", "apiKeys": ["SECRET-1"]}],
        [{"name": "olive", "apiKeys": "SECRET-1"}],
        [{"name": "olive", "apiKeys": ["SECRET-1", 5]}],
        [{"name": "olive", "apiKeys": ["SECRET-1"], "weight": -1}],
        [{"name": "olive", "apiKeys": ["SECRET-1"], "weight": "SECRET-1"}],
        [{"name": "olive", "apiKeys": ["SECRET-1"], "maxCount": {"cpu": -1}}],
        [{"name": "olive", "apiKeys": ["SECRET-1"], "maxCount": {"gpu": 0.5}}],
        [{"name": "olive", "apiKeys": ["SECRET-1"], "maxCount": 3}],
    ],
)
def test_malformed_workspaces_are_a_record_error_without_their_keys(tenants):
    # Guards against a workspace that shares no room, and against a key in the log,
    # where the error of an unreadable configuration is written.
    record = make_record({"version": 9, "tenants": tenants}, "op/config")
    with pytest.raises(RecordError) as error_info:
        decode_configuration(record)
    assert "SECRET" not in f"{error_info.value} {error_info.value!r} {record!r}"


def test_a_configuration_shows_no_key_in_its_representation():
    # Guards against keys in whatever formats a configuration or its workspaces.
    tenants = [{"name": "olive", "apiKeys": ["SECRET-1"]}]
    record = make_record({"version": 9, "tenants": tenants}, "op/config")
    configuration = decode_configuration(record)
    assert configuration.workspaces[0].keys == {"SECRET-1"}
    assert "SECRET" not in f"{configuration!r} {configuration.workspaces!r}"


def test_a_wave_is_decoded():
    """The wire's ``durationS`` is in seconds already."""
    value = {"wave": 1, "machines": ["m-1"], "durationS": 20, "maxCount": 2}
    wave = decode_wave(make_record(value, "op/wave/1"))
    assert (wave.number, wave.duration, wave.max_down) == (1, 20.0, 2)


def decode_and_check(**fields):
    body = json.dumps({"spec": "s", "steps": [{"count": 1}], **fields}).encode()
    job = decode_submission(body, "5c0e7a21d94b36f8", QUEUE, 1.0)
    check_job(job)
    return job


def test_a_job_is_decoded():
    """Absent fields have their defaults."""
    steps = [
        {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900, "affinity": "r1-3"},
        {"count": 20, "after": [0], "checkpointing": True, "antiAffinity": 2},
    ]
    job = decode_and_check(steps=steps)
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
        {"repeatCount": 3, "intervalMs": 1e300},
        {"repeatCount": 3, "intervalMs": 1000, "firstMs": 1e300},
        {"repeatCount": 3, "intervalMs": 1000, "firstMs": -1e300},
        {"repeatCount": 10**400, "intervalMs": 1000},
        {"steps": [{"count": 1, "estimateMs": 1e300}]},
        {"steps": [{"count": 1, "targetMs": 1e300}]},
        {"steps": [{"count": 1, "targetMs": -1}]},
        {"steps": [{"count": 1, "cpu": 10**400}]},
        {"steps": [{"count": 1, "memMb": 10**400}]},
        {"steps": [{"count": 1, "gpu": 10**400}]},
        {"steps": [{"count": 1, "mayMiss": 10**400}]},
        {"steps": [{"count": 1, "antiAffinity": 10**400}]},
        {"steps": [{"count": 1}, {"count": 1, "after": [10**4000]}]},
    ],
)
def test_an_invalid_job_is_a_request_error(fields):
    """Cycles, unknown steps, values out of range and mistyped fields are refused."""
    with pytest.raises(RequestError):
        decode_and_check(**fields)


def test_the_text_of_many_faults_is_short():
    """A body full of faults became an answer and a log line of a megabyte."""
    step = {"count": 0, "cpu": -1, "mayMiss": -1, "after": [9] * 60}
    with pytest.raises(RequestError) as caught:
        decode_and_check(steps=[step] * 64)
    assert len(str(caught.value)) < 4000
    assert "step 0: expected a count of at least 1" in str(caught.value)


def test_a_job_of_too_many_steps_is_refused_before_they_are_decoded():
    """Each such body occupied the node for a fifth of a second."""
    with pytest.raises(RequestError, match="expected 1 to 64 steps, found 20000"):
        decode_and_check(steps=[{"count": "none"}] * 20_000)


def test_a_long_list_of_earlier_steps_is_a_request_error():
    steps = [{"count": 1}, {"count": 1, "after": [0] * 100_000}]
    with pytest.raises(RequestError, match="at most 64 steps in after"):
        decode_and_check(steps=steps)
