"""Generates the reference page of all settings from the settings classes.

Run: ``python -m peridotspoke.programs.reference > docs/SETTINGS.md``
"""

from dataclasses import fields

from peridotspoke.nodes.settings import CallerSettings
from peridotspoke.platform.settings import CALLER_FIELDS
from peridotspoke.programs import settings as program_settings
from peridotspoke.settings import list_settings

__all__ = ["format_reference"]

HEADER = """# Settings

Each setting is a flag and an environment variable; the flag goes before the variable.
All settings are checked together at start; bad ones end the program with status 2 and
one message that names all of them. This page is printed by
`python -m peridotspoke.programs.reference`.
"""

NODE_HEADER = """## Settings file of peridotspoke-node

The platform writes this file (`PERIDOTSPOKE_NODE_FILE`), one `key=value` a line. A faulty
value ends the program with status 2; at a later reading it leaves the settings as they are.
The keys that begin with `callers.` limit its callers and take effect at its start.

| key | default | meaning |
|---|---|---|
| `bounds.strictRevoke` | false | whether `bounds.revokeMs` holds: true or false |
| `bounds.revokeMs` | 5000 | time after a configuration is stored from which no key that it removed is served, milliseconds above 0; below 3400 quiet nodes refuse calls |
"""  # noqa: E501
CALLER_MEANINGS = {
    "memory": "memory that callers' connections and requests may hold together, MB; "
    "0: nine tenths of `limits.memoryMb` above 80 MB, less 2 MB, from 8 to 160 MB",
    "connections": "connections of callers that may be open at once; 0: some 53 % of "
    "`limits.maxFds`, less where it is below 512, and at least 16",
    "arrival": "time in which a head or a body has to arrive, beside the time that its "
    "bytes take at `callers.bytesPerS`, milliseconds",
    "rate": "bytes a second that a caller is expected to send at least; the default is "
    "a link of 5 Mbit/s that 300 callers share",
    "pause": "longest time between two pieces of a body, and for which a response is "
    "not read, milliseconds",
}
NODE_FOOTER = """
Beside these, a head may have 65,536 bytes, and so may the trailer of a chunked body;
both limits are fixed. The addresses for readiness checks and for metrics hold 1 MB
each, and as many connections as one in 64 of `limits.maxFds`, from 8 to 32.
"""


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
    sections.append(_format_node_settings())
    return "\n".join(sections)


def _format_node_settings():
    rows = []
    for item in fields(CallerSettings):
        key, factor = CALLER_FIELDS[item.name]
        meaning = CALLER_MEANINGS[item.name]
        rows.append(f"| `{key}` | {item.default / factor:g} | {meaning} |\n")
    return NODE_HEADER + "".join(rows) + NODE_FOOTER


if __name__ == "__main__":
    print(format_reference(), end="")
