"""Client side of the gRPC calls between the system's processes."""

from abc import ABC, abstractmethod

import grpc

from peridotspoke.exceptions import PeerError
from peridotspoke.peers import codec, peers_pb2

__all__ = ["GrpcLink", "InFlightSource", "PeerClient", "PeerLink"]

CALL_TIMEOUT_S = 1.0
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_RECONNECT_BACKOFF_MS = 2000
_METHOD_PREFIX = "/peridotspoke.peers.Peers/"
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)
_ANSWER_TYPES = {
    "Exchange": peers_pb2.PeerView,
    "FetchParts": peers_pb2.PartsAnswer,
    "LendSlots": peers_pb2.SlotsAnswer,
    "FetchAnswer": peers_pb2.RememberedAnswer,
    "ReportInFlight": peers_pb2.InFlightAnswer,
}


class PeerLink(ABC):
    """Transport that sends a message to a peer and returns its answer."""

    @abstractmethod
    async def call(self, address, method, message):
        """Send a message and return the answer.

        Parameters
        ----------
        address : str
            IP address and port of the peer.
        method : str
            Name of a method of the gRPC service.
        message : google.protobuf.message.Message

        Returns
        -------
        google.protobuf.message.Message

        Raises
        ------
        PeerError
            If no valid answer came within the timeout, or the peer refused the
            message.
        """

    @abstractmethod
    async def close(self):
        """Close all connections."""


class GrpcLink(PeerLink):
    """Transport over gRPC, with one channel for each peer.

    `bytes_sent` and `bytes_received` count the sizes of the serialized messages.

    Parameters
    ----------
    limit : float, optional
        Timeout of a call in seconds.
    """

    def __init__(self, limit=CALL_TIMEOUT_S):
        self.bytes_sent = 0
        self.bytes_received = 0
        self.calls = 0
        self._limit = limit
        self._channels = {}

    async def call(self, address, method, message):
        """Send a message and return the answer; see `PeerLink.call`."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
        invoke = channel.unary_unary(_METHOD_PREFIX + method)
        data = message.SerializeToString()
        self.calls += 1
        self.bytes_sent += len(data)
        try:
            answer = await invoke(data, timeout=self._limit)
        except grpc.aio.AioRpcError as error:
            reason = f"{error.code().name}: {error.details()}"
            raise PeerError(reason, step=method, peer=address) from error
        except grpc.aio.UsageError as error:
            raise PeerError(
                "the channel is closed", step=method, peer=address
            ) from error
        self.bytes_received += len(answer)
        return _parse_answer(address, method, answer)

    async def forget_except(self, addresses):
        """Close the channels to all peers except `addresses`."""
        for address in self._channels.keys() - set(addresses):
            await self._channels.pop(address).close()

    async def close(self):
        """Close all channels."""
        await self.forget_except(())


def _parse_answer(address, method, data):
    try:
        return _ANSWER_TYPES[method].FromString(data)
    except Exception as error:
        raise PeerError(
            f"answer is not a valid message: {error}", step=method, peer=address
        ) from error


class InFlightSource(ABC):
    """Source of the numbers of requests in flight to leaving instances."""

    @abstractmethod
    async def report_in_flight(self, address, epochs):
        """Return an entry instance's `InFlightReport` for each instance.

        Parameters
        ----------
        address : str
            Address on which the entry instance serves peers.
        epochs : dict of str to int
            For each leaving instance, the epoch of the record that says so.

        Returns
        -------
        dict of str to InFlightReport

        Raises
        ------
        PeerError
            If the entry instance did not answer. Its requests in flight are unknown
            then, not zero.
        """


class PeerClient(InFlightSource):
    """Calls to peers with typed messages.

    Each call raises `PeerError` if the peer does not answer, refuses the message or
    sends an invalid answer.

    Parameters
    ----------
    link : PeerLink
    """

    def __init__(self, link):
        self._link = link

    async def exchange(self, address, view):
        """Send `view` to a peer and return the peer's own `PeerView`."""
        wire = codec.encode_view(view)
        answer = await self._link.call(address, "Exchange", wire)
        return _decode("Exchange", address, codec.decode_view, answer)

    async def fetch_part(self, address, digest):
        """Return the text of the configuration part with the given digest."""
        wire = peers_pb2.PartsRequest(digests=[digest])
        answer = await self._link.call(address, "FetchParts", wire)
        if digest not in answer.parts:
            raise PeerError(
                f"peer does not have configuration part {digest}",
                step="FetchParts",
                peer=address,
            )
        try:
            return answer.parts[digest].decode()
        except UnicodeDecodeError as error:
            raise PeerError(
                f"configuration part {digest} is not valid UTF-8: {error}",
                step="FetchParts",
                peer=address,
            ) from error

    async def lend_slots(self, address, request):
        """Return the keeper's `SlotsAnswer` to a `SlotsRequest`."""
        wire = codec.encode_slots_request(request)
        answer = await self._link.call(address, "LendSlots", wire)
        return _decode("LendSlots", address, codec.decode_slots_answer, answer)

    async def fetch_answer(self, claim, answer_key):
        """Return the `RememberedAnswer` from the process that holds `claim`."""
        wire = peers_pb2.AnswerRequest(
            key=answer_key, holder=claim.entry, incarnation=claim.incarnation
        )
        answer = await self._link.call(claim.address, "FetchAnswer", wire)
        return _decode("FetchAnswer", claim.address, codec.decode_answer, answer)

    async def report_in_flight(self, address, epochs):
        """Return an entry's reports; see `InFlightSource.report_in_flight`."""
        wire = peers_pb2.InFlightRequest(epochs=epochs)
        answer = await self._link.call(address, "ReportInFlight", wire)

        def decode(found):
            return codec.decode_reports(found, epochs)

        return _decode("ReportInFlight", address, decode, answer)

    async def close(self):
        """Close all connections."""
        await self._link.close()


def _decode(method, address, decode, answer):
    try:
        return decode(answer)
    except PeerError as error:
        raise PeerError(error.message, step=method, peer=address) from error
