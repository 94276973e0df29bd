"""Converts messages to and from their protobuf form and validates each field.

Each decoding function raises `PeerError` if a field is invalid.
"""

import math
import re

import msgspec

from peridotspoke.declarations import ConfigurationHead
from peridotspoke.decoding import decode_json
from peridotspoke.exceptions import MalformedDataError, PeerError
from peridotspoke.peers import peers_pb2
from peridotspoke.peers.messages import (
    PROTOCOL_VERSION,
    InFlightReport,
    LeavingNews,
    PeerView,
    SlotLoan,
    SlotsAnswer,
    SlotsRequest,
    SlotWish,
)
from peridotspoke.peers.records import MemberRecord
from peridotspoke.requests import AnswerState, RememberedAnswer, UpstreamAnswer

__all__ = [
    "decode_answer",
    "decode_reports",
    "decode_slots_answer",
    "decode_slots_request",
    "decode_view",
    "encode_answer",
    "encode_reports",
    "encode_slots_answer",
    "encode_slots_request",
    "encode_view",
]

NO_VIEW_AGE = -1.0  # sent as view_age if the sender has no confirmed view
_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")
_ROLES = ("entry", "control")
_STATES = (
    AnswerState.UNKNOWN,
    AnswerState.RUNNING,
    AnswerState.FINISHED,
    AnswerState.NOT_RUN,
)


def encode_view(view):
    """Convert a `PeerView` to protobuf."""
    sender = view.sender
    return peers_pb2.PeerView(
        sender=sender.name,
        zone=sender.zone,
        address=sender.address,
        role=sender.role,
        configuration_version=sender.version,
        incarnation=sender.incarnation,
        stopping=sender.stopping,
        configuration_head=msgspec.json.encode(view.head) if view.head else b"",
        leaving=[
            peers_pb2.Leaving(
                instance=news.instance,
                epoch=news.epoch,
                returned=news.returned,
                age=news.age,
                pool=news.pool,
            )
            for news in view.leaving
        ],
        load=view.load,
        protocol=view.protocol,
        leaving_digest=view.leaving_digest,
        members_digest=view.members_digest,
        members=[_encode_member(member) for member in view.members],
        view_age=NO_VIEW_AGE if view.view_age is None else view.view_age,
    )


def _encode_member(member):
    return peers_pb2.Member(
        name=member.name,
        role=member.role,
        zone=member.zone,
        address=member.address,
        incarnation=member.incarnation,
        stopping=member.stopping,
    )


def decode_view(wire):
    """Convert a `PeerView` from protobuf.

    Raises
    ------
    PeerError
        If the protocol version differs or a field is invalid.
    """
    _expect(
        wire.protocol == PROTOCOL_VERSION, "protocol", PROTOCOL_VERSION, wire.protocol
    )
    sender = _decode_member(
        wire.sender, wire, wire.incarnation, wire.configuration_version
    )
    _expect(sender.version >= 0, "configuration_version", "0 or more", sender.version)
    _expect_seconds("load", wire.load)
    age = None if wire.view_age < 0 else wire.view_age
    _expect_seconds("view_age", age or 0.0)
    return PeerView(
        sender=sender,
        leaving_digest=wire.leaving_digest,
        members_digest=wire.members_digest,
        leaving=tuple(_decode_news(news) for news in wire.leaving),
        members=tuple(
            _decode_member(member.name, member, member.incarnation)
            for member in wire.members
        ),
        head=_decode_head(wire.configuration_head),
        view_age=age,
        load=wire.load,
    )


def _decode_member(name, wire, incarnation, version=0):
    _expect(bool(name), "name", "a name", name)
    _expect(bool(wire.zone), "zone", "a zone", wire.zone)
    _expect(wire.role in _ROLES, "role", " or ".join(_ROLES), wire.role)
    _expect(_ADDRESS.fullmatch(wire.address), "address", "IP number:port", wire.address)
    return MemberRecord(
        name=name,
        role=wire.role,
        zone=wire.zone,
        address=wire.address,
        incarnation=incarnation,
        version=version,
        stopping=wire.stopping,
    )


def _decode_news(wire):
    _expect(bool(wire.instance), "instance", "a name", wire.instance)
    _expect(wire.epoch >= 0, "epoch", "0 or more", wire.epoch)
    _expect_seconds("age", wire.age)
    _expect(bool(wire.pool) or not wire.returned, "pool", "a name", wire.pool)
    return LeavingNews(wire.instance, wire.epoch, wire.returned, wire.pool, wire.age)


def _decode_head(data):
    if not data:
        return None
    try:
        return decode_json(data, ConfigurationHead)
    except MalformedDataError as error:
        raise PeerError(f"configuration_head: {error}", step="read message") from error


def encode_reports(sender, incarnation, reports):
    """Convert a dict of `InFlightReport` by instance to protobuf.

    Parameters
    ----------
    sender : str
        Name of the reporting process.
    incarnation : int
        Incarnation of the reporting process.
    reports : dict of str to InFlightReport
    """
    answer = peers_pb2.InFlightAnswer(sender=sender, incarnation=incarnation)
    for instance, report in reports.items():
        answer.reports[instance].in_flight = report.in_flight
        answer.reports[instance].seen = report.seen
    return answer


