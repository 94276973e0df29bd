"""Steps for calls between processes over loopback, to working and faulty peers."""

import ast
import asyncio
import socket

import grpc
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from peridotspoke.exceptions import PeerError
from peridotspoke.peers import (
    GrpcLink,
    InFlightReport,
    MemberRecord,
    PeerClient,
    PeerHandlers,
    PeerServer,
    PeerView,
    codec,
)
from peridotspoke.requests import (
    AnswerState,
    ClaimRecord,
    RememberedAnswer,
    UpstreamAnswer,
)

scenarios("calling.feature")

HEADERS = (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"))
VIEW = PeerView(MemberRecord("e1", "entry", "vlbg-a", "127.0.0.1:9", 1), 0, 0)


@pytest.fixture
def peer(runner):
    """Yield the state shared by the steps; close its server and link at the end."""
    context = {"taken": [], "link": GrpcLink(limit=0.3)}
    yield context

    async def close():
        await context["link"].close()
        if "server" in context:
            await context["server"].stop()

    runner.run(close())


def start(runner, peer, **handlers):
    server = PeerServer("e2", 1, PeerHandlers(**handlers))
    peer["server"] = server
    peer["address"] = runner.run(server.start("127.0.0.1:0"))


@given(
    parsers.parse(
        'a peer with {count:d} requests in flight to "{instance}", '
        "known to leave since epoch {epoch:d}"
    )
)
def start_reporting(runner, peer, count, instance, epoch):
    def report(epochs):
        return {
            name: InFlightReport(count, name == instance and asked <= epoch)
            for name, asked in epochs.items()
        }

    start(runner, peer, report_in_flight=report)


@when(parsers.parse('it is asked about "{instance}" leaving since epoch {epoch:d}'))
def ask_in_flight(runner, peer, instance, epoch):
    client = PeerClient(peer["link"])
    asked = client.report_in_flight(peer["address"], {instance: epoch})
    peer["found"] = runner.run(asked)[instance]


@then(parsers.parse("it reports {count:d} in flight and that it has seen the leaving"))
def check_in_flight(peer, count):
    assert peer["found"] == InFlightReport(count, True)


@given(
    parsers.parse(
        'a peer that remembers status {status:d} and body "{body}" for key "{key}"'
    )
)
def start_remembering(runner, peer, status, body, key):
    async def fetch(asked):
        if asked != key:
            return RememberedAnswer(AnswerState.UNKNOWN)
        found = UpstreamAnswer(status, HEADERS, body.encode())
        return RememberedAnswer(AnswerState.FINISHED, found)

    start(runner, peer, fetch_answer=fetch)


@when(parsers.parse('it is asked for the answer of key "{key}"'))
def ask_answer(runner, peer, key):
    client = PeerClient(peer["link"])
    claim = ClaimRecord("e2", 1, peer["address"])
    peer["found"] = runner.run(client.fetch_answer(claim, key)).answer
    stale = ClaimRecord("e2", 0, peer["address"])
    with pytest.raises(PeerError, match="holder: expected"):
        runner.run(client.fetch_answer(stale, key))


@then(parsers.parse('the answer has status {status:d} and body "{body}"'))
def check_answer(peer, status, body):
    assert peer["found"] == UpstreamAnswer(status, HEADERS, body.encode())


@given(parsers.parse('a peer whose fault is "{fault}"'))
def start_faulty(runner, peer, fault):
    def refuse(view):
        raise PeerError("expected another sender", step="exchange")

    if fault in ("down", "silent"):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        peer["address"] = f"127.0.0.1:{listener.getsockname()[1]}"
        if fault == "silent":
            listener.listen()
            peer["listener"] = listener
        else:
            listener.close()
    elif fault == "refuses":
        start(runner, peer, exchange=refuse)
    elif fault == "without a method":
        start(runner, peer)
    else:
        runner.run(start_raw(peer, fault))


async def start_raw(peer, fault):
    """Serve an answer that is late, malformed or of another protocol version."""

    async def answer(request, context):
        if fault == "slow":
            await asyncio.sleep(1)
        wire = codec.encode_view(VIEW)
        wire.protocol = 2 if fault == "wrong protocol" else 1
        malformed = fault == "malformed bytes"
        return b"\xff\xff\xff" if malformed else wire.SerializeToString()

    server = grpc.aio.server()
    handler = grpc.unary_unary_rpc_method_handler(answer)
    server.add_generic_rpc_handlers(
        [
            grpc.method_handlers_generic_handler(
                "peridotspoke.peers.Peers", {"Exchange": handler}
            )
        ]
    )
    port = server.add_insecure_port("127.0.0.1:0")
    peer["address"] = f"127.0.0.1:{port}"
    await server.start()
    peer["raw"] = server


@when("views are exchanged with it")
def exchange(runner, peer):
    client = PeerClient(peer["link"])
    with pytest.raises(PeerError) as caught:
        runner.run(client.exchange(peer["address"], VIEW))
    peer["error"] = caught.value
    if "raw" in peer:
        runner.run(peer["raw"].stop(None))


@then(parsers.parse('the error names the step, the peer and "{reason}"'))
def check_error(peer, reason):
    error = peer["error"]
    assert (error.step, error.peer) == ("Exchange", peer["address"])
    assert reason in str(error)


@given("a working peer")
def start_working(runner, peer):
    def take(view):
        peer["taken"].append(view)
        return VIEW

    start(runner, peer, exchange=take)


@when(parsers.parse("it is sent a view with {field} set to {value}"))
def send_malformed(runner, peer, field, value):
    wire = codec.encode_view(VIEW)
    setattr(wire, field, ast.literal_eval(value))
    with pytest.raises(PeerError) as caught:
        runner.run(peer["link"].call(peer["address"], "Exchange", wire))
    peer["error"] = caught.value


@then(parsers.parse('it refuses with "{reason}" and has applied nothing'))
def check_refused(peer, reason):
    assert "INVALID_ARGUMENT" in str(peer["error"])
    assert reason in str(peer["error"])
    assert peer["taken"] == []
