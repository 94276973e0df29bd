"""Reading and validation of declaration files."""

import tomllib
from pathlib import Path

from pydantic import TypeAdapter, ValidationError

from peridotspoke.declarations.checking import (
    Fault,
    Source,
    check_source,
    check_together,
    fill_defaults,
    find_line,
)
from peridotspoke.declarations.schema import DeploymentDeclaration, ServiceDeclaration
from peridotspoke.exceptions import DeclarationError

__all__ = ["parse_declaration", "read_declarations"]

_ADAPTERS = {
    "service": TypeAdapter(ServiceDeclaration),
    "deployment": TypeAdapter(DeploymentDeclaration),
}


def read_declarations(directory):
    """Return the text of each declaration in a directory tree.

    Parameters
    ----------
    directory : str or Path
        Searched recursively for ``.toml`` files.

    Returns
    -------
    dict of str to str
        The text by the declaration's name: ``service/NAME`` or ``deployment``.

    Raises
    ------
    DeclarationError
        If there is no file, or any is invalid; the message lists all faults, one a
        line.
    """
    paths = sorted(Path(directory).rglob("*.toml"))
    if not paths:
        raise DeclarationError(
            "expected at least one .toml file below the directory, found none",
            peer=str(directory),
        )
    faults = []
    sources = {}
    for path in paths:
        source, file_faults = _read_source(path)
        faults += file_faults
        if source is None:
            continue
        name = _name_declaration(source.declaration)
        if name in sources:
            key = name.partition("/")[0]
            duplicate = f"{name}, also declared in {sources[name].file}"
            faults.append(
                source.make_fault(key, duplicate, "a name declared only once")
            )
        sources.setdefault(name, source)
    faults += check_together(tuple(sources.values()))
    if faults:
        raise DeclarationError(
            "\n".join(str(fault) for fault in faults), step="check declarations"
        )
    return {name: source.text for name, source in sources.items()}


def _read_source(path):
    """Return a file's `Source`, None if it can't be parsed, and the file's faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return None, [Fault(str(path), 1, "file", str(error), "UTF-8 text")]
    result = _check_text(str(path), text)
    if isinstance(result, list):
        return None, result
    source = Source(str(path), text, result)
    return source, check_source(source)


def parse_declaration(name, text):
    """Parse and validate one declaration.

    Rules across files are not checked here.

    Parameters
    ----------
    name : str
        The declaration's name; used in the place of a file name in error messages.
    text : str
        TOML text.

    Returns
    -------
    ServiceDeclaration or DeploymentDeclaration

    Raises
    ------
    DeclarationError
        If the text is invalid; the message lists all faults, one a line.
    """
    result = _check_text(name, text)
    if isinstance(result, list):
        raise DeclarationError("\n".join(str(fault) for fault in result), peer=name)
    return result


def _name_declaration(declaration):
    if isinstance(declaration, ServiceDeclaration):
        return f"service/{declaration.service}"
    return "deployment"


def _check_text(file, text):
    """Return the declaration parsed from `text`, or the list of its faults."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = _find_line_in_message(str(error))
        return [Fault(file, line, "syntax", str(error), "TOML")]
    kind = next((kind for kind in _ADAPTERS if kind in data), None)
    if kind is None:
        return [
            Fault(file, 1, "service", "neither key", "the key service or deployment")
        ]
    try:
        filled = fill_defaults(data) if kind == "service" else data
        return _ADAPTERS[kind].validate_python(filled)
    except ValidationError as error:
        return [_describe_fault(file, text, item) for item in error.errors()]


def _find_line_in_message(message):
    _, _, rest = message.partition("line ")
    digits = rest.split(",")[0]
    return int(digits) if digits.isdigit() else 1


def _describe_fault(file, text, item):
    keys = [str(key) for key in item["loc"]]
    line = find_line(text, keys)
    found = repr(item["input"])
    return Fault(file, line, ".".join(keys), found, _describe_expectation(item))


def _describe_expectation(item):
    if item["type"] == "unexpected_keyword_argument":
        return "no such key in this table"
    return item["msg"]
