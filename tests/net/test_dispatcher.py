"""The dispatcher between a scripted caller, a scripted server and the real or a failing module.

No sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from martentide.attempt_messages import Ended, Heard, Order, Stood, Withdraw
from martentide.codec.discovery import Listed, Notice
from martentide.interface import Action, CancelAttempt, Ending, Event, SetTimer, SetUpOffered, Stands
from martentide.net.dispatcher import Dispatcher, GiveUp, Offer, Probing, Settle
from martentide.rules import Controller
from martentide.settings import settings_from
from tests.net.support import SETTINGS
from tests.support import entry

CALL = bytes(7) + b"\1"
AHEAD = 1e15


class Told:
    """A caller and a server in one: remembers what the dispatcher tells it."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.orders: list[Order | Withdraw | Heard | Probing | Listed | Settle] = []

    def answer(self, call: bytes, description: bytes) -> None:
        self.calls.append(("answer", call, description))

    def refuse(self, call: bytes, hold_off: float) -> None:
        self.calls.append(("refuse", call))

    def fail(self, call: bytes) -> None:
        self.calls.append(("fail", call))

    def release(self, call: bytes, cut: bool) -> None:
        self.calls.append(("release", call, cut))

    def post(self, item: Order | Withdraw | Heard | Probing | Listed | Settle) -> None:
        self.orders.append(item)


class Broken(Controller):
    """Fails on every offer, after it has asked for its next timer."""

    def handle(self, now: float, event: Event) -> list[Action]:
        super().handle(now, event)
        if isinstance(event, SetUpOffered):
            self.actions = [SetTimer(1, 0.0)]
            raise RuntimeError("a fault in the decisions")
        return self.actions


def offer(told: Told, call: bytes = CALL, left: float = 3000.0) -> Offer:
    return Offer(told, call, b"voice", b"7f3a", b"desc", left, 0, AHEAD)


def play(
    script: Callable[[Dispatcher, Told], None], module: type[Controller] = Controller
) -> tuple[Dispatcher, Told]:
    """Run a script that posts, and let the dispatcher take all of it."""

    async def scene() -> tuple[Dispatcher, Told]:
        told = Told()
        dispatcher = Dispatcher(module(settings_from(SETTINGS), 1), lambda listed, dispatcher: told, 10)
        dispatcher.now = AHEAD  # ahead of the system's clock, which must not run backwards for the decisions
        dispatcher.apply_list(Notice(1, True, (Listed(entry("s-1", 0), "127.0.0.1", 1),)))
        script(dispatcher, told)
        task = asyncio.create_task(dispatcher.run())
        while not dispatcher.mailbox.empty():
            await asyncio.sleep(0)
        task.cancel()
        return dispatcher, told

    return asyncio.run(scene())


def stood(attempt: int = 0) -> Stood:
    return Stood(1, attempt, "s-1", 20.0, b"good")


def ended(ending: Ending, attempt: int = 0) -> Ended:
    return Ended(1, attempt, "s-1", ending, False, 20.0, None)


def test_a_fault_in_the_decisions_fails_the_call_and_keeps_their_timers() -> None:
    """Guards against calls without an answer, and against decisions that sleep for good, after a fault."""
    ticks: list[Event] = []

    class Counting(Broken):
        def handle(self, now: float, event: Event) -> list[Action]:
            ticks.append(event)
            return super().handle(now, event)

    async def scene() -> Told:
        told = Told()
        dispatcher = Dispatcher(Counting(settings_from(SETTINGS), 1), lambda listed, dispatcher: told, 10)
        dispatcher.post(offer(told))
        task = asyncio.create_task(dispatcher.run())
        while len(ticks) < 2:  # the offer, then the timer that was asked for before the fault
            await asyncio.sleep(0.001)
        task.cancel()
        assert not dispatcher.calls and not dispatcher.by_id and dispatcher.open_calls == 0
        return told

    assert asyncio.run(asyncio.wait_for(scene(), 15)).calls == [("fail", CALL)]


def test_an_answer_crossing_the_callers_give_up_reaches_nobody() -> None:
    def script(dispatcher: Dispatcher, told: Told) -> None:
        for item in (offer(told), GiveUp(CALL), stood(), ended(Ending.CANCELLED)):
            dispatcher.post(item)

    dispatcher, told = play(script)
    assert told.calls == []
    assert told.orders[-1] == Withdraw(1, 0, CALL, hang_up=True)
    assert not dispatcher.calls and dispatcher.open_calls == 0


def test_each_call_gets_one_answer_whatever_comes_after() -> None:
    def script(dispatcher: Dispatcher, told: Told) -> None:
        items = (offer(told), stood(), stood(), offer(told), ended(Ending.DELIVERED), ended(Ending.CUT))
        for item in (*items, offer(told)):
            dispatcher.post(item)

    dispatcher, told = play(script)
    assert told.calls == [("answer", CALL, b"good"), ("release", CALL, False), ("refuse", CALL)]
    assert not dispatcher.calls


def test_an_id_that_another_caller_used_is_refused_while_it_is_open_and_free_later() -> None:
    """Guards against silence towards a caller that comes by an id that was another's: both get their word."""
    other = Told()

    def script(dispatcher: Dispatcher, told: Told) -> None:
        for item in (offer(told), offer(other), stood(), ended(Ending.DELIVERED), offer(other)):
            dispatcher.post(item)
        dispatcher.post(Stood(2, 0, "s-1", 20.0, b"good"))

    assert play(script)[1].calls == [("answer", CALL, b"good"), ("release", CALL, False)]
    assert other.calls == [("refuse", CALL), ("answer", CALL, b"good")]


def test_a_call_given_up_may_come_again_and_is_answered() -> None:
    """Guards against silence towards a caller whose connection broke and who sends the set-up once more."""

    def script(dispatcher: Dispatcher, told: Told) -> None:
        for item in (offer(told), GiveUp(CALL), ended(Ending.CANCELLED), offer(told)):
            dispatcher.post(item)
        dispatcher.post(Stood(2, 0, "s-1", 20.0, b"good"))

    assert play(script)[1].calls == [("answer", CALL, b"good")]


def test_the_clock_of_the_decisions_never_runs_backwards() -> None:
    times: list[float] = []

    class Timed(Controller):
        def handle(self, now: float, event: Event) -> list[Action]:
            times.append(now)
            return super().handle(now, event)

    play(lambda dispatcher, told: dispatcher.post(offer(told, left=1e16)), Timed)
    assert times == sorted(times) and times[-1] >= AHEAD


def test_a_withdrawal_asked_by_the_decisions_spares_a_call_that_stands() -> None:
    class Withdrawing(Controller):
        def handle(self, now: float, event: Event) -> list[Action]:
            actions = super().handle(now, event)
            if isinstance(event, Stands):
                actions.append(CancelAttempt(event.ref, event.attempt))
            return actions

    def script(dispatcher: Dispatcher, told: Told) -> None:
        dispatcher.post(offer(told))
        dispatcher.post(stood())

    assert play(script, Withdrawing)[1].orders[-1] == Withdraw(1, 0, CALL, hang_up=False)
