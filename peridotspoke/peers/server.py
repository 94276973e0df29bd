"""Server side of the gRPC calls between the system's processes."""

from collections.abc import Callable
from dataclasses import dataclass

import grpc

from peridotspoke.exceptions import PeerError
from peridotspoke.identities import split_address
from peridotspoke.logs import log_event
from peridotspoke.peers import codec, peers_pb2, peers_pb2_grpc
from peridotspoke.peers.client import MAX_MESSAGE_BYTES

__all__ = ["PeerHandlers", "PeerServer"]

STOP_GRACE_S = 0.5  # for running calls to finish
MAX_CONCURRENT_CALLS = 256


@dataclass(frozen=True, slots=True)
class PeerHandlers:
    """Handlers of the service's methods; a method without one is refused.

    Parameters
    ----------
    exchange : callable, optional
        Takes the sender's `PeerView` and returns the own one.
    get_part : callable, optional
        Takes the digest of a configuration part and returns its text or None.
    lend_slots : callable, optional
        Takes a `SlotsRequest` and returns a `SlotsAnswer`.
    fetch_answer : callable, optional
        Coroutine function; takes the key of an answer and returns a
        `RememberedAnswer`.
    report_in_flight : callable, optional
        Takes a dict of epochs by instance and returns a dict of `InFlightReport` by
        instance.
    """

    exchange: Callable | None = None
    get_part: Callable | None = None
    lend_slots: Callable | None = None
    fetch_answer: Callable | None = None
    report_in_flight: Callable | None = None


class PeerServer(peers_pb2_grpc.PeersServicer):
    """The gRPC server of one process.

    A message that is invalid, or that a handler refuses with a `PeerError`, is
    answered with the status INVALID_ARGUMENT and the error's message. It changes
    nothing.

    Parameters
    ----------
    name : str
        Name of this process.
    incarnation : int
        Incarnation of this process.
    handlers : PeerHandlers
    """

    def __init__(self, name, incarnation, handlers):
        self.bytes_sent = 0
        self.bytes_received = 0
        self._name = name
        self._incarnation = incarnation
        self._handlers = handlers
        self._server = None

    async def start(self, listen):
        """Start to serve on `listen`.

        Parameters
        ----------
        listen : str
            Host and port; port 0 stands for any free port.

        Returns
        -------
        str
            Host and the port in use.

        Raises
        ------
        PeerError
            If the server can't listen on the port.
        """
        host, port = split_address(listen)
        options = (
            ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
            ("grpc.so_reuseport", 0),
        )
        self._server = grpc.aio.server(
            options=options, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS
        )
        peers_pb2_grpc.add_PeersServicer_to_server(self, self._server)
        try:
            port = self._server.add_insecure_port(f"{host}:{port}")
        except RuntimeError as error:
            raise PeerError(str(error), step="listen for peers", peer=listen) from error
        await self._server.start()
        return f"{host}:{port}"

    async def stop(self):
        """Stop the server; running calls get a short time to finish."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)

    async def Exchange(self, request, context):  # noqa: N802
        """Apply the sender's view and return this process's own."""

        async def answer():
            view = self._get_handler("exchange")(codec.decode_view(request))
            return codec.encode_view(view)

        return await self._answer("Exchange", request, context, answer)

    async def FetchParts(self, request, context):  # noqa: N802
        """Return the requested configuration parts that this process has."""

        async def answer():
            get_part = self._get_handler("get_part")
            found = {digest: get_part(digest) for digest in request.digests}
            return peers_pb2.PartsAnswer(
                parts={key: text.encode() for key, text in found.items() if text}
            )

        return await self._answer("FetchParts", request, context, answer)

    async def LendSlots(self, request, context):  # noqa: N802
        """Answer a borrower's request for slots of executors."""

        async def answer():
            decoded = codec.decode_slots_request(request)
            return codec.encode_slots_answer(self._get_handler("lend_slots")(decoded))

        return await self._answer("LendSlots", request, context, answer)

    async def FetchAnswer(self, request, context):  # noqa: N802
        """Return the remembered answer of a request with an idempotency key."""

        async def answer():
            fetch_answer = self._get_handler("fetch_answer")
            self._check_holder(request)
            found = await fetch_answer(request.key)
            return codec.encode_answer(found)

        return await self._answer("FetchAnswer", request, context, answer)

    async def ReportInFlight(self, request, context):  # noqa: N802
        """Return how many requests are in flight to each of the given instances."""

        async def answer():
            reports = self._get_handler("report_in_flight")(dict(request.epochs))
            return codec.encode_reports(self._name, self._incarnation, reports)

        return await self._answer("ReportInFlight", request, context, answer)

    def _get_handler(self, method):
        handler = getattr(self._handlers, method)
        if handler is None:
            raise PeerError(f"{self._name} does not answer {method}", step=method)
        return handler

    def _check_holder(self, request):
        found = (request.holder, request.incarnation)
        own = (self._name, self._incarnation)
        if found != own:
            raise PeerError(
                f"holder: expected {own}, found {found}", step="FetchAnswer"
            )

    async def _answer(self, method, request, context, answer):
        self.bytes_received += request.ByteSize()
        try:
            reply = await answer()
        except PeerError as error:
            log_event(
                "peer-refused",
                "WARNING",
                step=method,
                peer=context.peer(),
                error=error.message,
            )
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, error.message)
        self.bytes_sent += reply.ByteSize()
        return reply
