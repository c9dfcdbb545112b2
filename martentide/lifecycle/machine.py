"""Starting, in service, draining, stopping: what each event means, and what is to be done about it.

Times are seconds. The host feeds one event at a time and carries the actions out in their order. A timer
belongs to the epoch it was set in; one of an earlier epoch is passed over, so that a drain that was ended, or
gave way to the end of the program, can't act any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

CLOSE_IDLE_DELAY = 0.4  # s of a drain in which links stay: the front sends more for 0.2 s after the first no
REFUSE_DELAY = 1.9  # s of a drain in which set-ups are taken: none may be younger than 2 s at 4 s
LATE_ARRIVAL_PERIOD = 0.9  # s after SIGTERM in which set-ups still come
MOVE_PERIOD = 1.2  # s after SIGTERM in which callers' connections go to the successor
FLUSH_PERIOD = 0.05  # s for the last answers to leave the mailboxes


class Phase(Enum):
    STARTING = "starting"
    IN_SERVICE = "in-service"
    DRAINING = "draining"
    STOPPING = "stopping"
    ENDED = "ended"


class UpgradePeer(Enum):
    """Who else serves the same address, in an upgrade."""

    NONE = "nobody"
    PREDECESSOR = "predecessor"  # it was here first, and has calls still
    SUCCESSOR = "successor"  # it was welcomed, and has not taken yet
    ACCEPTING_SUCCESSOR = "taken"  # the successor accepts, and this process no more


# ---- events ---------------------------------------------------------------------------------------------


class TimerKind(Enum):
    """What a timer stands for."""

    CLOSE_IDLE = "leave"
    REFUSE_SET_UPS = "settle"
    STOP_ACCEPTING = "late-over"
    END = "last-words"


@dataclass(frozen=True, slots=True)
class Listening:
    """Callers can be served from now on."""


@dataclass(frozen=True, slots=True)
class OutOfService:
    """The operator sends callers away; ``call`` numbers the call, for its answer."""

    call: int


@dataclass(frozen=True, slots=True)
class InService:
    """The operator ends a drain."""

    call: int


@dataclass(frozen=True, slots=True)
class Terminate:
    """SIGTERM or SIGINT."""


@dataclass(frozen=True, slots=True)
class ReloadRequested:
    """SIGHUP."""


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer came due."""

    epoch: int
    kind: TimerKind


@dataclass(frozen=True, slots=True)
class AllCallsEnded:
    """Every call is answered and none stands."""


@dataclass(frozen=True, slots=True)
class PredecessorFound:
    """The process in service has handed over its listening socket."""


@dataclass(frozen=True, slots=True)
class PredecessorGone:
    """It has ended."""


@dataclass(frozen=True, slots=True)
class SuccessorRequested:
    """A second process wants to take over; ``ask`` numbers its channel."""

    request: int


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """It is ready to accept."""


@dataclass(frozen=True, slots=True)
class SuccessorReturnedListener:
    """It is to end, and accepts no more."""


@dataclass(frozen=True, slots=True)
class SuccessorGone:
    """It has ended."""


Event = (
    Listening
    | OutOfService
    | InService
    | Terminate
    | ReloadRequested
    | TimerExpired
    | AllCallsEnded
    | PredecessorFound
    | PredecessorGone
    | SuccessorRequested
    | SuccessorReady
    | SuccessorReturnedListener
    | SuccessorGone
)


# ---- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to the operator's call of that number; ``status`` as in HTTP."""

    call: int
    status: int
    text: str


@dataclass(frozen=True, slots=True)
class LeaveLinks:
    """Callers' links are closed as they come to rest (or, ``on`` false, are kept again)."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class RefuseSetUps:
    """New set-ups are refused (or taken again)."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class StopListening:
    """No further connection of callers is accepted."""


@dataclass(frozen=True, slots=True)
class SetDue:
    timer: TimerExpired
    delay: float


@dataclass(frozen=True, slots=True)
class TellWhenOver:
    """AllOver is to come once every call is answered and none stands."""


