"""The lifecycle of requests: tables of cases, and a state machine that drives it at random."""

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


def sent_summary(play: LedgerHarness) -> list[tuple[str, Why | None]]:
    return [(type(message).__name__, getattr(message, "why", None)) for message in play.sent]


def test_a_request_is_routed_stands_and_is_over() -> None:
    play = LedgerHarness()
    assert kinds(play.ask(5)) == ["NewCall"]
    assert kinds(play.carry(5)) == ["Route"]
    assert play.sent[-1] == Route(5, 0, "s0", "127.0.0.1:7000", "z", 800.0, 800.0)
    assert kinds(play.outcome(5, None)) == ["Stood", "Standing"]
    play.advance(60_000.0)
    assert kinds(play.feed(Over(5, cut=False))) == ["Ended"]
    play.assert_settled()


def test_the_end_of_an_attempt_opens_the_question_anew() -> None:
    play = LedgerHarness()
    play.ask(1)
    play.carry(1)
    assert kinds(play.outcome(1, Ending.FULL)) == ["Ended"]
    play.carry(1, 1, "s1")
    assert kinds(play.outcome(1, Ending.ERROR, 1)) == ["Ended"]
    assert kinds(play.decide(1, None)) == ["Failed"]
    play.assert_settled()


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
def test_what_can_not_be_asked_has_its_final_at_once(
    left: float, name: str, more: dict[str, Any], final: Failed | Refused
) -> None:
    play = LedgerHarness()
    assert play.ask(1, left, name, **more) == [Send(final)]
    play.assert_settled()


@pytest.mark.parametrize(("left", "cutoff"), [(None, 8980.0), (1e12, 8980.0), (3000.0, 2980.0), (50.0, 40.0)])
def test_a_pending_question_is_refused_just_before_the_callers_time_is_over(
    left: float | None, cutoff: float
) -> None:
    play = LedgerHarness()
    play.ask(1, left)
    play.advance(cutoff - 0.5)
    assert not play.sent
    play.advance(0.5)
    assert sent_summary(play) == [("Refused", Why.DEADLINE)] and play.ledger.counts["refused_deadline"] == 1
    assert kinds(play.carry(1)) == ["Ended"], "an order that was on its way still has its end"
    assert play.decide(1, 0.0) == []
    play.assert_settled()


def test_a_verdict_in_the_instant_of_the_deadline_is_the_only_one() -> None:
    play = LedgerHarness()
    play.ask(1, 1000.0)
    play.now += 980.0  # the cut-off is due, but its timer has not been heard yet
    play.decide(1, 50.0)
    play.advance(100.0)
    assert sent_summary(play) == [("Refused", Why.DECIDED)]
    play.assert_settled()


def test_an_attempt_at_the_end_of_the_callers_time_is_withdrawn_and_failed_in_time() -> None:
    play = LedgerHarness()
    play.ask(1, 1000.0)
    play.carry(1, patience=1000.0)
    assert isinstance(play.sent[-1], Route) and play.sent[-1].patience == 940.0
    play.advance(1000.0)
    assert sent_summary(play)[1:] == [("Withdrawn", Why.DEADLINE), ("Failed", Why.DEADLINE)]
    play.assert_settled()


def test_a_front_that_never_reports_is_a_time_out_and_its_late_report_changes_nothing() -> None:
    play = LedgerHarness()
    play.ask(1)
    play.carry(1, patience=500.0)
    play.advance(749.0)
    assert sent_summary(play)[1:] == []
    play.advance(1.0)
    assert sent_summary(play)[1:] == [("Withdrawn", Why.PATIENCE)]
    over = [effect for effect in play.effects if type(effect).__name__ == "Ended"]
    assert [one.ending for one in over] == [Ending.TIMED_OUT]  # type: ignore[union-attr]
    assert kinds(play.outcome(1, Ending.FULL)) == []
    assert kinds(play.outcome(1, None)) == ["Withdrawn"], "what stands too late must be released"
    assert play.ledger.counts["late_reports"] == 2
    play.decide(1, None)
    play.assert_settled()


@pytest.mark.parametrize("ending", [Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED])
def test_a_route_waits_for_the_release_of_the_attempt_before(ending: Ending) -> None:
    play = LedgerHarness()
    play.ask(1)
    play.carry(1)
    play.outcome(1, ending)
    play.advance(50.0)
    assert kinds(play.carry(1, 1, "s1")) == []
    play.advance(149.0)
    assert len(play.sent) == 1
    play.advance(1.0)
    assert isinstance(play.sent[-1], Route) and play.sent[-1].attempt == 1
    play.outcome(1, None, 1)
    play.feed(Over(1, cut=True))
    play.assert_settled()


def test_no_attempt_beyond_the_most_and_none_beside_one_that_is_out() -> None:
    play = LedgerHarness(LifecycleSettings(max_attempts=2))
    play.ask(1)
    play.carry(1)
    assert kinds(play.carry(1, 1)) == ["Ended"]
    play.outcome(1, Ending.FULL)
    play.carry(1, 2)
    play.outcome(1, Ending.FULL, 2)
    assert kinds(play.carry(1, 3)) == ["Ended"]
    play.decide(1, 0.0)
    play.assert_settled()


