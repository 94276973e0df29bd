"""Reads of the command line are repeated while the platform is slow for a moment."""

import random

import pytest

from peridotspoke.exceptions import AnswerLostError, PlatformUnavailableError
from peridotspoke.programs.publish import READ_ATTEMPTS, retry_read


async def wait_briefly(seconds):
    assert 0 < seconds <= 1.0


def make_read(failures):
    errors = list(failures)

    async def read():
        if errors:
            raise errors.pop(0)
        return "version 7"

    return read


@pytest.mark.parametrize("error", [AnswerLostError, PlatformUnavailableError])
async def test_a_read_that_times_out_once_is_repeated(error):
    """A platform that is slow for a second made the whole command fail."""
    read = make_read([error("no answer", step="range")])
    assert await retry_read(read, random.Random(1), wait_briefly) == "version 7"


async def test_a_platform_that_stays_away_is_reported():
    read = make_read([AnswerLostError("no answer", step="range")] * READ_ATTEMPTS)
    with pytest.raises(AnswerLostError):
        await retry_read(read, random.Random(1), wait_briefly)
