"""Imports point in one direction, as docs/DESIGN.md says."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "peridotspoke"
ROOT_MODULES = {path.stem for path in PACKAGE.glob("*.py")}
ALLOWED = {
    "workloads": {"workloads", "exceptions"},
    "store": {"store", *ROOT_MODULES},
    "nodes": {"nodes", "workloads", "store", *ROOT_MODULES},
    "platform": {"platform", "nodes", "workloads", "store", *ROOT_MODULES},
}


def list_imported(folder):
    """Return the parts of the package that a folder's modules import, tests aside."""
    imported = set()
    for path in (PACKAGE / folder).glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = []
            if isinstance(node, ast.ImportFrom) and node.module:
                names = [node.module]
            elif isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            imported |= {
                name.split(".")[1] for name in names if name.startswith("peridotspoke.")
            }
    return imported


@pytest.mark.parametrize("folder", sorted(ALLOWED))
def test_a_folder_imports_only_what_lies_below_it(folder):
    assert list_imported(folder) <= ALLOWED[folder]