def cancel_request(play: LedgerHarness) -> None:
    play.in_flight.pop(1, None)  # the front gives up what is out before it says so
    play.feed(Cancel(1))


@pytest.mark.parametrize(
    ("before", "finals"),
    [
        ([lambda p: p.ask(1), cancel_request], ["Cancelled"]),
        ([lambda p: p.ask(1), cancel_request, lambda p: p.carry(1)], ["Cancelled"]),
        ([lambda p: p.ask(1), cancel_request, lambda p: p.decide(1, 0.0)], ["Cancelled"]),
        ([lambda p: p.ask(1), lambda p: p.carry(1), cancel_request], ["Route", "Cancelled"]),
        ([lambda p: p.ask(1), lambda p: p.decide(1, 0.0), cancel_request], ["Refused"]),
        (
            [lambda p: p.ask(1), lambda p: p.carry(1), lambda p: p.outcome(1, None), cancel_request],
            ["Route", "Standing"],
        ),
        ([lambda p: p.ask(1), cancel_request, cancel_request], ["Cancelled"]),
    ],
)
def test_a_cancel_before_with_and_after_the_verdict(
    before: list[Callable[[LedgerHarness], Any]], finals: list[str]
) -> None:
    play = LedgerHarness()
    for step in before:
        step(play)
    assert [name for name, _ in sent_summary(play)] == finals
    play.assert_settled()


@pytest.mark.parametrize(
    "event",
    [Cancel(9), Over(9, cut=False), Outcome(9, 0, None, 1.0), Outcome(1, 3, None, 1.0), Over(1, cut=True)],
)
def test_what_was_never_asked_or_routed_breaks_the_protocol(event: Any) -> None:
    play = LedgerHarness()
    play.ask(1)
    with pytest.raises(FrontError):
        play.feed(event)


def test_a_number_that_comes_again_breaks_the_protocol() -> None:
    play = LedgerHarness()
    play.ask(4)
    with pytest.raises(FrontError, match="numbers must grow"):
        play.ask(4)


def test_a_drain_takes_back_a_route_that_is_not_used() -> None:
    play = LedgerHarness()
    play.ask(1)
    play.ask(2)
    for request in (1, 2):
        play.carry(request)
    play.feed(ListChanged((listed_server("s0", ServerState.DRAINING),)))
    assert play.sent[2:] == [Withdrawn(n, 0, True, Why.DRAINING) for n in (1, 2)]
    assert kinds(play.carry(1, 1)) == ["Ended"], "no route to a server that drains"
    play.outcome(1, Ending.NOT_SENT)
    play.carry(1, 1, "s1")
    play.outcome(2, None)  # it was in use already, and goes on
    assert play.sent[-1] == Standing(2)


@pytest.mark.parametrize(
    "change", [listed_server("s0", ServerState.GONE), listed_server("s0", started=START + 10.0)]
)
def test_a_server_gone_or_started_anew_cuts_what_is_there(change: Any) -> None:
    play = LedgerHarness()
    for request in (1, 2):
        play.ask(request)
        play.carry(request)
    play.outcome(2, None)
    play.advance(20.0)
    play.feed(ListChanged((change,)))
    assert sent_summary(play)[3:] == [("Withdrawn", Why.SERVER_GONE), ("Release", Why.SERVER_GONE)]
    play.decide(1, None)
    play.assert_settled()


def test_a_broken_stream_closes_what_is_pending_and_keeps_what_is_routed() -> None:
    play = LedgerHarness()
    for request in (1, 2, 3):
        play.ask(request)
    play.carry(2)
    play.carry(3)
    play.outcome(3, None)
    play.feed(Stream.BROKEN)
    assert [one.state for one in play.ledger.requests.values()] == [State.ROUTED, State.STANDS]
    play.advance(300.0)
    play.feed(Stream.RESUMED)
    assert play.sent[-1] == Route(2, 0, "s0", "127.0.0.1:7000", "z", 500.0, 500.0)
    play.outcome(2, None)
    for request in (2, 3):
        play.feed(Over(request, cut=False))
    play.assert_settled()


def test_a_front_that_does_not_come_back_loses_its_routes_as_cut_and_its_calls_in_time() -> None:
    play = LedgerHarness()
    for request in (1, 2):
        play.ask(request, None)
        play.carry(request, patience=5000.0)
    play.outcome(2, None)
    play.feed(Stream.BROKEN)
    play.advance(2000.0)
    play.feed(Stream.EXPIRED)
    over = [effect for effect in play.effects if type(effect).__name__ == "Ended"]
    assert [one.ending for one in over] == [Ending.CUT]  # type: ignore[union-attr]
    play.advance(7999.0)
    assert len(play.ledger.requests) == 1
    play.advance(1.0)
    play.assert_settled()


def test_closing_refuses_new_questions_answers_the_open_ones_and_hands_back_what_stands() -> None:
    play = LedgerHarness()
    for request in (1, 2):
        play.ask(request)
    play.carry(1)
    play.outcome(1, None)
    play.feed(Stream.CLOSING)
    play.ask(3)
    play.decide(2, 10.0)
    assert sent_summary(play)[2:] == [("Refused", Why.CLOSING), ("Refused", Why.DECIDED)]
    play.assert_settled()


