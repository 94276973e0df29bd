"""Tests of the platform's settings file."""

import pytest

from peridotspoke.exceptions import SettingsError
from peridotspoke.nodes.settings import LINK, PROCESSORS
from peridotspoke.platform import parse_settings, read_settings_file

TEXT = """
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
unknown.key=kept for later
"""


def test_settings_are_read_in_seconds_and_unknown_keys_ignored():
    """Every time of the file has its unit in its key."""
    settings = parse_settings(TEXT)
    assert settings.name == "front-a-1"
    assert settings.metrics == "10.1.0.9:7060"
    assert settings.heartbeat == pytest.approx(1.5)
    assert settings.bounds.hold_most == pytest.approx(6.0)
    assert settings.bounds.grace == pytest.approx(6.0)
    assert settings.advice == ""
    assert settings.hold <= settings.bounds.hold_most


def test_the_instances_size_is_read_and_neutral_where_it_is_not_told():
    """The share of a processor counts as often as the processor is faster."""
    size = "limits.cpuShare=0.5\nlimits.cores=2\nlimits.linkMbps=5.0\n"
    settings = parse_settings(TEXT + size)
    assert settings.processors == pytest.approx(1.0)
    assert settings.link == pytest.approx(5.0)
    untold = parse_settings(TEXT)
    assert (untold.processors, untold.link) == (PROCESSORS, LINK)


def test_all_faults_are_named_at_once():
    """One look is enough to mend the file."""
    text = TEXT.replace("zone=a", "").replace("10.200.1.7:8621", "nowhere")
    text = text.replace("heartbeatMs=1500", "heartbeatMs=soon\nno separator")
    with pytest.raises(SettingsError) as raised:
        parse_settings(text)
    message = str(raised.value)
    for part in ("zone", "platform.address", "heartbeatMs", "line"):
        assert part in message


def test_a_missing_file_is_a_clear_error(tmp_path):
    """The path stands in the error."""
    with pytest.raises(SettingsError, match="absent"):
        read_settings_file(str(tmp_path / "absent"))
