"""The dispatcher with a scripted caller, a scripted server and a real or failing Controller.

No sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from martentide.attempt_messages import Ended, InputProcessed, Order, Presence, Stood, Withdraw
from martentide.codec.discovery import Listed, Notice
from martentide.interface import Action, CancelAttempt, Ending, Event, SetTimer, SetUpOffered, Stands
from martentide.net.dispatcher import ApplySettings, Dispatcher, GiveUp, Offer, Probing, ReleaseIn
from martentide.rules import Controller
from martentide.settings import settings_from
from tests.net.support import SETTINGS
from tests.support import entry

CALL = bytes(7) + b"\1"
FUTURE = 1e15


class RecordingPeer:
    """A caller and a server in one: records what the dispatcher sends to it."""

    def __init__(self) -> None:
        self.notifications: list[tuple[Any, ...]] = []
        self.items: list[Order | Withdraw | InputProcessed | Probing | Listed | ApplySettings] = []

    def answer(self, call: bytes, description: bytes) -> None:
        """Record an answer."""
        self.notifications.append(("answer", call, description))

    def refuse(self, call: bytes, hold_off: float) -> None:
        """Record a refusal."""
        self.notifications.append(("refuse", call))

    def fail(self, call: bytes) -> None:
        """Record a failure."""
        self.notifications.append(("fail", call))

    def release(self, call: bytes, cut: bool) -> None:
        """Record a release."""
        self.notifications.append(("release", call, cut))

    def post(self, item: Order | Withdraw | InputProcessed | Probing | Listed | ApplySettings) -> None:
        """Record an item for the server."""
        self.items.append(item)


class FailingController(Controller):
    """Fails on every offer after requesting its next timer."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Raise RuntimeError on an offer, with a timer among the actions."""
        super().handle(now, event)
        if isinstance(event, SetUpOffered):
            self.actions = [SetTimer(1, 0.0)]
            raise RuntimeError("error in the decisions")
        return self.actions


def offer(peer: RecordingPeer, call: bytes = CALL, left: float = 3000.0) -> Offer:
    """Return a caller's set-up with ``left`` ms."""
    return Offer(peer, call, b"voice", b"7f3a", b"desc", left, 0, FUTURE)


def run_script(
    script: Callable[[Dispatcher, RecordingPeer], None], controller_type: type[Controller] = Controller
) -> tuple[Dispatcher, RecordingPeer]:
    """Run a script that posts items, and let the dispatcher handle all of them."""

    async def run() -> tuple[Dispatcher, RecordingPeer]:
        peer = RecordingPeer()
        dispatcher = Dispatcher(
            controller_type(settings_from(SETTINGS), 1), lambda listed, dispatcher: peer, 10
        )
        dispatcher.now = FUTURE  # ahead of the wall clock; the time of the decisions must not run backwards
        dispatcher.apply_list(Notice(1, True, (Listed(entry("s-1", 0), "127.0.0.1", 1),)))
        script(dispatcher, peer)
        task = asyncio.create_task(dispatcher.run())
        while not dispatcher.mailbox.empty():
            await asyncio.sleep(0)
        task.cancel()
        return dispatcher, peer

    return asyncio.run(run())


def stood(attempt: int = 0) -> Stood:
    """Return a server's answer to the first call."""
    return Stood(1, attempt, "s-1", 20.0, b"good")


def ended(ending: Ending, attempt: int = 0) -> Ended:
    """Return the end of an attempt of the first call."""
    return Ended(1, attempt, "s-1", ending, False, 20.0, None)


def test_an_error_in_the_decisions_fails_the_call_and_keeps_their_timers() -> None:
    """After an error in the decisions the call must be answered and their requested timer must still run."""
    handled_events: list[Event] = []

    class RecordingController(FailingController):
        def handle(self, now: float, event: Event) -> list[Action]:
            handled_events.append(event)
            return super().handle(now, event)

    async def run() -> RecordingPeer:
        peer = RecordingPeer()
        dispatcher = Dispatcher(
            RecordingController(settings_from(SETTINGS), 1), lambda listed, dispatcher: peer, 10
        )
        dispatcher.post(offer(peer))
        task = asyncio.create_task(dispatcher.run())
        while len(handled_events) < 2:  # the offer, then the timer that was requested before the error
            await asyncio.sleep(0.001)
        task.cancel()
        assert not dispatcher.calls and not dispatcher.by_id and dispatcher.open_calls == 0
        return peer

    assert asyncio.run(asyncio.wait_for(run(), 15)).notifications == [("fail", CALL)]


def test_an_answer_crossing_the_callers_give_up_reaches_nobody() -> None:
    def script(dispatcher: Dispatcher, peer: RecordingPeer) -> None:
        for item in (offer(peer), GiveUp(CALL, peer), stood(), ended(Ending.CANCELLED)):
            dispatcher.post(item)

    dispatcher, peer = run_script(script)
    assert peer.notifications == []
    assert peer.items[-1] == Withdraw(1, 0, CALL, hang_up=True)
    assert not dispatcher.calls and dispatcher.open_calls == 0


