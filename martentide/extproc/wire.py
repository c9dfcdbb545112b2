"""Conversion between the frames of ``martentide.decisions.v1`` and the types of ``messages``; no I/O."""

from __future__ import annotations

import math

from martentide.codec import CodecError
from martentide.codec.figures import read_report
from martentide.decisions.v1 import decisions_pb2 as pb
from martentide.extproc.messages import (
    Ask,
    Cancel,
    Cancelled,
    Failed,
    FromFront,
    Outcome,
    Over,
    Refused,
    Release,
    Route,
    Standing,
    ToFront,
    Welcomed,
    Why,
    Withdrawn,
)
from martentide.interface import Ending, Report, ServerEntry, ServerState

MAX_TRANSIT_MS = 10_000.0
MAX_TEXT_CHARS = 256  # of a class, number or report
ENDINGS: dict[int, Ending | None] = {
    pb.STANDS: None,
    pb.FULL: Ending.FULL,
    pb.ERROR: Ending.ERROR,
    pb.TIMED_OUT: Ending.TIMED_OUT,
    pb.UNREACHABLE: Ending.UNREACHABLE,
    pb.CUT: Ending.CUT,
    pb.CANCELLED: Ending.CANCELLED,
    pb.NOT_SENT: Ending.NOT_SENT,
}
ENDING_NUMBERS = {ending: pb.Ending.Name(number) for number, ending in ENDINGS.items()}
STATES = {ServerState.OPEN: "OPEN", ServerState.DRAINING: "DRAINING", ServerState.GONE: "GONE"}


def decode_front_message(message: pb.FrontMessage, at: float) -> FromFront:
    """Decode a message of a front other than Hello; raises CodecError for any other kind.

    ``at``: Unix time in ms at which the message was received.
    """
    kind = message.WhichOneof("kind")
    if kind == "ask":
        ask = message.ask
        return Ask(
            request=ask.request,
            call_class=_bounded_text(ask.call_class, "class"),
            number=_bounded_text(ask.number, "number") or None,
            time_left=float(ask.time_left_ms) if ask.HasField("time_left_ms") else None,
            first_choice=ask.first_choice if ask.HasField("first_choice") else -1,
            at=_sent_at(ask, at),
            received_at=at,
        )
    if kind == "outcome":
        outcome = message.outcome
        if outcome.ending not in ENDINGS:
            raise CodecError(f"outcome of request {outcome.request}: unknown ending {outcome.ending}")
        return Outcome(
            request=outcome.request,
            attempt=outcome.attempt,
            ending=ENDINGS[outcome.ending],
            lag=float(outcome.lag_ms),
            lines_full=outcome.lines_full,
            report=report_or_none(outcome.report),
        )
    if kind == "cancel":
        return Cancel(message.cancel.request)
    if kind == "over":
        return Over(message.over.request, message.over.cut, report_or_none(message.over.report))
    raise CodecError(f"unexpected message of kind {kind}")


def _sent_at(ask: pb.Ask, received_at: float) -> float:
    """Time at which the question was sent, or of receipt if the front's clock is too far off to be used."""
    if ask.HasField("sent_unix_ms") and 0.0 <= received_at - ask.sent_unix_ms <= MAX_TRANSIT_MS:
        return float(ask.sent_unix_ms)
    return received_at


def _bounded_text(text: str, what: str) -> str:
    if len(text) > MAX_TEXT_CHARS:
        raise CodecError(f"{what} too long: {len(text)} characters")
    return text


def report_or_none(text: str) -> Report | None:
    """Parse a server's load report; an unreadable one is ignored, and the rest of the message stays valid."""
    if not text or len(text) > MAX_TEXT_CHARS:
        return None
    try:
        return read_report(text)
    except CodecError:
        return None


