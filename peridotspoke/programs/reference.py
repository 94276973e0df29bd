"""Generates the reference page of all settings from the settings classes.

Run: ``python -m peridotspoke.programs.reference > docs/SETTINGS.md``
"""

from peridotspoke.programs import settings as program_settings
from peridotspoke.settings import list_settings

__all__ = ["format_reference"]

HEADER = """# Settings

Each setting is a flag and an environment variable; the flag goes before the variable.
All settings are checked together at start; bad ones end the program with status 2 and
one message that names all of them. This page is printed by
`python -m peridotspoke.programs.reference`.
"""

NODE_FILE = """## Settings file of peridotspoke-node

The platform writes this file, one `key=value` a line. A faulty value ends the program with
status 2; at a later reading it leaves the settings as they are.

| key | default | meaning |
|---|---|---|
| `bounds.strictRevoke` | false | whether `bounds.revokeMs` holds: true or false |
| `bounds.revokeMs` | 5000 | time after a configuration is stored from which no key that it removed is served, milliseconds above 0; below 3400 quiet nodes refuse calls |
"""  # noqa: E501


def format_reference():
    """Return the page as Markdown text."""
    sections = [HEADER]
    for name in program_settings.__all__:
        settings_class = getattr(program_settings, name)
        rows = [
            f"| `{item.flag}` | `{item.variable}` | {item.default} | {item.meaning} |"
            for item in list_settings(settings_class)
        ]
        title = (settings_class.__doc__ or name).splitlines()[0].rstrip(".")
        table = ["| flag | variable | default | meaning |", "|---|---|---|---|", *rows]
        sections.append("\n".join([f"## {title}", "", *table, ""]))
    sections.append(NODE_FILE)
    return "\n".join(sections)


if __name__ == "__main__":
    print(format_reference(), end="")
