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
    table = RequestTable()
    table.handle(Welcomed((), ()), NOW)
    assert table.ask("plain", "n", 3000.0, -1, NOW) == 1
    return table


def table_with_route() -> RequestTable:
    """Return a request table whose only request has begun its first attempt."""
    table = table_with_request()
    assert table.handle(ROUTE, NOW) == [Delivery(1, ROUTE)]
    assert table.begin(1)
    return table


def take_sent_messages(table: RequestTable) -> list[object]:
    """Return the messages to send and remove them from the table."""
    messages: list[object] = [message for message, _ in table.to_send]
    table.to_send.clear()
    return messages


def test_route_and_final_are_delivered_once() -> None:
    table = table_with_route()
    assert table.handle(ROUTE, NOW) == []
    assert table.report(1, None, 12.0, report="x0:1") == Outcome(1, 0, None, 12.0)
    assert table.to_send[-1] == (Outcome(1, 0, None, 12.0), "x0:1")
    assert table.report(1, None, 12.0) is None, "nothing is reported twice"
    assert table.handle(Standing(1), NOW) == [Delivery(1, Standing(1))]
    assert table.handle(Standing(1), NOW) == [] == table.handle(Failed(1, Why.DECIDED), NOW)
    assert table.counts["doubled"] == 2
    table.over(1, cut=False)
    assert not table.open_requests


def test_second_attempt_while_one_is_in_flight_is_not_delivered() -> None:
    table = table_with_route()
    assert table.handle(replace(ROUTE, attempt=1, server="s-2"), NOW) == []
    assert table.counts["two_out"] == 1


def test_messages_that_cross_a_cancel_are_not_delivered_and_a_route_is_reported_unsent() -> None:
    table = table_with_request()
    table.cancel(1)
    assert take_sent_messages(table)[1:] == [Cancel(1)]
    assert table.handle(ROUTE, NOW) == []
    assert take_sent_messages(table) == [Outcome(1, 0, Ending.NOT_SENT, 0.0)], (
        "the proxy must not wait for an outcome"
    )
    assert table.handle(Refused(1, 0.0, Why.DECIDED), NOW) == [] and table.counts["unwanted"] == 1


def test_withdrawal_if_unused_ends_only_an_attempt_that_has_not_begun() -> None:
    withdrawal = Withdrawn(1, 0, True, Why.DRAINING)
    table = table_with_request()
    table.handle(ROUTE, NOW)
    take_sent_messages(table)
    assert table.handle(withdrawal, NOW) == [Delivery(1, withdrawal)]
    assert take_sent_messages(table) == [Outcome(1, 0, Ending.NOT_SENT, 0.0)] and not table.begin(1)
    begun = table_with_route()
    assert begun.handle(withdrawal, NOW) == []
    assert begun.report(1, None, 5.0) is not None


def test_unconditional_withdrawal_ends_the_attempt_or_releases_the_standing_call() -> None:
    withdrawal = Withdrawn(1, 0, False, Why.PATIENCE)
    table = table_with_route()
    assert table.handle(withdrawal, NOW) == [Delivery(1, withdrawal)]
    assert table.report(1, None, 5.0) is None
    second_route = replace(ROUTE, attempt=1)
    assert table.handle(second_route, NOW) == [Delivery(1, second_route)]
    table.report(1, None, 5.0)
    table.handle(Standing(1), NOW)
    late_withdrawal = Withdrawn(1, 1, False, Why.LATE)
    assert table.handle(late_withdrawal, NOW) == [Delivery(1, Release(1, Why.LATE))]


def test_question_without_a_verdict_is_asked_again_after_a_break_with_the_time_left() -> None:
    table = table_with_request()
    table.stream_ended()
    assert table.ask("plain", "m", 100.0, -1, NOW) == 2 and not table.to_send
    results = table.handle(Welcomed((), ()), NOW + 500.0)
    assert results[0] == Renumbered(1, 3)
    assert results[1] == Delivery(2, Refused(2, 0.0, Why.DEADLINE))
    assert take_sent_messages(table) == [Ask(3, "plain", "n", 2500.0, -1, NOW + 500.0)]


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
def test_reported_outcome_is_settled_after_a_break_by_the_welcome(
    ending: Ending | None, welcome: Welcomed, expected: list[Delivery], sent_messages: list[object]
) -> None:
    table = table_with_route()
    outcome = table.report(1, ending, 5.0)
    table.stream_ended()
    assert table.handle(welcome, NOW) == expected
    assert take_sent_messages(table) == sent_messages
    if 1 in welcome.routed:
        assert table.handle(ROUTE, NOW) == [] and take_sent_messages(table) == [outcome]


def test_begun_attempt_unknown_to_the_proxy_after_a_break_is_withdrawn_and_failed() -> None:
    table = table_with_route()
    table.stream_ended()
    results = table.handle(Welcomed((), ()), NOW)
    assert results == [
        Delivery(1, Withdrawn(1, 0, False, Why.LATE)),
        Delivery(1, Failed(1, Why.LATE)),
    ]


def test_standing_calls_survive_a_lost_session() -> None:
    table = table_with_route()
    table.report(1, None, 5.0)
    table.handle(Standing(1), NOW)
    assert table.open_requests[1].phase is Phase.STANDS
    table.stream_ended()
    assert table.handle(Welcomed((), ()), NOW) == [] and table.counts["uncounted"] == 1
