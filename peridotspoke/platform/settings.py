"""Reads the platform's settings file of a node."""

import math
import os
from pathlib import Path

from peridotspoke.exceptions import SettingsError
from peridotspoke.nodes.settings import Bounds, CallerSettings, NodeSettings

__all__ = ["CALLER_FIELDS", "SETTINGS_VARIABLE", "parse_settings", "read_settings_file"]

SETTINGS_VARIABLE = "PERIDOTSPOKE_NODE_FILE"
METRICS_PORT = 7060  # as in deploy/system.toml
SECONDS_PER_MS = 0.001
REQUIRED_KEYS = ("node", "zone", "listen.front", "listen.ready", "platform.address")
# Each field of Bounds, with its key in the file and the seconds in one unit of it.
BOUND_FIELDS = {
    "drain": ("bounds.drainMs", SECONDS_PER_MS),
    "grace": ("bounds.graceS", 1.0),
    "max_run_lease": ("bounds.holdMaxMs", SECONDS_PER_MS),
    "stop": ("bounds.stopMs", SECONDS_PER_MS),
    "gang": ("bounds.gangMs", SECONDS_PER_MS),
    "notice": ("bounds.noticeMs", SECONDS_PER_MS),
    "move": ("bounds.moveS", 1.0),
    "maintenance": ("bounds.upkeepS", 1.0),
    "status": ("bounds.status_s", 1.0),
    "holder_change": ("bounds.leaseMs", SECONDS_PER_MS),
    "rollout": ("bounds.configMs", SECONDS_PER_MS),
}
DEFAULT_REVOCATION = 5.0  # seconds, where revocation is strict without a bound
# Each field of CallerSettings, as for BOUND_FIELDS.
CALLER_FIELDS = {
    "memory": ("callers.memoryMb", 1.0),
    "connections": ("callers.maxConnections", 1.0),
    "arrival": ("callers.arrivalMs", SECONDS_PER_MS),
    "rate": ("callers.bytesPerS", 1.0),
    "pause": ("callers.pauseMs", SECONDS_PER_MS),
}
REVOCATION_FIELDS = {"revocation": ("bounds.revokeMs", SECONDS_PER_MS)}
# Each numeric field of NodeSettings, with its key and the factor for its value.
NUMBER_FIELDS = {
    "writes": ("platform.writesPerS", 1.0),
    "reads": ("platform.readsPerS", 1.0),
    "heartbeat": ("heartbeatMs", SECONDS_PER_MS),
    "shortest_lease": ("platform.ttlMinMs", SECONDS_PER_MS),
    "link": ("limits.linkMbps", 1.0),
    "memory": ("limits.memoryMb", 1.0),
}
# limits.cpuShare is the share of a processor that the process gets; limits.cores is
# the factor by which that processor is faster than a standard one.
PROCESSOR_FIELDS = {"share": ("limits.cpuShare", 1.0), "factor": ("limits.cores", 1.0)}


def read_settings_file(path=None):
    """Read a node's settings file.

    Parameters
    ----------
    path : str, optional
        Path of the file. By default the path in the environment variable
        `SETTINGS_VARIABLE`, or ``/etc/peridotspoke/boot.conf``.

    Returns
    -------
    NodeSettings

    Raises
    ------
    SettingsError
        If the file can't be read, or has errors; the message lists all of them.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "/etc/peridotspoke/boot.conf")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step="read settings", peer=path) from error
    return parse_settings(text)


def parse_settings(text):
    """Parse settings in lines of the form ``a.b=value``.

    Empty lines, lines that begin with ``#`` and unknown keys are ignored.

    Parameters
    ----------
    text : str

    Returns
    -------
    NodeSettings

    Raises
    ------
    SettingsError
        If any line or value is invalid; the message lists all errors.
    """
    errors = []
    values = dict(_parse_lines(text, errors))
    for key in REQUIRED_KEYS:
        if not values.get(key):
            errors.append(f"expected a value for {key}, found none")
    for key in ("listen.front", "listen.ready", "platform.address"):
        _check_address(values, key, errors)
    for key in ("cloud.address", "advice"):
        if values.get(key):
            _check_address(values, key, errors)
    bounds = _read_numbers(values, BOUND_FIELDS, errors)
    numbers = _read_numbers(values, NUMBER_FIELDS, errors)
    numbers |= _read_processors(values, errors)
    numbers |= _read_descriptors(values, errors)
    bounds |= _read_revocation(values, errors)
    callers = _read_callers(values, errors)
    if errors:
        raise SettingsError("; ".join(errors), step="read settings")
    host = values["listen.ready"].rpartition(":")[0]
    return NodeSettings(
        name=values["node"],
        zone=values["zone"],
        front=values["listen.front"],
        ready=values["listen.ready"],
        store=values["platform.address"],
        metrics=f"{host}:{METRICS_PORT}",
        machines=values.get("cloud.address", ""),
        advice=values.get("advice", ""),
        bounds=Bounds(**bounds),
        callers=CallerSettings(**callers),
        **numbers,
    )


def _parse_lines(text, errors):
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        key, separator, value = line.partition("=")
        if separator:
            yield key.strip(), value.strip()
        else:
            errors.append(f"expected a.b=value in line {number}, found no '='")


def _check_address(values, key, errors):
    host, _, port = values.get(key, "").rpartition(":")
    if values.get(key) and not (host and port.isdigit()):
        errors.append(f"expected IP:PORT for {key}, found {values[key]!r}")


def _read_processors(values, errors):
    numbers = _read_numbers(values, PROCESSOR_FIELDS, errors)
    if "share" not in numbers:
        return {}
    return {"processors": numbers["share"] * numbers.get("factor", 1.0)}


def _read_descriptors(values, errors):
    fields = {"descriptors": ("limits.maxFds", 1.0)}
    numbers = _read_numbers(values, fields, errors)
    return {name: int(number) for name, number in numbers.items()}


def _read_callers(values, errors):
    numbers = _read_numbers(values, CALLER_FIELDS, errors)
    if "connections" in numbers:
        numbers["connections"] = int(numbers["connections"])
    for name in ("arrival", "rate", "pause"):
        if numbers.get(name, 1.0) <= 0:
            key = CALLER_FIELDS[name][0]
            errors.append(f"expected a number above 0 for {key}, found {values[key]!r}")
    return numbers


def _read_revocation(values, errors):
    """Return the bound of revocations, which holds only where it is strict.

    A fault must not switch the bound off without a word.
    """
    strict = values.get("bounds.strictRevoke", "").lower()
    if strict not in ("", "true", "false"):
        errors.append(f"expected true or false for bounds.strictRevoke, found {strict}")
    if strict != "true":
        return {}
    numbers = _read_numbers(values, REVOCATION_FIELDS, errors)
    if numbers.get("revocation") == 0:
        errors.append("expected a number above 0 for bounds.revokeMs, found 0")
    return {"revocation": DEFAULT_REVOCATION, **numbers}


def _read_numbers(values, fields, errors):
    numbers = {}
    for name, (key, factor) in fields.items():
        if not values.get(key):
            continue
        try:
            number = float(values[key])
        except ValueError:
            errors.append(f"expected a number for {key}, found {values[key]!r}")
            continue
        if not (math.isfinite(number) and number >= 0):
            errors.append(
                f"expected a finite number from 0 for {key}, found {values[key]!r}"
            )
            continue
        numbers[name] = number * factor
    return numbers
