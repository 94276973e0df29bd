"""Reads and checks declaration files."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from pydantic import TypeAdapter, ValidationError

from peridotspoke.declarations.schema import DeploymentDeclaration, ServiceDeclaration
from peridotspoke.exceptions import DeclarationError

__all__ = ["Fault", "parse_declaration", "read_declarations"]

_ADAPTERS = {
    "service": TypeAdapter(ServiceDeclaration),
    "deployment": TypeAdapter(DeploymentDeclaration),
}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a file: where it is, what was found, what was expected."""

    file: str
    line: int
    key: str
    found: str
    expected: str

    def __str__(self):
        """Return the fault as one line."""
        place = f"{self.file}:{self.line}"
        return f"{place}: {self.key}: found {self.found}, expected {self.expected}"


def read_declarations(directory):
    """Return the text of each declaration below `directory` by its name.

    Raises
    ------
    DeclarationError
        If any file is invalid; the message names each fault on a line.
    """
    paths = sorted(Path(directory).rglob("*.toml"))
    if not paths:
        raise DeclarationError(
            "expected at least one .toml file, found none", peer=str(directory)
        )
    faults = []
    texts = {}
    for path in paths:
        text = path.read_text(encoding="utf-8")
        found = _check_text(str(path), text)
        if isinstance(found, list):
            faults += found
            continue
        name = _name_declaration(found)
        if name in texts:
            faults.append(Fault(str(path), 1, "service", name, "a name used once"))
        texts[name] = text
    if faults:
        raise DeclarationError(
            "\n".join(str(fault) for fault in faults), step="check declarations"
        )
    return texts


def parse_declaration(name, text):
    """Return the declaration in `text`; `name` stands for the file in errors.

    Raises
    ------
    DeclarationError
        If the text is invalid.
    """
    found = _check_text(name, text)
    if isinstance(found, list):
        raise DeclarationError("\n".join(str(fault) for fault in found), peer=name)
    return found


def _name_declaration(declaration):
    if isinstance(declaration, ServiceDeclaration):
        return f"service/{declaration.service}"
    return "deployment"


def _check_text(file, text):
    """Return the declaration, or a list of faults."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = _find_line_in_message(str(error))
        return [Fault(file, line, "syntax", str(error), "TOML")]
    kind = next((kind for kind in _ADAPTERS if kind in data), None)
    if kind is None:
        return [Fault(file, 1, "service", "nothing", "the key service or deployment")]
    try:
        return _ADAPTERS[kind].validate_python(data)
    except ValidationError as error:
        return [_describe_fault(file, text, item) for item in error.errors()]


def _find_line_in_message(message):
    _, _, rest = message.partition("line ")
    digits = rest.split(",")[0]
    return int(digits) if digits.isdigit() else 1


def _describe_fault(file, text, item):
    keys = [str(key) for key in item["loc"]]
    line = _find_line(text, keys)
    found = repr(item["input"])
    return Fault(file, line, ".".join(keys), found, _describe_expectation(item))


def _describe_expectation(item):
    if item["type"] == "unexpected_keyword_argument":
        return "no such key here"
    return item["msg"]


def _find_line(text, keys):
    """Return the line of the last key of the path that the text names."""
    section = ""
    best = 1
    wanted_section = ".".join(keys[:-1])
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("["):
            section = stripped.strip("[]").strip()
            if section == wanted_section or section == ".".join(keys):
                best = number
        elif section == wanted_section and stripped.split("=")[0].strip() == keys[-1]:
            return number
    return best
