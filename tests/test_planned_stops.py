"""Steps for maintenance of instances under load, with separate processes."""

import itertools
import json
import threading
import time
import urllib.request
from collections import Counter

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.pools import InstanceRecord, Phase, key_instance
from peridotspoke.store import ChangeNote, Stored, encode_stored
from peridotspoke.store.gateway import encode_base64
from tests.fleet import send
from tests.processes import ProgramProcess, run_program

scenarios("planned_stops.feature")

CALLER_THREADS = 6
WAVE_TIMEOUT = 60.0  # seconds
POLL_INTERVAL = 0.02  # seconds
DEPLOYMENT = 'deployment = "test"\nview_bound = 4.0\n'
SERVICE = """service = "feldkirch"

[pool]
instances = 3

[need]
instances = 1

[requests]
time_limit = 8.0
"""


class Load:
    """Runs callers in the background and restarts executors at each reboot.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.

    Attributes
    ----------
    outcomes : collections.Counter
        Number of answers by outcome.
    reboots : int
        Number of executors that were restarted.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.outcomes = Counter()
        self.reboots = 0
        self._stopping = threading.Event()
        self._threads = []

    def start(self, target, *arguments):
        """Call `target` repeatedly in a background thread until `stop` is called."""

        def repeat():
            while not self._stopping.is_set():
                target(*arguments)

        self._threads.append(threading.Thread(target=repeat, daemon=True))
        self._threads[-1].start()

    def call(self, entries):
        """Send one request that is not idempotent and count its outcome."""
        answer = self.fleet.call(next(entries), "/feldkirch/order")
        self.outcomes[answer.outcome] += 1

    def restart_rebooted(self, restarted):
        """Restart the executor of each instance that the platform reboots.

        Parameters
        ----------
        restarted : set of (str, int)
            Instances and incarnations that were restarted already; it is updated.
        """
        with urllib.request.urlopen(f"{self.fleet.platform}/instances") as response:
            listed = json.load(response)
        for item in listed:
            occurrence = (item["instance"], item["incarnation"])
            if item["state"] == "leaving" and occurrence not in restarted:
                restarted.add(occurrence)
                self._restart(item)
        time.sleep(POLL_INTERVAL)

    def _restart(self, item):
        name = item["instance"]
        processes = self.fleet.processes
        former = next(
            process
            for process in processes
            if any(f"instance={name} " in line for line in process.lines)
        )
        former.kill()
        former.lines.clear()
        successor = ProgramProcess(
            "standin", "upstream", name=name, listen=item["executor"]
        )
        processes.append(successor)
        self.reboots += 1

    def stop(self):
        """Stop and join all threads."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()


@pytest.fixture
def load(fleet):
    """Yield a `Load` and stop it after the test."""
    running = Load(fleet)
    yield running
    running.stop()


@given(parsers.parse("a pool of {count:d} instances that are due for maintenance"))
def create_pool(fleet, count):
    fleet.start_platform()
    fleet.start_executors(count)
    fleet.set_executor_faults(service_time=1.2)
    send(f"{fleet.platform}/standin/fleet/reboot-time", b'{"seconds": "0.5"}')
    for number in range(count):
        record = InstanceRecord(
            f"i{number}",
            "feldkirch",
            Phase.SERVING,
            1,
            "vlbg-a",
            f"r{number}",
            incarnation=1,
        )
        note = ChangeNote(f"op-{number}", "test", "adopt", "test", 0.0)
        _create_record(fleet, key_instance(f"i{number}"), Stored(record, (note,)))
    (fleet.directory / "deployment.toml").write_text(DEPLOYMENT, encoding="utf-8")
    publication = fleet.publish(SERVICE)
    assert publication.returncode == 0, publication.stderr


def _create_record(fleet, key, stored):
    put = {"key": encode_base64(key), "value": encode_base64(encode_stored(stored))}
    compare = {"key": put["key"], "target": "MOD", "mod_revision": "0"}
    body = {"compare": [compare], "success": [{"request_put": put}]}
    answer = send(f"{fleet.platform}/v3/kv/txn", json.dumps(body).encode())
    assert json.loads(answer.body)["succeeded"]


@given("entry instances in two availability zones under a steady load")
def start_load(fleet, load):
    fleet.start_entry("entry-0", zone="vlbg-a")
    fleet.start_entry("entry-1", zone="vlbg-b")
    for entry in fleet.entries:
        fleet.call_until_served(entry, "/feldkirch/ready")
    entries = itertools.cycle(fleet.entries)
    for _ in range(CALLER_THREADS):
        load.start(load.call, entries)


@when(
    parsers.parse(
        "a controller maintains all {count:d} instances, whose executors restart at "
        "each reboot"
    )
)
def run_maintenance_wave(fleet, load, count):
    load.start(load.restart_rebooted, set())
    control = fleet.start_control(plan_interval=0.2)
    deadline = time.monotonic() + WAVE_TIMEOUT
    while sum("phase=serving" in line for line in list(control.lines)) < count:
        assert time.monotonic() < deadline, control.lines[-5:]
        time.sleep(POLL_INTERVAL)
    load.stop()
    assert load.reboots == count


@then("no request of the callers was interrupted")
def check_outcomes(load):
    """Allow a few refusals: on a busy machine, an entry instance's view may expire."""
    assert set(load.outcomes) <= {"answered", "not-run"}, load.outcomes
    assert load.outcomes["answered"] > 10 * load.outcomes["not-run"]


@then(
    parsers.parse(
        'the audit trail lists each step of the maintenance of "{name}" in order'
    )
)
def check_audit(fleet, name):
    audit = run_program("audit", "list", platform=fleet.platform, output="json")
    rows = [json.loads(line) for line in audit.stdout.splitlines()]
    actions = [
        row["action"].split(",")[0]
        for row in rows
        if row["key"] == key_instance(name) and "to" in row["action"].split()
    ]
    assert actions == [
        "serving to draining",
        "draining to empty",
        "empty to rebooting",
        "rebooting to joining",
        "joining to serving",
    ]
