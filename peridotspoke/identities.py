"""Operation identifiers and network addresses."""

import uuid

__all__ = ["make_operation_id", "split_address"]

from peridotspoke.exceptions import SettingsError

MAX_PORT = 65535


def make_operation_id(random):
    """Return a random identifier, a version 4 UUID of 32 hexadecimal digits.

    Parameters
    ----------
    random : random.Random

    Examples
    --------
    >>> import random
    >>> make_operation_id(random.Random(1))
    'cd613e30d8f14adf91b7584a2265b1f5'
    """
    return uuid.UUID(int=random.getrandbits(128), version=4).hex


def split_address(address):
    """Split an address such as ``127.0.0.1:80`` into its host and its port.

    Parameters
    ----------
    address : str

    Returns
    -------
    tuple of (str, int)

    Raises
    ------
    SettingsError
        If the host is empty, or the port is missing, not a number or above 65535.

    Examples
    --------
    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise SettingsError(
            f"expected an address such as 127.0.0.1:80, found {address!r}",
            step="read address",
        )
    return host, int(port)
