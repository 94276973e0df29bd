"""Steps for failures of processes: kills, pauses, stops and outages."""

import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.conftest import DECLARATION
from tests.processes import ProgramProcess

scenarios("process_failures.feature")

MAX_POLLS = 200
POLL_INTERVAL = 0.05  # seconds
OUTAGE_CALLS = 5


@pytest.fixture
def calls():
    """Return a dict for the thread and the result of a background call."""
    return {}


@given(parsers.parse("each request runs for {seconds:d} seconds"))
def set_service_time(fleet, seconds):
    fleet.set_executor_faults(service_time=float(seconds))


def _find_process(fleet, entry):
    return next(
        process
        for process in fleet.processes
        if any(f"instance={entry} " in line for line in process.lines)
    )


def _call_in_background(fleet, calls, entry, **headers):
    """Send a request in a thread and wait until an executor runs it."""
    before = sum(fleet.count_runs().values())

    def call():
        try:
            calls["answer"] = fleet.call(entry, "/feldkirch/order", **headers)
        except OSError as error:
            calls["error"] = error

    calls["thread"] = threading.Thread(target=call, daemon=True)
    calls["thread"].start()
    for _ in range(MAX_POLLS):
        if sum(fleet.count_runs().values()) > before:
            return
        time.sleep(POLL_INTERVAL)
    raise AssertionError("no executor started to run the request")


@when(parsers.parse('"{entry}" is killed while it waits for the answer to key "{key}"'))
def kill_entry(fleet, calls, entry, key):
    _call_in_background(fleet, calls, entry, Idempotency_Key=key)
    _find_process(fleet, entry).kill()


@when(parsers.parse('"{entry}" is paused while it waits for the answer to key "{key}"'))
def pause_entry(fleet, calls, entry, key):
    _call_in_background(fleet, calls, entry, Idempotency_Key=key)
    _find_process(fleet, entry).pause()


@when(parsers.parse('"{entry}" receives SIGTERM twice while a request runs'))
def stop_entry(fleet, calls, entry):
    _call_in_background(fleet, calls, entry)
    process = _find_process(fleet, entry)
    process.terminate()
    process.wait_for_event("stop-asked")
    process.terminate()
    calls["status"] = process.wait()


@when("the platform goes down")
def take_platform_down(fleet):
    fleet.set_platform_faults(down=True)


@then(
    parsers.parse(
        '"{entry}" answers a retry with key "{key}" with the outcome "{outcome}"'
    )
)
def check_retry(fleet, entry, key, outcome):
    answer = fleet.call(entry, "/feldkirch/order", Idempotency_Key=key)
    assert answer.outcome == outcome, answer


@then(parsers.parse('after it resumes, "{entry}" answers its caller'))
def check_answer_after_resume(fleet, calls, entry):
    _find_process(fleet, entry).resume()
    calls["thread"].join()
    assert calls["answer"].outcome == "answered", calls


@then(parsers.parse('key "{key}" was run {count:d} times'))
def check_runs(fleet, key, count):
    assert fleet.count_runs("keyed_runs")[key] == count


@then(parsers.parse("the request is answered and the exit status is {status:d}"))
def check_planned_stop(calls, status):
    calls["thread"].join()
    assert calls["answer"].outcome == "answered"
    assert calls["status"] == status


@then(parsers.parse('"{entry}" answers requests to "{service}"'))
def check_serving(fleet, entry, service):
    for number in range(OUTAGE_CALLS):
        answer = fleet.call(entry, f"/{service}/plan/{number}")
        assert answer.outcome == "answered", answer


@then(parsers.parse('"{entry}" refuses a keyed request to "{service}" as "{outcome}"'))
def check_keyed_refusal(fleet, entry, service, outcome):
    answer = fleet.call(entry, f"/{service}/order", Idempotency_Key="outage")
    assert answer.outcome == outcome, answer
    assert "outage" not in fleet.count_runs("keyed_runs")


@when(
    parsers.parse(
        '"{entry}" is paused and the publisher of version {version:d} is killed '
        "after its commit"
    )
)
def kill_publisher(fleet, entry, version):
    _find_process(fleet, entry).pause()
    text = DECLARATION.format(name="feldkirch", size=2) + "queue_limit = 9\n"
    (fleet.directory / "service.toml").write_text(text, encoding="utf-8")
    publisher = ProgramProcess(
        "publish",
        "publish",
        platform=fleet.platform,
        directory=fleet.directory,
        wait="true",
    )
    fleet.processes.append(publisher)
    for name in set(fleet.entries) - {entry}:
        _wait_for_version(fleet, name, version)
    assert publisher.is_running()
    publisher.kill()


def _list_versions(fleet, entry):
    return [
        int(line.split("version=")[1].split()[0])
        for line in list(_find_process(fleet, entry).lines)
        if "event=configuration-in-force" in line
    ]


def _wait_for_version(fleet, entry, version):
    for _ in range(MAX_POLLS):
        if version in _list_versions(fleet, entry):
            return
        time.sleep(POLL_INTERVAL)
    raise AssertionError(
        f"{entry} logged versions {_list_versions(fleet, entry)}, not {version}"
    )


@then(parsers.parse('version {version:d} is in force on "{entry}"'))
def check_version(fleet, entry, version):
    assert _list_versions(fleet, entry)[-1] == version


@then(
    parsers.parse(
        'after "{entry}" resumes, it takes version {version:d} and no entry instance '
        "reverts"
    )
)
def check_resumed_version(fleet, entry, version):
    _find_process(fleet, entry).resume()
    _wait_for_version(fleet, entry, version)
    for name in fleet.entries:
        assert _list_versions(fleet, name) == [1, version]