def test_each_call_gets_one_answer_whatever_comes_after() -> None:
    def script(dispatcher: Dispatcher, peer: RecordingPeer) -> None:
        items = (offer(peer), stood(), stood(), offer(peer), ended(Ending.DELIVERED), ended(Ending.CUT))
        for item in (*items, offer(peer)):
            dispatcher.post(item)

    dispatcher, peer = run_script(script)
    assert peer.notifications == [("answer", CALL, b"good"), ("release", CALL, False), ("refuse", CALL)]
    assert not dispatcher.calls


def test_id_of_another_callers_call_is_refused_while_open_and_accepted_later() -> None:
    """A caller that uses an id of another caller's call must not be left without a response."""
    other = RecordingPeer()

    def script(dispatcher: Dispatcher, peer: RecordingPeer) -> None:
        for item in (offer(peer), offer(other), stood(), ended(Ending.DELIVERED), offer(other)):
            dispatcher.post(item)
        dispatcher.post(Stood(2, 0, "s-1", 20.0, b"good"))

    assert run_script(script)[1].notifications == [("answer", CALL, b"good"), ("release", CALL, False)]
    assert other.notifications == [("refuse", CALL), ("answer", CALL, b"good")]


@pytest.mark.parametrize("item_type", [GiveUp, ReleaseIn])
@pytest.mark.parametrize("standing", [False, True])
def test_another_callers_withdrawal_of_an_id_does_not_end_the_call(
    item_type: type[GiveUp] | type[ReleaseIn], standing: bool
) -> None:
    """Guards against a call that gets no final message because another caller withdrew the same id."""
    other = RecordingPeer()

    def script(dispatcher: Dispatcher, peer: RecordingPeer) -> None:
        before, after = ([stood()], []) if standing else ([], [stood()])
        for item in (offer(peer), *before, offer(other), item_type(CALL, other), *after):
            dispatcher.post(item)
        dispatcher.post(ended(Ending.DELIVERED))

    dispatcher, peer = run_script(script)
    assert peer.notifications == [("answer", CALL, b"good"), ("release", CALL, False)]
    assert not any(isinstance(item, Withdraw) for item in peer.items)
    assert not dispatcher.calls and not dispatcher.pending_departures


def test_another_callers_withdrawal_in_the_mailbox_does_not_prevent_an_attempt() -> None:
    """Guards against an attempt that never begins because another caller's give-up counts as this one's."""
    other = RecordingPeer()

    def script(dispatcher: Dispatcher, peer: RecordingPeer) -> None:
        dispatcher._offer(offer(peer))
        order = peer.items[-1]
        assert isinstance(order, Order) and order.client is not None
        dispatcher.post(GiveUp(CALL, other))
        assert order.client.check_presence() is Presence.PRESENT
        dispatcher.post(GiveUp(CALL, peer))
        assert order.client.check_presence() is Presence.LEFT

    run_script(script)


def test_an_error_about_another_callers_offer_does_not_fail_the_call() -> None:
    """Guards against a call that fails because an offer of the same id by another caller met an error."""
    other = RecordingPeer()

    def script(dispatcher: Dispatcher, peer: RecordingPeer) -> None:
        dispatcher.post(offer(peer))
        dispatcher.post(offer(other))

        def refuse(call: bytes, hold_off: float) -> None:
            raise RuntimeError("error in the front end")

        other.refuse = refuse  # type: ignore[method-assign]

    assert run_script(script)[1].notifications == []


def test_call_offered_again_after_a_give_up_is_answered() -> None:
    """A caller that repeats a set-up after its connection broke must get an answer."""

    def script(dispatcher: Dispatcher, peer: RecordingPeer) -> None:
        for item in (offer(peer), GiveUp(CALL, peer), ended(Ending.CANCELLED), offer(peer)):
            dispatcher.post(item)
        dispatcher.post(Stood(2, 0, "s-1", 20.0, b"good"))

    assert run_script(script)[1].notifications == [("answer", CALL, b"good")]


def test_the_clock_of_the_decisions_never_runs_backwards() -> None:
    times: list[float] = []

    class TimeRecordingController(Controller):
        def handle(self, now: float, event: Event) -> list[Action]:
            times.append(now)
            return super().handle(now, event)

    run_script(lambda dispatcher, peer: dispatcher.post(offer(peer, left=1e16)), TimeRecordingController)
    assert times == sorted(times) and times[-1] >= FUTURE


def test_a_withdrawal_requested_by_the_decisions_does_not_end_a_standing_call() -> None:
    class WithdrawingController(Controller):
        def handle(self, now: float, event: Event) -> list[Action]:
            actions = super().handle(now, event)
            if isinstance(event, Stands):
                actions.append(CancelAttempt(event.ref, event.attempt))
            return actions

    def script(dispatcher: Dispatcher, peer: RecordingPeer) -> None:
        dispatcher.post(offer(peer))
        dispatcher.post(stood())

    assert run_script(script, WithdrawingController)[1].items[-1] == Withdraw(1, 0, CALL, hang_up=False)
