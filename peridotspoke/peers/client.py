"""Calls other processes of the system over gRPC."""

from abc import ABC, abstractmethod

import grpc

from peridotspoke.exceptions import PeerError
from peridotspoke.peers import codec, peers_pb2

__all__ = ["GrpcLink", "InFlightSource", "PeerClient", "PeerLink"]

CALL_LIMIT = 1.0  # seconds
MAX_MESSAGE = 4 * 1024 * 1024  # bytes
RECONNECT_LIMIT = 2000  # milliseconds
_PACKAGE = "/peridotspoke.peers.Peers/"
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_LIMIT),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)
_ANSWERS = {
    "Exchange": peers_pb2.PeerView,
    "FetchParts": peers_pb2.PartsAnswer,
    "LendSlots": peers_pb2.SlotsAnswer,
    "FetchAnswer": peers_pb2.RememberedAnswer,
    "ReportInFlight": peers_pb2.InFlightAnswer,
}


class PeerLink(ABC):
    """Carries one message to a peer and its answer back."""

    @abstractmethod
    async def call(self, address, method, message):
        """Return the answer's wire form.

        Parameters
        ----------
        address : str
            IP number and port of the peer.
        method : str
            The name of a method of the gRPC service.
        message : google.protobuf.message.Message

        Raises
        ------
        PeerError
            If no answer came within the limit, or the peer refused the message.
        """

    @abstractmethod
    async def close(self):
        """Release the connections."""


class GrpcLink(PeerLink):
    """Calls over gRPC, one channel for each peer.

    `bytes_sent` and `bytes_received` count the messages' bodies.

    Parameters
    ----------
    limit : float, optional
        Limit of one call in seconds.
    """

    def __init__(self, limit=CALL_LIMIT):
        self.bytes_sent = 0
        self.bytes_received = 0
        self.calls = 0
        self._limit = limit
        self._channels = {}

    async def call(self, address, method, message):
        """Return the answer's wire form."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
        invoke = channel.unary_unary(_PACKAGE + method)
        data = message.SerializeToString()
        self.calls += 1
        self.bytes_sent += len(data)
        try:
            answer = await invoke(data, timeout=self._limit)
        except grpc.aio.AioRpcError as error:
            reason = f"{error.code().name}: {error.details()}"
            raise PeerError(reason, step=method, peer=address) from error
        except grpc.aio.UsageError as error:
            raise PeerError("the link is closed", step=method, peer=address) from error
        self.bytes_received += len(answer)
        return _parse_answer(address, method, answer)

    async def forget_except(self, addresses):
        """Close the channels to all but `addresses`."""
        for address in self._channels.keys() - set(addresses):
            await self._channels.pop(address).close()

    async def close(self):
        """Close all channels."""
        await self.forget_except(())


def _parse_answer(address, method, data):
    try:
        return _ANSWERS[method].FromString(data)
    except Exception as error:
        raise PeerError(
            f"expected a message of the protocol: {error}", step=method, peer=address
        ) from error


class InFlightSource(ABC):
    """Tells how many requests are in flight to instances that leave."""

    @abstractmethod
    async def report_in_flight(self, address, epochs):
        """Return `InFlightReport` by instance from the entry at `address`.

        Parameters
        ----------
        address : str
            The entry's address for peers.
        epochs : dict of str to int
            The epoch of the record by which each instance leaves.

        Raises
        ------
        PeerError
            If the entry did not answer; nothing is known of its requests then.
        """


class PeerClient(InFlightSource):
    """The calls to peers, with typed messages.

    Parameters
    ----------
    link : PeerLink
    """

    def __init__(self, link):
        self._link = link

    async def exchange(self, address, view):
        """Return the peer's `PeerView` in exchange for `view`."""
        wire = codec.encode_view(view)
        answer = await self._link.call(address, "Exchange", wire)
        return _decode("Exchange", address, codec.decode_view, answer)

    async def fetch_part(self, address, digest):
        """Return the text of the configuration's part named by `digest`."""
        wire = peers_pb2.PartsRequest(digests=[digest])
        answer = await self._link.call(address, "FetchParts", wire)
        if digest not in answer.parts:
            raise PeerError(
                f"expected part {digest}, found none", step="FetchParts", peer=address
            )
        try:
            return answer.parts[digest].decode()
        except UnicodeDecodeError as error:
            raise PeerError(
                f"part {digest}: {error}", step="FetchParts", peer=address
            ) from error

    async def lend_slots(self, address, request):
        """Return the keeper's `SlotsAnswer` to a `SlotsRequest`."""
        wire = codec.encode_slots_request(request)
        answer = await self._link.call(address, "LendSlots", wire)
        return _decode("LendSlots", address, codec.decode_slots_answer, answer)

    async def fetch_answer(self, claim, answer_key):
        """Return the `RememberedAnswer` of the process that holds `claim`."""
        wire = peers_pb2.AnswerRequest(
            key=answer_key, holder=claim.entry, incarnation=claim.incarnation
        )
        answer = await self._link.call(claim.address, "FetchAnswer", wire)
        return _decode("FetchAnswer", claim.address, codec.decode_answer, answer)

    async def report_in_flight(self, address, epochs):
        """Return `InFlightReport` by instance from the entry at `address`."""
        wire = peers_pb2.InFlightRequest(epochs=epochs)
        answer = await self._link.call(address, "ReportInFlight", wire)

        def decode(found):
            return codec.decode_reports(found, epochs)

        return _decode("ReportInFlight", address, decode, answer)

    async def close(self):
        """Release the connections."""
        await self._link.close()


def _decode(method, address, decode, answer):
    try:
        return decode(answer)
    except PeerError as error:
        raise PeerError(error.message, step=method, peer=address) from error
