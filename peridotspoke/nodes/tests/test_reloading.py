"""Tests of the reload of a settings file that is malformed for a while."""

from dataclasses import replace

from peridotspoke.exceptions import SettingsError
from peridotspoke.nodes.reloading import SettingsReload
from peridotspoke.nodes.tests.stores import make_parts


def test_a_malformed_settings_file_changes_nothing_until_it_is_valid_again():
    """The process goes on with the settings that it has."""
    parts = make_parts()
    former = parts.settings
    current = [SettingsError("expected a.b=value in line 3", step="read settings")]

    def read():
        if isinstance(current[0], Exception):
            raise current[0]
        return current[0]

    reload = SettingsReload(parts, read)
    reload.reload()
    assert parts.settings is former
    current[0] = replace(former, heartbeat=former.heartbeat + 1)
    reload.reload()
    assert parts.settings.heartbeat == former.heartbeat + 1
