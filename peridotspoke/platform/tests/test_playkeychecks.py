"""Tests of the checks of keys, on records made by hand."""

import pytest

from peridotspoke.platform.tests.playkeychecks import (
    Call,
    find_key_breaks,
    find_shown_keys,
)
from peridotspoke.platform.tests.playversions import read_versions

PATH = "/plain-north/5c0e7a21d94b36f8"


def make_document(olive, plum=("P1",)):
    tenants = [("olive", olive), ("plum", plum)]
    return {
        "tenants": [
            {"name": name, "apiKeys": list(keys), "maxCount": {}}
            for name, keys in tenants
        ]
    }


# O1 is revoked at 20, O2 is added at 10 and held until the end.
VERSIONS = read_versions(
    [
        (0.0, make_document(["O1"])),
        (10.0, make_document(["O1", "O2"])),
        (20.0, make_document(["O2"])),
        (30.0, make_document(["O2", "O3"])),
    ]
)


def make_call(asked_at, key, status, method="GET", owner="", seconds=0.1):
    told_at = asked_at + seconds
    return Call(asked_at, told_at, "node-1", method, PATH, owner, key, status)


@pytest.mark.parametrize(
    ("rule", "call"),
    [
        ("KEY", make_call(15, "unknown", 200)),
        ("KEY", make_call(15, None, 200, "POST")),
        ("KEY", make_call(15, "unknown", 410, "DELETE")),
        ("KEY", make_call(15, "unknown", 409, "POST")),
        ("KEY", make_call(9, "O2", 200)),
        ("KEY", make_call(25, "O3", 200)),
        ("REVOKED", make_call(25.1, "O1", 200)),
        ("REVOKED", make_call(25.1, "O1", 410)),
        ("REVOKED", make_call(40, "O1", 200, "POST")),
        ("FOREIGN", make_call(15, "P1", 200, "GET", "olive")),
        ("FOREIGN", make_call(15, "P1", 200, "POST", "olive")),
        ("FOREIGN", make_call(15, "O1", 200, "DELETE", "plum")),
        ("DENIED", make_call(10.1, "O2", 401)),
        ("DENIED", make_call(19, "O1", 401)),
    ],
)
def test_a_broken_rule_is_found(rule, call):
    # Guards against plays that pass whatever the nodes do with keys.
    (text,) = find_key_breaks([call], VERSIONS)
    assert text.startswith(f"{rule} ")


@pytest.mark.parametrize(
    "call",
    [
        make_call(15, "unknown", 401),
        make_call(15, None, 401),
        make_call(15, "unknown", 503, "POST"),
        make_call(9.5, "O2", 200, seconds=1.0),  # added before the answer
        make_call(19, "O1", 200),
        make_call(24.9, "O1", 200, seconds=2.0),  # sent within the bound
        make_call(19.5, "O1", 401, seconds=1.0),  # revoked before the answer
        make_call(40, "O1", 401),
        make_call(40, "O1", 503),
        make_call(15, "P1", 410, "GET", "olive"),
        make_call(15, "P1", 409, "POST", "olive"),
        make_call(15, "O1", 200, "GET", "olive"),
        make_call(15, "O2", 200, "DELETE", "olive"),
        make_call(9.5, "O2", 401, seconds=1.0),  # added while the call was served
        make_call(15, "O1", 0),
    ],
)
def test_what_the_rules_allow_is_no_break(call):
    assert not find_key_breaks([call], VERSIONS)


def test_a_key_in_a_log_is_found():
    # Guards against keys in log lines that no other test causes.
    logs = {"node-1": "event=job-submit key=O2", "node-2": "event=started"}
    (text,) = find_shown_keys(logs, VERSIONS)
    assert text == "SHOWN key=O2 in the log of node-1"
