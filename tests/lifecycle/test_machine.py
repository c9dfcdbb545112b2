"""The machine of the service's state, driven in every order that hypothesis finds."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from martentide.lifecycle.machine import (
    AcceptAgain,
    AllCallsEnded,
    Answer,
    InService,
    LeaveLinks,
    Listening,
    MoveOut,
    OutOfService,
    Phase,
    PredecessorFound,
    PredecessorGone,
    RefuseSetUps,
    Reload,
    ReloadRequested,
    SetDue,
    StateMachine,
    StopListening,
    SuccessorGone,
    SuccessorReady,
    SuccessorRequested,
    SuccessorReturnedListener,
    Terminate,
    TimerExpired,
    TimerKind,
    TurnAway,
    UpgradePeer,
    WelcomeIt,
    Yield,
)


class ServiceLifecycle(RuleBasedStateMachine):
    """The host is played: it keeps what it was last told, and the timers it was asked to set."""

    def __init__(self) -> None:
        super().__init__()
        self.machine = StateMachine()
        self.closing_idle = self.refusing = self.stopped = self.accepting = False
        self.timers: list[TimerExpired] = []
        self.calls = 0

    def feed(self, event: object) -> list[object]:
        actions: list[object] = list(self.machine.handle(event))  # type: ignore[arg-type]
        for action in actions:
            match action:
                case LeaveLinks(on):
                    self.closing_idle = on
                case RefuseSetUps(on):
                    self.refusing = on
                case StopListening():
                    self.stopped, self.accepting = True, False
                case Yield():
                    assert self.machine.upgrade_peer is UpgradePeer.ACCEPTING_SUCCESSOR
                    self.accepting = False
                case AcceptAgain():
                    assert not self.stopped
                    self.accepting = True
                case SetDue(due, delay):
                    assert delay >= 0
                    self.timers.append(due)
        return actions

    @precondition(lambda self: not self.machine.listening and not self.stopped)
    @rule(found=st.booleans())
    def listening(self, found: bool) -> None:
        if found and self.machine.phase is not Phase.ENDED:
            self.feed(PredecessorFound())
        self.accepting = self.machine.phase is not Phase.ENDED
        self.feed(Listening())

    @rule()
    def predecessor_gone(self) -> None:
        self.feed(PredecessorGone())
        if self.machine.phase is not Phase.ENDED:
            assert self.machine.upgrade_peer is not UpgradePeer.PREDECESSOR

    @rule()
    def successor_requests(self) -> None:
        self.calls += 1
        free = self.machine.listening and self.machine.upgrade_peer is UpgradePeer.NONE
        replies = [
            one for one in self.feed(SuccessorRequested(self.calls)) if isinstance(one, WelcomeIt | TurnAway)
        ]
        if self.machine.phase is Phase.ENDED:
            assert not replies
        else:
            assert [type(one) for one in replies] == [WelcomeIt if free else TurnAway]

    @rule(event=st.sampled_from([SuccessorReady(), SuccessorReturnedListener(), SuccessorGone()]))
    def successor(self, event: SuccessorReady | SuccessorReturnedListener | SuccessorGone) -> None:
        self.feed(event)
        if isinstance(event, SuccessorGone) and self.machine.phase is not Phase.ENDED:
            assert self.machine.upgrade_peer in (UpgradePeer.NONE, UpgradePeer.PREDECESSOR)

    @rule(out=st.booleans())
    def operator(self, out: bool) -> None:
        self.calls += 1
        before = self.machine.phase
        actions = self.feed(OutOfService(self.calls) if out else InService(self.calls))
        answers = [action for action in actions if isinstance(action, Answer)]
        if before is Phase.ENDED:
            assert not answers
            return
        assert [answer.call for answer in answers] == [self.calls]
        assert answers[0].status == (409 if before is Phase.STOPPING else 200)
        if before is not Phase.STOPPING:
            assert self.machine.ready == (not out and self.machine.listening)

    @rule()
    def terminate(self) -> None:
        self.feed(Terminate())
        assert self.machine.phase in (Phase.STOPPING, Phase.ENDED)

    @rule()
    def hang_up(self) -> None:
        before = self.machine.phase
        assert self.feed(ReloadRequested()) == ([] if before is Phase.ENDED else [Reload()])
        assert self.machine.phase is before

    @precondition(lambda self: self.timers)
    @rule(data=st.data())
    def timer_expires(self, data: st.DataObject) -> None:
        timer = data.draw(st.sampled_from(self.timers))
        self.timers.remove(timer)
        stale = timer.epoch != self.machine.epoch
        actions = self.feed(timer)
        assert not (stale and actions)

    @rule()
    def all_calls_ended(self) -> None:
        self.feed(AllCallsEnded())

    @invariant()
    def ready_only_in_service(self) -> None:
        assert self.machine.ready == (self.machine.phase is Phase.IN_SERVICE)
        if self.machine.ready:
            assert self.machine.listening and not (self.closing_idle or self.refusing or self.stopped)

    @invariant()
    def one_process_accepts(self) -> None:
        """Nobody's connection waits for good: this process accepts, or the successor does, until the end."""
        if self.machine.upgrade_peer is UpgradePeer.ACCEPTING_SUCCESSOR:
            assert not self.accepting
        elif self.machine.listening and self.machine.phase not in (Phase.STOPPING, Phase.ENDED):
            assert self.accepting

    @invariant()
    def drain_and_stop_progress(self) -> None:
        """What is still to come leads on from every phase that must not last."""
        steps = {timer.kind for timer in self.timers if timer.epoch == self.machine.epoch}
        if self.machine.phase is Phase.DRAINING:
            assert self.closing_idle or TimerKind.CLOSE_IDLE in steps
            assert self.refusing or TimerKind.REFUSE_SET_UPS in steps
        if self.machine.phase is Phase.STOPPING and not self.stopped:
            assert TimerKind.STOP_ACCEPTING in steps


ServiceLifecycle.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestServiceLifecycle = ServiceLifecycle.TestCase


def test_stop_runs_to_the_end() -> None:
    machine = StateMachine()
    machine.handle(Listening())
    (stop,) = [action.timer for action in machine.handle(Terminate()) if isinstance(action, SetDue)]
    assert StopListening() in machine.handle(stop)
    (last,) = [action.timer for action in machine.handle(AllCallsEnded()) if isinstance(action, SetDue)]
    machine.handle(last)
    assert machine.phase is Phase.ENDED


def test_out_of_service_while_starting_stays_in_force_after_the_start() -> None:
    machine = StateMachine()
    machine.handle(OutOfService(1))
    machine.handle(Listening())
    assert not machine.ready
    machine.handle(InService(2))
    assert machine.ready


def test_terminated_predecessor_moves_its_connections() -> None:
    machine = StateMachine()
    for event in (Listening(), SuccessorRequested(1), SuccessorReady()):
        machine.handle(event)
    assert MoveOut() in machine.handle(Terminate())


def test_connections_move_to_a_successor_that_is_ready_during_the_stop() -> None:
    machine = StateMachine()
    for event in (Listening(), Terminate(), SuccessorRequested(1)):
        machine.handle(event)
    assert MoveOut() in machine.handle(SuccessorReady())