@dataclass(frozen=True, slots=True)
class Reload:
    """Read the configuration anew."""


@dataclass(frozen=True, slots=True)
class CloseFronts:
    """Further fronts are told on their streams that the program ends."""


@dataclass(frozen=True, slots=True)
class Tell:
    """A log line: the phase has changed, and by what."""

    phase: Phase
    by: str


@dataclass(frozen=True, slots=True)
class OpenMeeting:
    """Be found by a successor from now on."""


@dataclass(frozen=True, slots=True)
class WelcomeIt:
    """Hand the listening socket to the process that asks."""

    request: int


@dataclass(frozen=True, slots=True)
class TurnAway:
    request: int
    reason: str


@dataclass(frozen=True, slots=True)
class Yield:
    """Accept no more, and tell the successor that it may."""


@dataclass(frozen=True, slots=True)
class AcceptAgain:
    """The successor is no more: accept on the same socket again."""


@dataclass(frozen=True, slots=True)
class MoveOut:
    """Callers' connections go to the successor."""


@dataclass(frozen=True, slots=True)
class GiveBackIt:
    """Tell the predecessor that it may accept again."""


@dataclass(frozen=True, slots=True)
class LetGoOfSuccessor:
    """Calls whose connections the successor had are its callers' no more."""


@dataclass(frozen=True, slots=True)
class LetGoOfPredecessor:
    """What the predecessor left unanswered fails; its share of descriptors is free."""


Action = (
    Answer
    | LeaveLinks
    | RefuseSetUps
    | StopListening
    | SetDue
    | TellWhenOver
    | Reload
    | CloseFronts
    | Tell
    | OpenMeeting
    | WelcomeIt
    | TurnAway
    | Yield
    | AcceptAgain
    | MoveOut
    | GiveBackIt
    | LetGoOfSuccessor
    | LetGoOfPredecessor
)