def decode_reports(wire, instances):
    """Convert a dict of `InFlightReport` by instance from protobuf.

    Raises
    ------
    PeerError
        If there is no report for one of `instances`, or a count is negative.
    """
    missing = sorted(set(instances) - set(wire.reports))
    _expect(not missing, "reports", "one for each instance", f"none for {missing}")
    reports = {}
    for instance in instances:
        report = wire.reports[instance]
        _expect(report.in_flight >= 0, "in_flight", "0 or more", report.in_flight)
        reports[instance] = InFlightReport(report.in_flight, report.seen)
    return reports


def encode_answer(remembered):
    """Convert a `RememberedAnswer` to protobuf."""
    wire = peers_pb2.RememberedAnswer(
        state=_STATES.index(remembered.state),
        fingerprint=remembered.fingerprint,
        operation=remembered.operation,
        unused=sorted(remembered.unused),
    )
    answer = remembered.answer
    if answer is not None:
        wire.status = answer.status
        wire.body = answer.body
        for name, value in answer.headers:
            wire.headers.add(name=name, value=value)
    return wire


def decode_answer(wire):
    """Convert a `RememberedAnswer` from protobuf."""
    _expect(wire.state < len(_STATES), "state", _STATES, wire.state)
    state = _STATES[wire.state]
    answer = None
    if state is AnswerState.FINISHED:
        _expect(200 <= wire.status <= 599, "status", "200 to 599", wire.status)
        headers = tuple((header.name, header.value) for header in wire.headers)
        answer = UpstreamAnswer(wire.status, headers, wire.body)
    return RememberedAnswer(
        state, answer, wire.fingerprint, wire.operation, frozenset(wire.unused)
    )


def encode_slots_request(request):
    """Convert a `SlotsRequest` to protobuf."""
    return peers_pb2.SlotsRequest(
        borrower=request.borrower,
        borrower_incarnation=request.incarnation,
        zone=request.zone,
        wishes=[
            peers_pb2.SlotWish(
                executor=wish.executor,
                held=wish.held,
                wanted=wish.wanted,
                kept=wish.kept,
            )
            for wish in request.wishes
        ],
        epoch=request.epoch,
        keeper_time=request.keeper_time,
        promises=request.promises,
        sequence=request.sequence,
    )


def decode_slots_request(wire):
    """Convert a `SlotsRequest` from protobuf."""
    _expect(bool(wire.borrower), "borrower", "a name", wire.borrower)
    _expect(bool(wire.zone), "zone", "a zone", wire.zone)
    _expect_seconds("keeper_time", wire.keeper_time)
    wishes = []
    for wish in wire.wishes:
        _expect(bool(wish.executor), "executor", "a name", wish.executor)
        _expect(wish.held >= 0, "held", "0 or more", wish.held)
        _expect(wish.wanted >= 0, "wanted", "0 or more", wish.wanted)
        _expect(wish.kept >= wish.held, "kept", "held or more", wish.kept)
        wishes.append(SlotWish(wish.executor, wish.held, wish.wanted, wish.kept))
    names = {wish.executor for wish in wishes}
    _expect(len(names) == len(wishes), "wishes", "each executor once", len(wishes))
    return SlotsRequest(
        borrower=wire.borrower,
        incarnation=wire.borrower_incarnation,
        zone=wire.zone,
        wishes=tuple(wishes),
        epoch=wire.epoch,
        keeper_time=wire.keeper_time,
        promises=wire.promises,
        sequence=wire.sequence,
    )


def encode_slots_answer(answer):
    """Convert a `SlotsAnswer` to protobuf."""
    return peers_pb2.SlotsAnswer(
        keeper=answer.keeper,
        epoch=answer.epoch,
        keeper_time=answer.keeper_time,
        seconds=answer.seconds,
        loans=[
            peers_pb2.SlotLoan(
                executor=loan.executor, lent=loan.lent, recalled=loan.recalled
            )
            for loan in answer.loans
        ],
    )


def decode_slots_answer(wire):
    """Convert a `SlotsAnswer` from protobuf."""
    _expect(bool(wire.keeper), "keeper", "a name", wire.keeper)
    _expect_seconds("keeper_time", wire.keeper_time)
    _expect_seconds("seconds", wire.seconds)
    for loan in wire.loans:
        _expect(bool(loan.executor), "executor", "a name", loan.executor)
        _expect(loan.lent >= 0, "lent", "0 or more", loan.lent)
    loans = tuple(
        SlotLoan(item.executor, item.lent, item.recalled) for item in wire.loans
    )
    return SlotsAnswer(wire.keeper, wire.epoch, wire.keeper_time, wire.seconds, loans)


def _expect_seconds(field, value):
    _expect(math.isfinite(value) and value >= 0, field, "0 or more", value)


def _expect(condition, field, expected, found):
    if not condition:
        raise PeerError(
            f"{field}: expected {expected}, found {found!r}", step="read message"
        )
