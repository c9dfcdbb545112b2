"""Lifecycle of requests: cases, and a state machine test with random event orders."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from martentide.extproc.ledger import (
    Carry,
    FrontError,
    LifecycleSettings,
    ListChanged,
    Send,
    State,
    Stream,
    TakeBack,
)
from martentide.extproc.limits import Limits
from martentide.extproc.messages import (
    Cancel,
    Failed,
    Outcome,
    Over,
    Refused,
    Route,
    Standing,
    Why,
    Withdrawn,
)
from martentide.interface import Ending, ServerState
from tests.extproc.support import START, LedgerHarness, kinds, listed_server


def sent_summary(harness: LedgerHarness) -> list[tuple[str, Why | None]]:
    """Return the name and reason of each message sent."""
    return [(type(message).__name__, getattr(message, "why", None)) for message in harness.sent]


def test_a_request_is_routed_stands_and_is_over() -> None:
    harness = LedgerHarness()
    assert kinds(harness.ask(5)) == ["NewCall"]
    assert kinds(harness.carry(5)) == ["Route"]
    assert harness.sent[-1] == Route(5, 0, "s0", "127.0.0.1:7000", "z", 800.0, 800.0)
    assert kinds(harness.outcome(5, None)) == ["Stood", "Standing"]
    harness.advance(60_000.0)
    assert kinds(harness.feed(Over(5, cut=False))) == ["Ended"]
    harness.assert_settled()


def test_request_is_pending_again_after_a_failed_attempt() -> None:
    harness = LedgerHarness()
    harness.ask(1)
    harness.carry(1)
    assert kinds(harness.outcome(1, Ending.FULL)) == ["Ended"]
    harness.carry(1, 1, "s1")
    assert kinds(harness.outcome(1, Ending.ERROR, 1)) == ["Ended"]
    assert kinds(harness.decide(1, None)) == ["Failed"]
    harness.assert_settled()


@pytest.mark.parametrize(
    ("left", "name", "more", "final"),
    [
        (3000.0, "nobody", {}, Failed(1, Why.UNKNOWN_CLASS)),
        (-1.0, "plain", {}, Failed(1, Why.BAD_REQUEST)),
        (float("nan"), "plain", {}, Failed(1, Why.BAD_REQUEST)),
        (float("inf"), "plain", {}, Failed(1, Why.BAD_REQUEST)),
        (3000.0, "plain", {"first_choice": -7}, Failed(1, Why.BAD_REQUEST)),
        (0.0, "plain", {}, Refused(1, 0.0, Why.DEADLINE)),
        (300.0, "plain", {"at": START - 300.0}, Refused(1, 0.0, Why.DEADLINE)),
    ],
)
def test_invalid_or_expired_question_gets_its_final_at_once(
    left: float, name: str, more: dict[str, Any], final: Failed | Refused
) -> None:
    harness = LedgerHarness()
    assert harness.ask(1, left, name, **more) == [Send(final)]
    harness.assert_settled()


@pytest.mark.parametrize(("left", "cutoff"), [(None, 8980.0), (1e12, 8980.0), (3000.0, 2980.0), (50.0, 40.0)])
def test_pending_question_is_refused_just_before_the_callers_deadline(
    left: float | None, cutoff: float
) -> None:
    harness = LedgerHarness()
    harness.ask(1, left)
    harness.advance(cutoff - 0.5)
    assert not harness.sent
    harness.advance(0.5)
    assert (
        sent_summary(harness) == [("Refused", Why.DEADLINE)]
        and harness.ledger.counts["refused_deadline"] == 1
    )
    assert kinds(harness.carry(1)) == ["Ended"], "an order in transit still has its end"
    assert harness.decide(1, 0.0) == []
    harness.assert_settled()


def test_verdict_at_the_cutoff_is_the_only_final() -> None:
    harness = LedgerHarness()
    harness.ask(1, 1000.0)
    harness.now += 980.0  # the cutoff is due, but its timer event has not arrived yet
    harness.decide(1, 50.0)
    harness.advance(100.0)
    assert sent_summary(harness) == [("Refused", Why.DECIDED)]
    harness.assert_settled()


def test_attempt_in_flight_at_the_cutoff_is_withdrawn_and_failed_in_time() -> None:
    harness = LedgerHarness()
    harness.ask(1, 1000.0)
    harness.carry(1, patience=1000.0)
    assert isinstance(harness.sent[-1], Route) and harness.sent[-1].patience == 940.0
    harness.advance(1000.0)
    assert sent_summary(harness)[1:] == [("Withdrawn", Why.DEADLINE), ("Failed", Why.DEADLINE)]
    harness.assert_settled()


def test_unreported_attempt_times_out_and_a_late_report_changes_nothing() -> None:
    harness = LedgerHarness()
    harness.ask(1)
    harness.carry(1, patience=500.0)
    harness.advance(749.0)
    assert sent_summary(harness)[1:] == []
    harness.advance(1.0)
    assert sent_summary(harness)[1:] == [("Withdrawn", Why.PATIENCE)]
    ended = [effect for effect in harness.effects if type(effect).__name__ == "Ended"]
    assert [effect.ending for effect in ended] == [Ending.TIMED_OUT]  # type: ignore[union-attr]
    assert kinds(harness.outcome(1, Ending.FULL)) == []
    assert kinds(harness.outcome(1, None)) == ["Withdrawn"], "a call that stands too late must be released"
    assert harness.ledger.counts["late_reports"] == 2
    harness.decide(1, None)
    harness.assert_settled()


@pytest.mark.parametrize("ending", [Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED])
def test_next_route_is_sent_after_the_release_wait(ending: Ending) -> None:
    harness = LedgerHarness()
    harness.ask(1)
    harness.carry(1)
    harness.outcome(1, ending)
    harness.advance(50.0)
    assert kinds(harness.carry(1, 1, "s1")) == []
    harness.advance(149.0)
    assert len(harness.sent) == 1
    harness.advance(1.0)
    assert isinstance(harness.sent[-1], Route) and harness.sent[-1].attempt == 1
    harness.outcome(1, None, 1)
    harness.feed(Over(1, cut=True))
    harness.assert_settled()


def test_attempts_are_limited_in_number_and_never_concurrent() -> None:
    harness = LedgerHarness(LifecycleSettings(max_attempts=2))
    harness.ask(1)
    harness.carry(1)
    assert kinds(harness.carry(1, 1)) == ["Ended"]
    harness.outcome(1, Ending.FULL)
    harness.carry(1, 2)
    harness.outcome(1, Ending.FULL, 2)
    assert kinds(harness.carry(1, 3)) == ["Ended"]
    harness.decide(1, 0.0)
    harness.assert_settled()


def cancel_request(harness: LedgerHarness) -> None:
    """Cancel request 1 as a front does."""
    harness.in_flight.pop(1, None)  # the front gives up the attempt before it reports the cancel
    harness.feed(Cancel(1))


@pytest.mark.parametrize(
    ("before", "finals"),
    [
        ([lambda h: h.ask(1), cancel_request], ["Cancelled"]),
        ([lambda h: h.ask(1), cancel_request, lambda h: h.carry(1)], ["Cancelled"]),
        ([lambda h: h.ask(1), cancel_request, lambda h: h.decide(1, 0.0)], ["Cancelled"]),
        ([lambda h: h.ask(1), lambda h: h.carry(1), cancel_request], ["Route", "Cancelled"]),
        ([lambda h: h.ask(1), lambda h: h.decide(1, 0.0), cancel_request], ["Refused"]),
        (
            [lambda h: h.ask(1), lambda h: h.carry(1), lambda h: h.outcome(1, None), cancel_request],
            ["Route", "Standing"],
        ),
        ([lambda h: h.ask(1), cancel_request, cancel_request], ["Cancelled"]),
    ],
)
def test_cancel_before_or_after_the_verdict_leaves_one_final(
    before: list[Callable[[LedgerHarness], Any]], finals: list[str]
) -> None:
    harness = LedgerHarness()
    for step in before:
        step(harness)
    assert [name for name, _ in sent_summary(harness)] == finals
    harness.assert_settled()


@pytest.mark.parametrize(
    "event",
    [Cancel(9), Over(9, cut=False), Outcome(9, 0, None, 1.0), Outcome(1, 3, None, 1.0), Over(1, cut=True)],
)
def test_message_on_a_request_never_asked_or_routed_is_a_protocol_error(event: Any) -> None:
    harness = LedgerHarness()
    harness.ask(1)
    with pytest.raises(FrontError):
        harness.feed(event)


def test_repeated_request_number_is_a_protocol_error() -> None:
    harness = LedgerHarness()
    harness.ask(4)
    with pytest.raises(FrontError, match="numbers must grow"):
        harness.ask(4)


def test_drain_withdraws_routes_if_unused() -> None:
    harness = LedgerHarness()
    harness.ask(1)
    harness.ask(2)
    for request in (1, 2):
        harness.carry(request)
    harness.feed(ListChanged((listed_server("s0", ServerState.DRAINING),)))
    assert harness.sent[2:] == [Withdrawn(n, 0, True, Why.DRAINING) for n in (1, 2)]
    assert kinds(harness.carry(1, 1)) == ["Ended"], "no route to a server that drains"
    harness.outcome(1, Ending.NOT_SENT)
    harness.carry(1, 1, "s1")
    harness.outcome(2, None)  # the route was already in use and continues
    assert harness.sent[-1] == Standing(2)


@pytest.mark.parametrize(
    "change", [listed_server("s0", ServerState.GONE), listed_server("s0", started=START + 10.0)]
)
def test_removed_or_restarted_server_cuts_its_attempts_and_standing_calls(change: Any) -> None:
    harness = LedgerHarness()
    for request in (1, 2):
        harness.ask(request)
        harness.carry(request)
    harness.outcome(2, None)
    harness.advance(20.0)
    harness.feed(ListChanged((change,)))
    assert sent_summary(harness)[3:] == [("Withdrawn", Why.SERVER_GONE), ("Release", Why.SERVER_GONE)]
    harness.decide(1, None)
    harness.assert_settled()


def test_broken_stream_closes_pending_requests_and_keeps_routed_and_standing_ones() -> None:
    harness = LedgerHarness()
    for request in (1, 2, 3):
        harness.ask(request)
    harness.carry(2)
    harness.carry(3)
    harness.outcome(3, None)
    harness.feed(Stream.BROKEN)
    assert [request.state for request in harness.ledger.requests.values()] == [State.ROUTED, State.STANDS]
    harness.advance(300.0)
    harness.feed(Stream.RESUMED)
    assert harness.sent[-1] == Route(2, 0, "s0", "127.0.0.1:7000", "z", 500.0, 500.0)
    harness.outcome(2, None)
    for request in (2, 3):
        harness.feed(Over(request, cut=False))
    harness.assert_settled()


def test_expired_session_cuts_its_routes_at_once_and_its_standing_calls_later() -> None:
    harness = LedgerHarness()
    for request in (1, 2):
        harness.ask(request, None)
        harness.carry(request, patience=5000.0)
    harness.outcome(2, None)
    harness.feed(Stream.BROKEN)
    harness.advance(2000.0)
    harness.feed(Stream.EXPIRED)
    ended = [effect for effect in harness.effects if type(effect).__name__ == "Ended"]
    assert [effect.ending for effect in ended] == [Ending.CUT]  # type: ignore[union-attr]
    harness.advance(7999.0)
    assert len(harness.ledger.requests) == 1
    harness.advance(1.0)
    harness.assert_settled()


def test_closing_refuses_new_questions_decides_open_ones_and_stops_tracking_standing_calls() -> None:
    harness = LedgerHarness()
    for request in (1, 2):
        harness.ask(request)
    harness.carry(1)
    harness.outcome(1, None)
    harness.feed(Stream.CLOSING)
    harness.ask(3)
    harness.decide(2, 10.0)
    assert sent_summary(harness)[2:] == [("Refused", Why.CLOSING), ("Refused", Why.DECIDED)]
    harness.assert_settled()


def test_single_attempt_front_gets_its_final_with_the_outcome() -> None:
    harness = LedgerHarness(LifecycleSettings(single_attempt=True))
    for request, ending in ((1, Ending.FULL), (2, Ending.ERROR)):
        harness.ask(request)
        harness.carry(request)
        assert kinds(harness.outcome(request, ending))[:2] == ["CallClosed", "Ended"]
    assert [name for name, _ in sent_summary(harness)] == ["Route", "Refused", "Route", "Failed"]
    harness.assert_settled()


STATES = [ServerState.OPEN] * 3 + list(ServerState)


class Lifecycle(RuleBasedStateMachine):
    """Random event orders: ``LedgerHarness`` checks one final, one attempt in flight, one end per order."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = LedgerHarness(
            LifecycleSettings(max_attempts=3), Limits(pending_each=4, open_each=6, rate_each=50.0)
        )
        self.request = 0
        self.broken = False
        self.last_attempt: dict[int, int] = {}  # of the module's calls, by key
        self.decided: set[int] = set()  # keys that the module has decided

    def owed_attempts(self) -> dict[int, int]:
        """Attempts by key whose end the module has not received."""
        return {ref: attempt for (ref, attempt), count in self.harness.owed_ends.items() if count}

    def actionable_keys(self) -> list[int]:
        """Keys that the module may act on, including closed ones, as events are delayed in a real mailbox."""
        busy = self.owed_attempts()
        keys = [key for key in self.harness.requests_by_key if key not in self.decided and key not in busy]
        return [key for key in keys if key not in self.harness.closed or self.last_attempt.get(key, -1) < 1][
            -4:
        ]

    def ask(self, left: float | None, name: str) -> None:
        """Deliver a new request."""
        self.request += 1
        self.harness.ask(self.request, left, name)

    def carry(self, key: int, server: str, patience: float) -> None:
        """Deliver the decisions' order to send the next attempt."""
        self.last_attempt[key] = attempt = self.last_attempt.get(key, -1) + 1
        self.harness.feed(Carry(key, key, attempt, server, patience))

    @precondition(lambda self: not self.broken)
    @rule(
        left=st.sampled_from([None, 30.0, 400.0, 3000.0, 3000.0, -1.0]),
        name=st.sampled_from(["plain", "urgent", "x"]),
        routed=st.booleans(),
        patience=st.sampled_from([1.0, 200.0, 4000.0]),
    )
    def asks(self, left: float | None, name: str, routed: bool, patience: float) -> None:
        """A front sends a request; if ``routed``, the decisions order its first attempt at once."""
        before = len(self.harness.requests_by_key)
        self.ask(left, name)
        if routed and len(self.harness.requests_by_key) > before:
            self.carry(max(self.harness.requests_by_key), "s0", patience)

    @precondition(lambda self: self.actionable_keys())
    @rule(data=st.data(), server=st.sampled_from(["s0", "s1"]), patience=st.sampled_from([200.0, 4000.0]))
    def orders(self, data: st.DataObject, server: str, patience: float) -> None:
        """The decisions order an attempt."""
        self.carry(data.draw(st.sampled_from(self.actionable_keys())), server, patience)

    @precondition(lambda self: self.actionable_keys())
    @rule(data=st.data(), hold_off=st.sampled_from([None, 0.0, 80.0]))
    def decides(self, data: st.DataObject, hold_off: float | None) -> None:
        """The decisions give a final answer."""
        key = data.draw(st.sampled_from(self.actionable_keys()))
        self.decided.add(key)
        self.harness.decide(self.harness.requests_by_key[key], hold_off)

    @precondition(lambda self: self.harness.in_flight and not self.broken)
    @rule(data=st.data(), ending=st.sampled_from([None, *Ending]), late=st.booleans())
    def reports(self, data: st.DataObject, ending: Ending | None, late: bool) -> None:
        """The front reports the outcome of an attempt, twice if ``late``."""
        request = data.draw(st.sampled_from(sorted(self.harness.in_flight)))
        attempt = self.harness.in_flight[request]
        self.harness.outcome(request, ending, attempt)
        if late:
            self.harness.outcome(request, ending, attempt)

    @precondition(lambda self: self.request and not self.broken)
    @rule(data=st.data())
    def cancels(self, data: st.DataObject) -> None:
        """The front cancels a request."""
        request = data.draw(st.integers(max(1, self.request - 3), self.request))
        self.harness.in_flight.pop(request, None)
        self.harness.feed(Cancel(request))

    @precondition(lambda self: self.owed_attempts())
    @rule(data=st.data(), hang_up=st.booleans())
    def takes_back(self, data: st.DataObject, hang_up: bool) -> None:
        """The decisions withdraw an attempt."""
        ref, attempt = data.draw(st.sampled_from(sorted(self.owed_attempts().items())))
        self.harness.feed(TakeBack(ref, ref, attempt, hang_up))

    @rule(span=st.sampled_from([1.0, 60.0, 210.0, 460.0, 1500.0]))
    def advance(self, span: float) -> None:
        """Time passes."""
        self.harness.advance(span)

    @rule(
        name=st.sampled_from(["s0", "s1"]), state=st.sampled_from([ServerState.OPEN] * 3 + list(ServerState))
    )
    def change(self, name: str, state: ServerState) -> None:
        """The state of a listed server changes."""
        self.harness.feed(ListChanged((listed_server(name, state),)))

    @rule(breaks=st.sampled_from([True, False, False, False]))
    def stream(self, breaks: bool) -> None:
        """The stream breaks, or a broken one is resumed."""
        if breaks and not self.broken:
            self.harness.feed(Stream.BROKEN)
            self.broken = True
        elif self.broken:
            self.harness.feed(Stream.RESUMED)
            self.broken = False

    def teardown(self) -> None:
        """End the session; nothing may stay open."""
        self.harness.feed(Stream.BROKEN)
        self.harness.feed(Stream.EXPIRED)
        self.harness.advance(20_000.0)
        self.harness.assert_settled()


Lifecycle.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestLifecycle = Lifecycle.TestCase
