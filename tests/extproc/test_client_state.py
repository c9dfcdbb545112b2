"""Client state: each route and final once, even if messages are repeated, cross or are lost."""

from __future__ import annotations

from dataclasses import replace

import pytest

from martentide.client.state import Delivery, Phase, Renumbered, RequestTable
from martentide.extproc.messages import (
    Ask,
    Cancel,
    Failed,
    Outcome,
    Refused,
    Release,
    Route,
    Standing,
    Welcomed,
    Why,
    Withdrawn,
)
from martentide.interface import Ending

NOW = 1000.0
ROUTE = Route(1, 0, "s-1", "127.0.0.1:1", "east", 800.0, 800.0)


def table_with_request() -> RequestTable:
    """Return a request table with one request that has been sent."""
    state = RequestTable()
    state.handle(Welcomed((), ()), NOW)
    assert state.ask("plain", "n", 3000.0, -1, NOW) == 1
    return state


def table_with_route() -> RequestTable:
    """Return a request table whose only request has begun its first attempt."""
    state = table_with_request()
    assert state.handle(ROUTE, NOW) == [Delivery(1, ROUTE)]
    assert state.begin(1)
    return state


def take_sent_messages(state: RequestTable) -> list[object]:
    """Return the messages to send and remove them from the table."""
    messages: list[object] = [message for message, _ in state.to_send]
    state.to_send.clear()
    return messages


def test_a_route_and_its_final_are_passed_on_once() -> None:
    state = table_with_route()
    assert state.handle(ROUTE, NOW) == []
    assert state.report(1, None, 12.0, report="x0:1") == Outcome(1, 0, None, 12.0)
    assert state.to_send[-1] == (Outcome(1, 0, None, 12.0), "x0:1")
    assert state.report(1, None, 12.0) is None, "nothing is reported twice"
    assert state.handle(Standing(1), NOW) == [Delivery(1, Standing(1))]
    assert state.handle(Standing(1), NOW) == [] == state.handle(Failed(1, Why.DECIDED), NOW)
    assert state.counts["doubled"] == 2
    state.over(1, cut=False)
    assert not state.open_requests


def test_a_second_attempt_while_one_is_out_is_not_made() -> None:
    state = table_with_route()
    assert state.handle(replace(ROUTE, attempt=1, server="s-2"), NOW) == []
    assert state.counts["two_out"] == 1


def test_a_cancel_crossing_the_verdict_answers_for_what_still_comes() -> None:
    state = table_with_request()
    state.cancel(1)
    assert take_sent_messages(state)[1:] == [Cancel(1)]
    assert state.handle(ROUTE, NOW) == []
    assert take_sent_messages(state) == [Outcome(1, 0, Ending.NOT_SENT, 0.0)], (
        "the proxy must not wait for an outcome"
    )
    assert state.handle(Refused(1, 0.0, Why.DECIDED), NOW) == [] and state.counts["unwanted"] == 1


def test_a_withdrawal_if_unused_is_for_what_was_not_begun() -> None:
    withdrawal = Withdrawn(1, 0, True, Why.DRAINING)
    state = table_with_request()
    state.handle(ROUTE, NOW)
    take_sent_messages(state)
    assert state.handle(withdrawal, NOW) == [Delivery(1, withdrawal)]
    assert take_sent_messages(state) == [Outcome(1, 0, Ending.NOT_SENT, 0.0)] and not state.begin(1)
    begun = table_with_route()
    assert begun.handle(withdrawal, NOW) == []
    assert begun.report(1, None, 5.0) is not None


def test_a_withdrawal_for_good_ends_the_attempt_and_releases_what_stands() -> None:
    withdrawal = Withdrawn(1, 0, False, Why.PATIENCE)
    state = table_with_route()
    assert state.handle(withdrawal, NOW) == [Delivery(1, withdrawal)]
    assert state.report(1, None, 5.0) is None
    again = replace(ROUTE, attempt=1)
    assert state.handle(again, NOW) == [Delivery(1, again)]
    state.report(1, None, 5.0)
    state.handle(Standing(1), NOW)
    late = Withdrawn(1, 1, False, Why.LATE)
    assert state.handle(late, NOW) == [Delivery(1, Release(1, Why.LATE))]


def test_after_a_break_what_had_no_verdict_is_asked_anew_with_the_time_that_is_left() -> None:
    state = table_with_request()
    state.stream_ended()
    assert state.ask("plain", "m", 100.0, -1, NOW) == 2 and not state.to_send
    results = state.handle(Welcomed((), ()), NOW + 500.0)
    assert results[0] == Renumbered(1, 3)
    assert results[1] == Delivery(2, Refused(2, 0.0, Why.DEADLINE))
    assert take_sent_messages(state) == [Ask(3, "plain", "n", 2500.0, -1, NOW + 500.0)]


@pytest.mark.parametrize(
    ("ending", "welcome", "expected", "sent_messages"),
    [
        (None, Welcomed((), (1,)), [Delivery(1, Standing(1))], []),  # received; its final was lost
        (None, Welcomed((1,), ()), [], []),  # not received: reported again on the repeated route
        (
            None,
            Welcomed((), ()),
            [Delivery(1, Standing(1))],
            [],
        ),  # the call stands, though the proxy does not count it
        (Ending.ERROR, Welcomed((), ()), [Delivery(1, Failed(1, Why.LATE))], []),
        (Ending.FULL, Welcomed((), ()), [Delivery(1, Refused(1, 0.0, Why.LATE))], []),
        (Ending.FULL, Welcomed((1, 9), ()), [], [Cancel(9)]),  # 9 is unknown to the client
    ],
)
def test_after_a_break_an_outcome_that_was_said_is_settled_by_what_the_proxy_holds(
    ending: Ending | None, welcome: Welcomed, expected: list[Delivery], sent_messages: list[object]
) -> None:
    state = table_with_route()
    outcome = state.report(1, ending, 5.0)
    state.stream_ended()
    assert state.handle(welcome, NOW) == expected
    assert take_sent_messages(state) == sent_messages
    if 1 in welcome.routed:
        assert state.handle(ROUTE, NOW) == [] and take_sent_messages(state) == [outcome]


def test_an_attempt_that_the_proxy_gave_up_meanwhile_is_given_up_here() -> None:
    state = table_with_route()
    state.stream_ended()
    results = state.handle(Welcomed((), ()), NOW)
    assert results == [
        Delivery(1, Withdrawn(1, 0, False, Why.LATE)),
        Delivery(1, Failed(1, Why.LATE)),
    ]


def test_calls_that_stand_outlive_a_lost_session() -> None:
    state = table_with_route()
    state.report(1, None, 5.0)
    state.handle(Standing(1), NOW)
    assert state.open_requests[1].phase is Phase.STANDS
    state.stream_ended()
    assert state.handle(Welcomed((), ()), NOW) == [] and state.counts["uncounted"] == 1
