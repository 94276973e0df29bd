"""Output of the operators' commands: a table for people, JSON lines for programs."""

import msgspec
from tabulate import tabulate

__all__ = ["print_rows"]


def print_rows(rows, form):
    """Print rows as a table, or as one JSON document for each line.

    Parameters
    ----------
    rows : iterable of dataclass or dict
        The names of fields or keys are the columns of the table.
    form : {"table", "json"}
    """
    plain = [msgspec.to_builtins(row) for row in rows]
    if form == "json":
        for row in plain:
            print(msgspec.json.encode(row).decode(), flush=True)
    elif plain:
        cells = [
            {key: _format_cell(cell) for key, cell in row.items()} for row in plain
        ]
        print(tabulate(cells, headers="keys", disable_numparse=True), flush=True)


def _format_cell(value):
    return ", ".join(map(str, value)) if isinstance(value, list | tuple) else value
