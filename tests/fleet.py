"""Runs a fleet of program processes on loopback, for tests."""

import json
import time
import urllib.error
import urllib.request
from dataclasses import dataclass

from tests.processes import ProgramProcess, run_program

MAX_CALLS = 150
CALL_INTERVAL = 0.1  # seconds
CALL_TIMEOUT = 30  # seconds
FREE_PORTS = dict.fromkeys(("listen", "admin", "peer_listen"), "127.0.0.1:0")


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP response as a caller receives it.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Response headers.
    body : bytes
        Response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self):
        """The value of the outcome header, or an empty string."""
        return self.headers.get("Peridotspoke-Outcome", "")


class Fleet:
    """Starts programs, publishes declarations and sends requests.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the declarations that are published.

    Attributes
    ----------
    processes : list of ProgramProcess
        All processes that were started.
    executors : list of str
        URLs of the executors.
    entries : dict of str to str
        URLs of the entry instances by name.
    platform : str
        URL of the platform's stand-in.
    """

    def __init__(self, directory):
        self.directory = directory
        self.processes = []
        self.executors = []
        self.entries = {}
        self.platform = ""

    def close(self):
        """Stop all processes."""
        for process in self.processes:
            process.close()

    def start_platform(self):
        """Start the stand-in for the platform."""
        process = self._start("standin", "platform", listen="127.0.0.1:0")
        address = process.wait_for_event("standin-started")["listen"]
        self.platform = f"http://{address}"

    def start_executors(self, count, zone="vlbg-a"):
        """Start `count` upstream stand-ins and put them on the instance list."""
        processes = [
            self._start("standin", "upstream", name=f"i{n}", listen="127.0.0.1:0")
            for n in range(count)
        ]
        addresses = [
            process.wait_for_event("standin-started")["listen"] for process in processes
        ]
        self.executors = [f"http://{address}" for address in addresses]
        listed = [
            {
                "instance": f"i{number}",
                "zone": zone,
                "rack": f"r{number}",
                "state": "live",
                "incarnation": 1,
                "executor": address,
            }
            for number, address in enumerate(addresses)
        ]
        send(f"{self.platform}/standin/instances", json.dumps(listed).encode())

    def start_entry(self, name, zone="vlbg-a", **flags):
        """Start an entry instance and return its process."""
        flags = {**FREE_PORTS, "platform": self.platform, **flags}
        process = self._start("entry", name=name, zone=zone, **flags)
        address = process.wait_for_event("entry-started")["listen"]
        self.entries[name] = f"http://{address}"
        return process

    def start_control(self, name="control-0", zone="vlbg-a", **flags):
        """Start a controller and return its process."""
        ports = {name: FREE_PORTS[name] for name in ("peer_listen", "admin")}
        flags = {**ports, "platform": self.platform, **flags}
        process = self._start("control", name=name, zone=zone, **flags)
        process.wait_for_event("control-started")
        return process

    def publish(self, text, operator="ana", reason="first release"):
        """Publish one declaration and return the completed process."""
        (self.directory / "service.toml").write_text(text, encoding="utf-8")
        return run_program(
            "publish",
            "publish",
            platform=self.platform,
            directory=self.directory,
            operator=operator,
            reason=reason,
        )

    def set_platform_faults(self, **faults):
        """Replace the faults of the platform."""
        send(f"{self.platform}/standin/faults", json.dumps(faults).encode())

    def set_executor_faults(self, **faults):
        """Replace the faults of all executors."""
        for executor in self.executors:
            send(f"{executor}/standin/faults", json.dumps(faults).encode())

    def count_runs(self, kind="runs"):
        """Return the number of runs over all executors.

        Parameters
        ----------
        kind : str, optional
            ``"runs"`` counts by request ID, ``"keyed_runs"`` by idempotency key.

        Returns
        -------
        dict of str to int
            The number of runs by request ID or idempotency key.
        """
        totals = {}
        for executor in self.executors:
            with urllib.request.urlopen(f"{executor}/standin/runs") as response:
                for name, runs in json.load(response)[kind].items():
                    totals[name] = totals.get(name, 0) + runs
        return totals

    def call(self, entry, path, body=b"", method="POST", **headers):
        """Send a request to an entry instance and return the `Answer`."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return send(self.entries[entry] + path, body, method, fields)

    def call_until_served(self, entry, path):
        """Repeat a request until an executor answers it, and return the `Answer`."""
        for _ in range(MAX_CALLS):
            answer = self.call(entry, path)
            if answer.outcome == "answered":
                return answer
            time.sleep(CALL_INTERVAL)
        raise AssertionError(f"{entry} did not serve {path}; last answer: {answer}")

    def _start(self, program, *arguments, **flags):
        process = ProgramProcess(program, *arguments, **flags)
        self.processes.append(process)
        return process


def send(url, body=b"", method="POST", headers=None):
    """Send one HTTP request and return the `Answer`, whatever its status."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT) as response:
            return Answer(response.status, dict(response.headers), response.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, dict(error.headers), error.read())
