"""Decoding of data that others have written, with one error for whatever is wrong."""

import functools

import msgspec

from peridotspoke.exceptions import MalformedDataError

__all__ = ["decode_json", "decode_with"]


def decode_json(data, value_class=object):
    """Decode JSON.

    Parameters
    ----------
    data : bytes or str
    value_class : type, optional
        The type of the result; by default whatever the data holds.

    Returns
    -------
    object
        An instance of `value_class`.

    Raises
    ------
    MalformedDataError
        If the data is not JSON, does not have the form of `value_class`, or is nested
        too deeply to be read.

    Examples
    --------
    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    >>> decode_json(b"[" * 5000)
    Traceback (most recent call last):
        ...
    peridotspoke.exceptions.MalformedDataError: nested too deeply
    """
    return decode_with(_make_decoder(value_class), data)


def decode_with(decoder, data):
    """Decode data with a decoder of msgspec, as `decode_json` does."""
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise MalformedDataError("nested too deeply") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedDataError(str(error)) from error


@functools.cache
def _make_decoder(value_class):
    return msgspec.json.Decoder(value_class)
