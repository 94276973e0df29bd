"""Fetches remembered answers of keyed requests from other entry instances."""

from peridotspoke.requests import AnswerDirectory

__all__ = ["PeerAnswerDirectory"]


class PeerAnswerDirectory(AnswerDirectory):
    """Answer directory that asks the holder of a claim over gRPC.

    Parameters
    ----------
    client : PeerClient
    """

    def __init__(self, client):
        self._client = client

    async def fetch_answer(self, claim, answer_key):
        """Return the `RememberedAnswer` from the entry instance that `claim` names."""
        return await self._client.fetch_answer(claim, answer_key)
