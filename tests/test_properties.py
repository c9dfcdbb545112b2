"""Property test: no legal event sequence makes the decisions break a rule of the platform."""

from __future__ import annotations

from dataclasses import dataclass, replace

from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.interface import (
    Action,
    CallerGone,
    CancelAttempt,
    Ending,
    Fail,
    ListKind,
    PeerMessage,
    Probe,
    Refuse,
    Repeat,
    Report,
    SendSetUp,
    ServerList,
    ServerState,
    TellPeer,
)
from tests.support import SETTINGS, ControllerDriver, entry

NAMES = ("s0", "s1", "s2")


@dataclass
class CallRecord:
    """What the Observer knows about one call from events and actions."""

    deadline: float
    attempts: int = 0
    current_server: str | None = None
    finished: bool = False
    may_retry_from: float = 0.0
    may_have_run: bool = False


class Observer:
    """Checks every action against the rules without using the controller's state."""

    def __init__(self, driver: ControllerDriver) -> None:
        self.driver = driver
        self.calls: dict[int, CallRecord] = {}
        self.open_servers = {"s0", "s1"}

    def check(self, actions: list[Action]) -> None:
        """Check the Controller's actions on one event."""
        own = self.driver.settings
        for action in actions:
            match action:
                case SendSetUp():
                    call = self.calls[action.ref]
                    assert not call.finished and call.current_server is None
                    assert action.server in self.open_servers
                    assert self.driver.now >= call.may_retry_from
                    assert call.attempts < own.max_attempts
                    assert not (call.may_have_run and own.classes[0].repeat is not Repeat.HARMLESS)
                    call.attempts += 1
                    call.current_server = action.server
                case Refuse() | Fail():
                    call = self.calls[action.ref]
                    assert not call.finished and call.current_server is None
                    assert not (
                        isinstance(action, Refuse)
                        and call.may_have_run
                        and own.classes[0].repeat is not Repeat.HARMLESS
                    )
                    assert self.driver.now <= max(call.deadline, 0.0) + own.answer_slack
                    call.finished = True
                case Probe():
                    assert own.may_probe
                case TellPeer():
                    assert own.may_tell_peers and len(action.body) <= 256
                case CancelAttempt():
                    assert own.may_cancel
                case _:
                    pass
        for call in self.calls.values():
            if not call.finished and call.current_server is None:
                assert self.driver.now <= call.deadline + own.answer_slack


STEPS = st.lists(
    st.tuples(st.integers(0, 9), st.integers(0, 60), st.floats(0.0, 1.0)), min_size=10, max_size=120
)


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(STEPS, st.sampled_from(list(Repeat)), st.booleans(), st.integers(1, 5))
def test_no_sequence_breaks_a_rule(
    steps: list[tuple[int, int, float]], repeat: Repeat, extras: bool, attempts: int
) -> None:
    classes = tuple(replace(kind, repeat=repeat) for kind in SETTINGS.classes)
    own = replace(
        SETTINGS,
        classes=classes,
        may_probe=extras,
        may_tell_peers=extras,
        may_cancel=extras,
        max_attempts=attempts,
    )
    driver = ControllerDriver(settings=own)
    observer = Observer(driver)
    for kind, pick, share in steps:
        step(driver, observer, kind, pick, share)
        due = [
            ref for ref, call in observer.calls.items() if call.current_server and driver.now >= call.deadline
        ]
        for ref in due:
            finish(driver, observer, ref, Ending.TIMED_OUT, None)


def step(driver: ControllerDriver, observer: Observer, kind: int, pick: int, share: float) -> None:
    """Deliver one event and check the actions.

    ``kind`` (0 to 9) selects the kind of event, ``pick`` (0 to 60) its call, server and options, ``share`` (0
    to 1) its times and figures.
    """
    live = [ref for ref, call in observer.calls.items() if call.current_server is not None]
    if kind <= 2:
        left = share * 4000.0 - 50.0
        observer.calls[driver.ref + 1] = CallRecord(driver.now + max(left, 0.0))
        name = ("plain", "urgent")[pick % 2]
        number = f"n{pick % 7}" if pick % 3 else None
        observer.check(driver.offer(first=pick % 3, name=name, left=left, number=number))
    elif kind <= 4 and live:
        ending = list(Ending)[pick % len(Ending)]
        report = Report(float(pick), share, share * 900.0) if pick % 2 else None
        finish(driver, observer, live[pick % len(live)], ending, report)
    elif kind == 5 and live:
        ref = live[pick % len(live)]
        server = observer.calls[ref].current_server
        assert server is not None
        observer.calls[ref].finished, observer.calls[ref].current_server = True, None
        observer.check(
            driver.stand(SendSetUp(ref, server, 1.0), share * 2000.0, observer.calls[ref].attempts - 1)
        )
    elif kind == 6:
        name = NAMES[pick % 3]
        state = list(ServerState)[pick % 3 if pick % 5 == 0 else 0]
        observer.open_servers = (
            observer.open_servers | {name} if state is ServerState.OPEN else observer.open_servers - {name}
        )
        started = driver.now if pick % 4 == 0 else None
        change = entry(name, NAMES.index(name), state, started)
        observer.check(driver.feed(ServerList(ListKind.CHANGES, (change,))))
    elif kind == 7 and observer.calls:
        ref = list(observer.calls)[pick % len(observer.calls)]
        observer.calls[ref].finished, observer.calls[ref].current_server = True, None
        observer.check(driver.feed(CallerGone(ref)))
    elif kind == 8:
        observer.check(driver.feed(PeerMessage(pick, bytes([pick]) * (pick % 9))))
    else:
        for _ in range(1 + pick % 8):
            end = driver.now + driver.controller.tick_interval
            unanswered = [(call.deadline, ref) for ref, call in observer.calls.items() if call.current_server]
            for deadline, ref in sorted(item for item in unanswered if item[0] <= end):
                driver.now = max(
                    driver.now, deadline
                )  # an attempt timeout limited by the call's deadline fires at it
                finish(driver, observer, ref, Ending.TIMED_OUT, None)
            observer.check(driver.advance(end - driver.now))


def finish(
    driver: ControllerDriver, observer: Observer, ref: int, ending: Ending, report: Report | None
) -> None:
    """End the call's attempt and check the actions."""
    call = observer.calls[ref]
    server = call.current_server
    assert server is not None
    call.current_server = None
    settled = call.finished or ending is Ending.DELIVERED
    call.finished = call.finished or settled
    call.may_have_run = call.may_have_run or ending in (
        Ending.TIMED_OUT,
        Ending.CUT,
        Ending.CANCELLED,
        Ending.ERROR,
    )
    if ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED):
        call.may_retry_from = driver.now + driver.settings.release
    observer.check(driver.end_attempt(ref, server, ending, call.attempts - 1, report, settled))
