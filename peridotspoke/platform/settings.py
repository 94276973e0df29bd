"""The platform's settings file of a process."""

import os
from pathlib import Path

from peridotspoke.exceptions import SettingsError
from peridotspoke.nodes.settings import Bounds, NodeSettings

__all__ = ["SETTINGS_VARIABLE", "parse_settings", "read_settings_file"]

SETTINGS_VARIABLE = "PERIDOTSPOKE_NODE_FILE"
METRICS_PORT = 7060  # named in deploy/system.toml
MILLISECOND = 0.001
REQUIRED = ("node", "zone", "listen.front", "listen.ready", "platform.address")
# Field of Bounds: its key in the file, and what one of the key's units is in seconds.
BOUNDS = {
    "drain": ("bounds.drainMs", MILLISECOND),
    "grace": ("bounds.graceS", 1.0),
    "hold_most": ("bounds.holdMaxMs", MILLISECOND),
    "stop": ("bounds.stopMs", MILLISECOND),
    "gang": ("bounds.gangMs", MILLISECOND),
    "notice": ("bounds.noticeMs", MILLISECOND),
    "move": ("bounds.moveS", 1.0),
    "maintenance": ("bounds.upkeepS", 1.0),
    "status": ("bounds.status_s", 1.0),
    "holder_change": ("bounds.leaseMs", MILLISECOND),
    "roll_out": ("bounds.configMs", MILLISECOND),
}
NUMBERS = {
    "writes": ("platform.writesPerS", 1.0),
    "reads": ("platform.readsPerS", 1.0),
    "listings": ("cloud.ratePerS", 1.0),
    "duties": ("cloud.dutyPerS", 1.0),
    "heartbeat": ("heartbeatMs", MILLISECOND),
    "shortest_lease": ("platform.ttlMinMs", MILLISECOND),
    "most_value": ("platform.valueBytes", 1.0),
    "link": ("limits.linkMbps", 1.0),
}
# The share of a processor that the process gets, and how many times as fast that is.
PROCESSORS = {"share": ("limits.cpuShare", 1.0), "factor": ("limits.cores", 1.0)}


def read_settings_file(path=None):
    """Return the `NodeSettings` of the file that the environment names.

    Raises
    ------
    SettingsError
        If the file can't be read, or with all its faults at once.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "/etc/peridotspoke/boot.conf")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step="read settings", peer=path) from error
    return parse_settings(text)


def parse_settings(text):
    """Return the `NodeSettings` of lines of the form ``a.b=value``.

    Unknown keys are ignored.

    Raises
    ------
    SettingsError
        With all faults at once.
    """
    faults = []
    values = dict(_parse_lines(text, faults))
    for key in REQUIRED:
        if not values.get(key):
            faults.append(f"expected a value of {key}")
    for key in ("listen.front", "listen.ready", "platform.address"):
        _check_address(values, key, faults)
    for key in ("cloud.address", "advice"):
        if values.get(key):
            _check_address(values, key, faults)
    bounds = _read_numbers(values, BOUNDS, faults)
    numbers = _read_numbers(values, NUMBERS, faults)
    numbers |= _read_processors(values, faults)
    if faults:
        raise SettingsError("; ".join(faults), step="read settings")
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
        **numbers,
    )


def _parse_lines(text, faults):
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        key, separator, value = line.partition("=")
        if separator:
            yield key.strip(), value.strip()
        else:
            faults.append(f"expected a.b=value in line {number}")


def _check_address(values, key, faults):
    host, _, port = values.get(key, "").rpartition(":")
    if values.get(key) and not (host and port.isdigit()):
        faults.append(f"expected IP:PORT as {key}, found {values[key]!r}")


def _read_processors(values, faults):
    found = _read_numbers(values, PROCESSORS, faults)
    if "share" not in found:
        return {}
    return {"processors": found["share"] * found.get("factor", 1.0)}


def _read_numbers(values, fields, faults):
    numbers = {}
    for name, (key, unit) in fields.items():
        if not values.get(key):
            continue
        try:
            number = float(values[key])
        except ValueError:
            faults.append(f"expected a number as {key}, found {values[key]!r}")
            continue
        if number < 0:
            faults.append(f"expected a number of at least 0 as {key}")
        numbers[name] = number * unit
    return numbers