class StateMachine:
    """The one state of the service."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.upgrade_peer = UpgradePeer.NONE
        self.listening = False
        self.epoch = 0
        self.actions: list[Action] = []

    @property
    def ready(self) -> bool:
        """Whether callers are to be sent here."""
        return self.phase is Phase.IN_SERVICE

    def handle(self, event: Event) -> list[Action]:
        """What to do about one event; after ENDED nothing."""
        self.actions = []
        match event:
            case _ if self.phase is Phase.ENDED:
                pass
            case Listening():
                self.listening = True
                self._emit(OpenMeeting())
                if self.phase is Phase.STARTING:
                    self._enter(Phase.IN_SERVICE, "start")
            case OutOfService(call):
                self._out_of_service(call)
            case InService(call):
                self._in_service(call)
            case Terminate():
                self._terminate()
            case ReloadRequested():
                self._emit(Reload())
            case TimerExpired(epoch, kind) if epoch == self.epoch:
                self._timer_expired(kind)
            case AllCallsEnded() if self.phase is Phase.STOPPING:
                self._set_timer(TimerKind.END, FLUSH_PERIOD)
            case _:
                self._handle_upgrade(event)
        return self.actions

    def _emit(self, *actions: Action) -> None:
        self.actions.extend(actions)

    def _enter(self, phase: Phase, by: str) -> None:
        self.phase = phase
        self.epoch += 1
        self._emit(Tell(phase, by))

    def _set_timer(self, kind: TimerKind, delay: float) -> None:
        self._emit(SetDue(TimerExpired(self.epoch, kind), delay))

    def _out_of_service(self, call: int) -> None:
        if self.phase is Phase.STOPPING:
            self._emit(Answer(call, 409, "stopping"))
            return
        if self.phase is Phase.DRAINING:
            self._emit(Answer(call, 200, "out of service already"))
            return
        self._enter(Phase.DRAINING, "operator")
        self._set_timer(TimerKind.CLOSE_IDLE, CLOSE_IDLE_DELAY)
        self._set_timer(TimerKind.REFUSE_SET_UPS, REFUSE_DELAY)
        self._emit(Answer(call, 200, "out of service"))

    def _in_service(self, call: int) -> None:
        if self.phase is Phase.STOPPING:
            self._emit(Answer(call, 409, "stopping"))
            return
        if self.phase is not Phase.DRAINING:
            self._emit(Answer(call, 200, "in service already" if self.ready else "starting"))
            return
        self._enter(Phase.IN_SERVICE if self.listening else Phase.STARTING, "operator")
        self._emit(LeaveLinks(False), RefuseSetUps(False), Answer(call, 200, "in service"))

    def _handle_upgrade(self, event: Event) -> None:
        match event:
            case PredecessorFound():
                self.upgrade_peer = UpgradePeer.PREDECESSOR
            case PredecessorGone() if self.upgrade_peer is UpgradePeer.PREDECESSOR:
                self.upgrade_peer = UpgradePeer.NONE
                self._emit(LetGoOfPredecessor())
            case SuccessorRequested(ask):
                self._successor_requested(ask)
            case SuccessorReady() if self.upgrade_peer is UpgradePeer.SUCCESSOR:
                self._successor_ready()
            case SuccessorReturnedListener() if self.upgrade_peer is UpgradePeer.ACCEPTING_SUCCESSOR:
                self._successor_leaves(UpgradePeer.SUCCESSOR)
            case SuccessorGone() if self.upgrade_peer in (
                UpgradePeer.SUCCESSOR,
                UpgradePeer.ACCEPTING_SUCCESSOR,
            ):
                self._successor_leaves(UpgradePeer.NONE)

    def _successor_requested(self, request: int) -> None:
        if not self.listening:
            self._emit(TurnAway(request, self.phase.value))
        elif self.upgrade_peer is not UpgradePeer.NONE:
            self._emit(TurnAway(request, f"another upgrade is under way: {self.upgrade_peer.value}"))
        else:
            self.upgrade_peer = UpgradePeer.SUCCESSOR
            self._emit(WelcomeIt(request))

    def _successor_ready(self) -> None:
        """Also while stopping: who still connects is the successor's then, and is not cut off by the end."""
        self.upgrade_peer = UpgradePeer.ACCEPTING_SUCCESSOR
        self._emit(Yield())
        if self.phase is Phase.STOPPING:
            self._emit(MoveOut())

    def _successor_leaves(self, upgrade_peer: UpgradePeer) -> None:
        was_accepting, self.upgrade_peer = self.upgrade_peer is UpgradePeer.ACCEPTING_SUCCESSOR, upgrade_peer
        if upgrade_peer is UpgradePeer.NONE:
            self._emit(LetGoOfSuccessor())
        if self.phase is not Phase.STOPPING and (was_accepting or upgrade_peer is UpgradePeer.NONE):
            self._emit(AcceptAgain(), OpenMeeting())

    def _terminate(self) -> None:
        if self.phase is Phase.STOPPING:
            return
        self._enter(Phase.STOPPING, "signal")
        self._emit(CloseFronts())
        if self.upgrade_peer is UpgradePeer.ACCEPTING_SUCCESSOR:
            self._emit(MoveOut())
            self._set_timer(TimerKind.STOP_ACCEPTING, MOVE_PERIOD)
            return
        # Callers do not know yet: what still comes on new and open connections is served like any other call.
        self._set_timer(TimerKind.STOP_ACCEPTING, LATE_ARRIVAL_PERIOD if self.listening else 0.0)

    def _timer_expired(self, kind: TimerKind) -> None:
        match kind:
            case TimerKind.CLOSE_IDLE:
                self._emit(LeaveLinks(True))
            case TimerKind.REFUSE_SET_UPS:
                self._emit(RefuseSetUps(True))
            case TimerKind.STOP_ACCEPTING:
                if self.upgrade_peer is UpgradePeer.PREDECESSOR:
                    self._emit(GiveBackIt())
                self.listening = False
                self._emit(StopListening(), RefuseSetUps(True), TellWhenOver())
            case TimerKind.END:
                self._enter(Phase.ENDED, "all-over")
