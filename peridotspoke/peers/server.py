"""Answers other processes of the system over gRPC."""

from collections.abc import Callable
from dataclasses import dataclass

import grpc

from peridotspoke.exceptions import PeerError
from peridotspoke.identities import split_address
from peridotspoke.logs import log_event
from peridotspoke.peers import codec, peers_pb2, peers_pb2_grpc
from peridotspoke.peers.client import MAX_MESSAGE

__all__ = ["PeerHandlers", "PeerServer"]

STOP_GRACE = 0.5  # seconds
MAX_CONCURRENT = 256  # calls


@dataclass(frozen=True, slots=True)
class PeerHandlers:
    """What answers each method; a method without a handler is refused.

    Parameters
    ----------
    exchange : callable, optional
        From a `PeerView` to the own `PeerView`.
    get_part : callable, optional
        From a digest to the part's text or None.
    lend_slots : callable, optional
        From a `SlotsRequest` to a `SlotsAnswer`.
    fetch_answer : callable, optional
        Coroutine function from an answer's key to a `RememberedAnswer`.
    report_in_flight : callable, optional
        From epochs by instance to `InFlightReport` by instance.
    """

    exchange: Callable | None = None
    get_part: Callable | None = None
    lend_slots: Callable | None = None
    fetch_answer: Callable | None = None
    report_in_flight: Callable | None = None


class PeerServer(peers_pb2_grpc.PeersServicer):
    """The gRPC server of one process.

    A message that is not as expected, or that a handler refuses with a `PeerError`,
    is answered with INVALID_ARGUMENT and what was expected; it changes nothing.

    Parameters
    ----------
    name : str
    incarnation : int
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
        """Serve on `listen` and return the address with the port taken.

        Raises
        ------
        PeerError
            If the port can't be had.
        """
        host, port = split_address(listen)
        options = (
            ("grpc.max_receive_message_length", MAX_MESSAGE),
            ("grpc.so_reuseport", 0),
        )
        self._server = grpc.aio.server(
            options=options, maximum_concurrent_rpcs=MAX_CONCURRENT
        )
        peers_pb2_grpc.add_PeersServicer_to_server(self, self._server)
        try:
            port = self._server.add_insecure_port(f"{host}:{port}")
        except RuntimeError as error:
            raise PeerError(str(error), step="listen for peers", peer=listen) from error
        await self._server.start()
        return f"{host}:{port}"

    async def stop(self):
        """Finish the calls that run and close."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE)

    async def Exchange(self, request, context):  # noqa: N802
        """Tell what this process knows in exchange for what the sender knows."""

        async def answer():
            view = self._get("exchange")(codec.decode_view(request))
            return codec.encode_view(view)

        return await self._answer("Exchange", request, context, answer)

    async def FetchParts(self, request, context):  # noqa: N802
        """Return those parts of the configuration that this process has."""

        async def answer():
            get_part = self._get("get_part")
            found = {digest: get_part(digest) for digest in request.digests}
            return peers_pb2.PartsAnswer(
                parts={key: text.encode() for key, text in found.items() if text}
            )

        return await self._answer("FetchParts", request, context, answer)

    async def LendSlots(self, request, context):  # noqa: N802
        """Lend slots of executors."""

        async def answer():
            wishes = codec.decode_slots_request(request)
            return codec.encode_slots_answer(self._get("lend_slots")(wishes))

        return await self._answer("LendSlots", request, context, answer)

    async def FetchAnswer(self, request, context):  # noqa: N802
        """Return the remembered answer of a keyed request."""

        async def answer():
            fetch_answer = self._get("fetch_answer")
            self._check_holder(request)
            found = await fetch_answer(request.key)
            return codec.encode_answer(found)

        return await self._answer("FetchAnswer", request, context, answer)

    async def ReportInFlight(self, request, context):  # noqa: N802
        """Tell how many requests are in flight to each of the instances."""

        async def answer():
            reports = self._get("report_in_flight")(dict(request.epochs))
            return codec.encode_reports(self._name, self._incarnation, reports)

        return await self._answer("ReportInFlight", request, context, answer)

    def _get(self, method):
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