def encode_front_message(message: FromFront, report: str = "", sent: float | None = None) -> pb.FrontMessage:
    """Encode a message of a front.

    ``report``: the server's load report, unparsed; ``sent``: Unix time in ms at which a question is sent.
    """
    match message:
        case Ask():
            ask = pb.Ask(request=message.request, call_class=message.call_class, number=message.number or "")
            if message.time_left is not None:
                ask.time_left_ms = int(message.time_left)
            if sent is not None:
                ask.sent_unix_ms = int(sent)
            if message.first_choice >= 0:
                ask.first_choice = message.first_choice
            return pb.FrontMessage(ask=ask)
        case Outcome():
            return pb.FrontMessage(
                outcome=pb.Outcome(
                    request=message.request,
                    attempt=message.attempt,
                    ending=ENDING_NUMBERS[message.ending],
                    lag_ms=max(0, round(message.lag)),
                    lines_full=message.lines_full,
                    report=report,
                )
            )
        case Cancel():
            return pb.FrontMessage(cancel=pb.Cancel(request=message.request))
        case Over():
            return pb.FrontMessage(over=pb.Over(request=message.request, cut=message.cut, report=report))


def encode_proxy_message(message: ToFront) -> pb.ProxyMessage:
    """Encode a message to a front; raises TypeError for Welcomed, which needs the session's token."""
    match message:
        case Route():
            return pb.ProxyMessage(
                route=pb.Route(
                    request=message.request,
                    attempt=message.attempt,
                    server=message.server,
                    address=message.address,
                    zone=message.zone,
                    patience_ms=int(message.patience),
                    valid_for_ms=int(message.valid_for),
                    held=message.held,
                    waited_us=int(message.waited * 1000.0),
                )
            )
        case Refused():
            return pb.ProxyMessage(
                refused=pb.Refused(
                    request=message.request,
                    retry_after_ms=math.ceil(message.retry_after),
                    why=message.why.value,
                    held=message.held,
                    waited_us=int(message.waited * 1000.0),
                )
            )
        case Failed():
            return pb.ProxyMessage(
                failed=pb.Failed(
                    request=message.request,
                    why=message.why.value,
                    held=message.held,
                    waited_us=int(message.waited * 1000.0),
                )
            )
        case Cancelled():
            return pb.ProxyMessage(cancelled=pb.Cancelled(request=message.request))
        case Standing():
            return pb.ProxyMessage(stands=pb.Stands(request=message.request))
        case Withdrawn():
            return pb.ProxyMessage(
                withdrawn=pb.Withdrawn(
                    request=message.request,
                    attempt=message.attempt,
                    if_unused=message.if_unused,
                    why=message.why.value,
                )
            )
        case Welcomed():
            raise TypeError("a welcome needs the session's token and is encoded by the session")
        case Release():
            return pb.ProxyMessage(release=pb.Release(request=message.request, why=message.why.value))


def decode_proxy_message(message: pb.ProxyMessage) -> ToFront | None:
    """Decode a message to a front; None for a server change, a go-away and unknown kinds."""
    kind = message.WhichOneof("kind")
    if kind == "route":
        route = message.route
        return Route(
            route.request,
            route.attempt,
            route.server,
            route.address,
            route.zone,
            float(route.patience_ms),
            float(route.valid_for_ms),
            route.held,
            route.waited_us / 1000.0,
        )
    if kind == "refused":
        refused = message.refused
        retry_after = float(refused.retry_after_ms)
        waited = refused.waited_us / 1000.0
        return Refused(refused.request, retry_after, _reason(refused.why), refused.held, waited)
    if kind == "failed":
        failed = message.failed
        return Failed(failed.request, _reason(failed.why), failed.held, failed.waited_us / 1000.0)
    if kind == "cancelled":
        return Cancelled(message.cancelled.request)
    if kind == "stands":
        return Standing(message.stands.request)
    if kind == "withdrawn":
        withdrawn = message.withdrawn
        return Withdrawn(withdrawn.request, withdrawn.attempt, withdrawn.if_unused, _reason(withdrawn.why))
    if kind == "release":
        return Release(message.release.request, _reason(message.release.why))
    if kind == "welcome":
        return Welcomed(tuple(message.welcome.routed), tuple(message.welcome.standing))
    return None


def _reason(text: str) -> Why:
    """Decode a reason code; an unknown one, as of a newer proxy, is treated as DECIDED."""
    try:
        return Why(text)
    except ValueError:
        return Why.DECIDED


def encode_server_change(entry: ServerEntry, address: str) -> pb.ProxyMessage:
    """Encode an entry of the server list."""
    change = pb.ServerChange(server=entry.name, address=address, zone=entry.zone, state=STATES[entry.state])
    return pb.ProxyMessage(server=change)
