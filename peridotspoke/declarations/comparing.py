"""Key-by-key comparison of declarations."""

import tomllib
from dataclasses import dataclass

__all__ = ["KeyChange", "compare_texts"]

ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A key whose value differs between two versions of a declaration.

    Parameters
    ----------
    declaration : str
        The declaration's name, such as ``service/lustenau``.
    key : str
        Dotted path of the key.
    before, after : str
        ``repr`` of the value; ``absent`` where the key is missing.
    """

    declaration: str
    key: str
    before: str
    after: str


def compare_texts(before, after):
    r"""Return the changes of keys from `before` to `after`.

    Parameters
    ----------
    before, after : dict of str to str
        The text of each declaration, TOML, by its name.

    Returns
    -------
    tuple of KeyChange
        In the order of declaration and key.

    Raises
    ------
    tomllib.TOMLDecodeError
        If a text is not valid TOML.

    Examples
    --------
    >>> old = {"service/lustenau": 'service = "lustenau"'}
    >>> new = {"service/lustenau": 'service = "lustenau"\n[need]\ninstances = 5'}
    >>> [(item.key, item.before, item.after) for item in compare_texts(old, new)]
    [('need.instances', 'absent', '5')]
    """
    changes = []
    for name in sorted(before.keys() | after.keys()):
        old, new = (_list_keys(texts.get(name, "")) for texts in (before, after))
        changes += [
            KeyChange(name, key, old.get(key, ABSENT), new.get(key, ABSENT))
            for key in sorted(old.keys() | new.keys())
            if old.get(key) != new.get(key)
        ]
    return tuple(changes)


def _list_keys(text):
    return dict(_flatten("", tomllib.loads(text)))


def _flatten(prefix, table):
    for key, value in table.items():
        if isinstance(value, dict):
            yield from _flatten(f"{prefix}{key}.", value)
        else:
            yield prefix + key, repr(value)