def test_a_front_of_one_attempt_has_its_final_with_the_outcome() -> None:
    play = LedgerHarness(LifecycleSettings(single_attempt=True))
    for request, ending in ((1, Ending.FULL), (2, Ending.ERROR)):
        play.ask(request)
        play.carry(request)
        assert kinds(play.outcome(request, ending))[:2] == ["CallClosed", "Ended"]
    assert [name for name, _ in sent_summary(play)] == ["Route", "Refused", "Route", "Failed"]
    play.assert_settled()


STATES = [ServerState.OPEN] * 3 + list(ServerState)


class Lifecycle(RuleBasedStateMachine):
    """Any order of anything: ``Play`` checks one final, one attempt out, one end an order, each in time."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = LedgerHarness(
            LifecycleSettings(max_attempts=3), Limits(pending_each=4, open_each=6, rate_each=50.0)
        )
        self.request = 0
        self.broken = False
        self.last_attempt: dict[int, int] = {}  # the last attempt of calls that the module has, by key
        self.decided: set[int] = set()  # keys that the module gave up

    def owed_attempts(self) -> dict[int, int]:
        """Orders of the module whose end it has not heard: attempts by key."""
        return {ref: attempt for (ref, attempt), count in self.harness.owed_ends.items() if count}

    def actionable_keys(self) -> list[int]:
        """Keys that the module may act on: also late on what is closed, as on a real mailbox."""
        busy = self.owed_attempts()
        keys = [key for key in self.harness.requests_by_key if key not in self.decided and key not in busy]
        return [key for key in keys if key not in self.harness.closed or self.last_attempt.get(key, -1) < 1][
            -4:
        ]

    def ask(self, left: float | None, name: str) -> None:
        self.request += 1
        self.harness.ask(self.request, left, name)

    def carry(self, key: int, server: str, patience: float) -> None:
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
        before = len(self.harness.requests_by_key)
        self.ask(left, name)
        if routed and len(self.harness.requests_by_key) > before:
            self.carry(max(self.harness.requests_by_key), "s0", patience)

    @precondition(lambda self: self.free())
    @rule(data=st.data(), server=st.sampled_from(["s0", "s1"]), patience=st.sampled_from([200.0, 4000.0]))
    def orders(self, data: st.DataObject, server: str, patience: float) -> None:
        self.carry(data.draw(st.sampled_from(self.actionable_keys())), server, patience)

    @precondition(lambda self: self.free())
    @rule(data=st.data(), hold_off=st.sampled_from([None, 0.0, 80.0]))
    def decides(self, data: st.DataObject, hold_off: float | None) -> None:
        key = data.draw(st.sampled_from(self.actionable_keys()))
        self.decided.add(key)
        self.harness.decide(self.harness.requests_by_key[key], hold_off)

    @precondition(lambda self: self.play.out and not self.broken)
    @rule(data=st.data(), ending=st.sampled_from([None, *Ending]), late=st.booleans())
    def reports(self, data: st.DataObject, ending: Ending | None, late: bool) -> None:
        request = data.draw(st.sampled_from(sorted(self.harness.in_flight)))
        attempt = self.harness.in_flight[request]
        self.harness.outcome(request, ending, attempt)
        if late:
            self.harness.outcome(request, ending, attempt)

    @precondition(lambda self: self.request and not self.broken)
    @rule(data=st.data())
    def cancels(self, data: st.DataObject) -> None:
        request = data.draw(st.integers(max(1, self.request - 3), self.request))
        self.harness.in_flight.pop(request, None)
        self.harness.feed(Cancel(request))

    @precondition(lambda self: self.owed())
    @rule(data=st.data(), hang_up=st.booleans())
    def takes_back(self, data: st.DataObject, hang_up: bool) -> None:
        ref, attempt = data.draw(st.sampled_from(sorted(self.owed_attempts().items())))
        self.harness.feed(TakeBack(ref, ref, attempt, hang_up))

    @rule(span=st.sampled_from([1.0, 60.0, 210.0, 460.0, 1500.0]))
    def advance(self, span: float) -> None:
        self.harness.advance(span)

    @rule(
        name=st.sampled_from(["s0", "s1"]), state=st.sampled_from([ServerState.OPEN] * 3 + list(ServerState))
    )
    def change(self, name: str, state: ServerState) -> None:
        self.harness.feed(ListChanged((listed_server(name, state),)))

    @rule(breaks=st.sampled_from([True, False, False, False]))
    def stream(self, breaks: bool) -> None:
        if breaks and not self.broken:
            self.harness.feed(Stream.BROKEN)
            self.broken = True
        elif self.broken:
            self.harness.feed(Stream.RESUMED)
            self.broken = False

    def teardown(self) -> None:
        self.harness.feed(Stream.BROKEN)
        self.harness.feed(Stream.EXPIRED)
        self.harness.advance(20_000.0)
        self.harness.assert_settled()


Lifecycle.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestLifecycle = Lifecycle.TestCase
