"""Tests of the platform's settings file."""

import pytest

from peridotspoke.exceptions import SettingsError
from peridotspoke.nodes.settings import DEFAULT_LINK, DEFAULT_PROCESSORS
from peridotspoke.platform import parse_settings, read_settings_file

SETTINGS_TEXT = """
node=front-a-1
zone=a
listen.front=10.1.0.9:8624
listen.ready=10.1.0.9:8622
platform.address=10.200.1.7:8621
platform.writesPerS=400
platform.ttlMinMs=1000
cloud.address=10.200.0.107:8621
advice=
heartbeatMs=1500
bounds.holdMaxMs=6000
bounds.graceS=6
unknown.key=any value
"""


def test_settings_are_read_in_seconds_and_unknown_keys_ignored():
    """Times are converted by the unit that ends their key."""
    settings = parse_settings(SETTINGS_TEXT)
    assert settings.name == "front-a-1"
    assert settings.metrics == "10.1.0.9:7060"
    assert settings.heartbeat == pytest.approx(1.5)
    assert settings.bounds.max_run_lease == pytest.approx(6.0)
    assert settings.bounds.grace == pytest.approx(6.0)
    assert settings.advice == ""
    assert settings.run_lease <= settings.bounds.max_run_lease


def test_the_instances_size_is_read_and_has_defaults():
    """`processors` is the processor's share times its speed factor."""
    size_lines = "limits.cpuShare=0.5\nlimits.cores=2\nlimits.linkMbps=5.0\n"
    settings = parse_settings(SETTINGS_TEXT + size_lines)
    assert settings.processors == pytest.approx(1.0)
    assert settings.link == pytest.approx(5.0)
    without_size = parse_settings(SETTINGS_TEXT)
    assert (without_size.processors, without_size.link) == (
        DEFAULT_PROCESSORS,
        DEFAULT_LINK,
    )


def test_all_errors_are_reported_at_once():
    """One run of the program shows all that must be corrected in the file."""
    text = SETTINGS_TEXT.replace("zone=a", "").replace("10.200.1.7:8621", "nowhere")
    text = text.replace("heartbeatMs=1500", "heartbeatMs=soon\nno separator")
    with pytest.raises(SettingsError) as error_info:
        parse_settings(text)
    message = str(error_info.value)
    for expected in ("zone", "platform.address", "heartbeatMs", "line"):
        assert expected in message


@pytest.mark.parametrize("number", ["nan", "inf", "-inf", "-1"])
def test_a_number_must_be_finite_and_not_negative(number):
    """Such a lease or rate would switch its limit off without a word."""
    with pytest.raises(SettingsError, match=r"bounds\.graceS"):
        parse_settings(SETTINGS_TEXT + f"bounds.graceS={number}\n")


@pytest.mark.parametrize(
    ("lines", "revocation"),
    [
        ("", 0.0),
        ("bounds.revokeMs=5000\n", 0.0),
        ("bounds.strictRevoke=false\nbounds.revokeMs=5000\n", 0.0),
        ("bounds.strictRevoke=true\nbounds.revokeMs=4500\n", 4.5),
        ("bounds.strictRevoke=True\nbounds.revokeMs=4500\n", 4.5),
        ("bounds.strictRevoke=true\n", 5.0),
    ],
)
def test_the_bound_of_revocations_holds_only_where_it_is_strict(lines, revocation):
    # Guards against a strict bound that is dropped since its length is missing.
    settings = parse_settings(SETTINGS_TEXT + lines)
    assert settings.bounds.revocation == pytest.approx(revocation)


@pytest.mark.parametrize(
    ("lines", "key"),
    [
        ("bounds.strictRevoke=yes\nbounds.revokeMs=5000\n", "bounds.strictRevoke"),
        ("bounds.strictRevoke=true\nbounds.revokeMs=soon\n", "bounds.revokeMs"),
        ("bounds.strictRevoke=true\nbounds.revokeMs=-1\n", "bounds.revokeMs"),
        ("bounds.strictRevoke=true\nbounds.revokeMs=0\n", "bounds.revokeMs"),
        ("limits.memoryMb=nan\n", "limits.memoryMb"),
        ("limits.maxFds=many\n", "limits.maxFds"),
        ("limits.maxFds=inf\n", "limits.maxFds"),
        ("limits.maxFds=nan\n", "limits.maxFds"),
        ("callers.maxConnections=inf\n", "callers.maxConnections"),
    ],
)
def test_a_fault_in_the_bounds_and_limits_of_the_process_is_reported(lines, key):
    # Guards against a bound that a misspelt value switches off without a word.
    with pytest.raises(SettingsError, match=key):
        parse_settings(SETTINGS_TEXT + lines)


def test_the_memory_and_the_descriptors_of_the_process_are_read():
    lines = "limits.memoryMb=552\nlimits.maxFds=8192\n"
    settings = parse_settings(SETTINGS_TEXT + lines)
    assert (settings.memory, settings.descriptors) == (552.0, 8192)
    without = parse_settings(SETTINGS_TEXT)
    assert (without.memory, without.descriptors) == (300.0, 4100)


def test_a_missing_file_is_a_settings_error(tmp_path):
    """The message has the path."""
    with pytest.raises(SettingsError, match="absent"):
        read_settings_file(str(tmp_path / "absent"))


def test_limits_of_callers_are_read_and_checked():
    """A rate of 0 would end the process at the first check of a deadline."""
    text = (
        SETTINGS_TEXT
        + "callers.memoryMb=12\ncallers.maxConnections=40\ncallers.pauseMs=500\n"
    )
    callers = parse_settings(text).callers
    assert (callers.memory, callers.connections, callers.pause) == (12.0, 40, 0.5)
    with pytest.raises(SettingsError, match=r"above 0 for callers\.bytesPerS"):
        parse_settings(SETTINGS_TEXT + "callers.bytesPerS=0\n")
