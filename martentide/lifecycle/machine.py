"""State machine of the service: starting, in service, draining, stopping and ended, including upgrades.

Times are seconds. The host feeds one event at a time and carries out the returned actions in their order. A
timer belongs to the epoch in which it was set, and timers of earlier epochs are ignored, so that a drain that
was ended or replaced by a stop has no further effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

# s of a drain before idle connections close. The front still sends calls for 0.2 s after the first failed
# health check of this proxy.
CLOSE_IDLE_DELAY = 0.4
REFUSE_DELAY = 1.9  # s of a drain in which set-ups are accepted; 4 s into it none may be younger than 2 s
LATE_ARRIVAL_PERIOD = 0.9  # s after SIGTERM in which set-ups still arrive
MOVE_PERIOD = 1.2  # s after SIGTERM in which callers' connections move to the successor
FLUSH_PERIOD = 0.05  # s for the last answers to leave the mailboxes


class Phase(Enum):
    """Phase of the service's life cycle."""

    STARTING = "starting"
    IN_SERVICE = "in-service"
    DRAINING = "draining"
    STOPPING = "stopping"
    ENDED = "ended"


class UpgradePeer(Enum):
    """The other process that serves the same address during an upgrade."""

    NONE = "nobody"
    PREDECESSOR = "predecessor"  # it handed over the listening socket and still has calls
    SUCCESSOR = "successor"  # it has the listening socket but does not accept yet
    ACCEPTING_SUCCESSOR = "taken"  # the successor accepts connections and this process does not


# ---- events ---------------------------------------------------------------------------------------------


class TimerKind(Enum):
    """What happens when a timer expires."""

    CLOSE_IDLE = "leave"
    REFUSE_SET_UPS = "settle"
    STOP_ACCEPTING = "late-over"
    END = "last-words"


@dataclass(frozen=True, slots=True)
class Listening:
    """The callers' listener is open."""


@dataclass(frozen=True, slots=True)
class OutOfService:
    """The operator starts a drain; ``call`` identifies the call for its answer."""

    call: int


@dataclass(frozen=True, slots=True)
class InService:
    """The operator ends a drain; ``call`` identifies the call for its answer."""

    call: int


@dataclass(frozen=True, slots=True)
class Terminate:
    """SIGTERM or SIGINT was received."""


@dataclass(frozen=True, slots=True)
class ReloadRequested:
    """SIGHUP was received."""


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set in ``epoch`` has expired."""

    epoch: int
    kind: TimerKind


@dataclass(frozen=True, slots=True)
class AllCallsEnded:
    """Every call is answered and no standing call is left."""


@dataclass(frozen=True, slots=True)
class PredecessorFound:
    """The process in service has handed over its listening socket."""


@dataclass(frozen=True, slots=True)
class PredecessorGone:
    """The predecessor has ended."""


@dataclass(frozen=True, slots=True)
class SuccessorRequested:
    """A second process asks to take over; ``request`` identifies its channel."""

    request: int


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The successor is ready to accept connections."""


@dataclass(frozen=True, slots=True)
class SuccessorReturnedListener:
    """The successor was asked to end and no longer accepts connections."""


@dataclass(frozen=True, slots=True)
class SuccessorGone:
    """The successor has ended."""


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
    """Answer the operator's call of that number with an HTTP status and a text."""

    call: int
    status: int
    text: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close callers' connections as soon as they are idle, or stop doing so if ``enabled`` is false."""

    LOG_NAME: ClassVar[str] = "LeaveLinks"

    enabled: bool


@dataclass(frozen=True, slots=True)
class RefuseSetUps:
    """Refuse new set-ups, or accept them again if ``enabled`` is false."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class StopListening:
    """Stop accepting callers' connections for good."""


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Feed ``timer`` back as an event after ``delay`` seconds."""

    LOG_NAME: ClassVar[str] = "SetDue"

    timer: TimerExpired
    delay: float


@dataclass(frozen=True, slots=True)
class AwaitAllCallsEnded:
    """Send AllCallsEnded once every call is answered and no standing call is left."""

    LOG_NAME: ClassVar[str] = "TellWhenOver"


@dataclass(frozen=True, slots=True)
class Reload:
    """Reload the configuration."""


@dataclass(frozen=True, slots=True)
class CloseFronts:
    """Announce the stop to the fronts that use this process as external processor, on their open streams."""


@dataclass(frozen=True, slots=True)
class ReportPhaseChange:
    """Log a change of phase and its cause."""

    LOG_NAME: ClassVar[str] = "Tell"

    phase: Phase
    by: str


@dataclass(frozen=True, slots=True)
class OpenHandoverSocket:
    """Open the handover socket, so that a successor can find this process."""

    LOG_NAME: ClassVar[str] = "OpenMeeting"


@dataclass(frozen=True, slots=True)
class AcceptSuccessor:
    """Hand the listening socket to the process that asked."""

    LOG_NAME: ClassVar[str] = "WelcomeIt"

    request: int


@dataclass(frozen=True, slots=True)
class RejectSuccessor:
    """Reject the process that asked to take over, with a human-readable reason."""

    LOG_NAME: ClassVar[str] = "TurnAway"

    request: int
    reason: str


@dataclass(frozen=True, slots=True)
class Yield:
    """Stop accepting connections and notify the successor that it may start."""


@dataclass(frozen=True, slots=True)
class ResumeAccepting:
    """Resume accepting on the same socket, because the successor has ended or is ending."""

    LOG_NAME: ClassVar[str] = "AcceptAgain"


@dataclass(frozen=True, slots=True)
class MoveOut:
    """Move callers' connections to the successor."""


@dataclass(frozen=True, slots=True)
class ReturnListener:
    """Ask the predecessor to resume accepting connections."""

    LOG_NAME: ClassVar[str] = "GiveBackIt"


@dataclass(frozen=True, slots=True)
class CleanUpAfterSuccessor:
    """Treat the callers whose connections had moved to the successor as gone."""

    LOG_NAME: ClassVar[str] = "LetGoOfSuccessor"


@dataclass(frozen=True, slots=True)
class CleanUpAfterPredecessor:
    """Fail the calls that the predecessor left unanswered and use its share of descriptors."""

    LOG_NAME: ClassVar[str] = "LetGoOfPredecessor"


Action = (
    Answer
    | CloseIdleConnections
    | RefuseSetUps
    | StopListening
    | StartTimer
    | AwaitAllCallsEnded
    | Reload
    | CloseFronts
    | ReportPhaseChange
    | OpenHandoverSocket
    | AcceptSuccessor
    | RejectSuccessor
    | Yield
    | ResumeAccepting
    | MoveOut
    | ReturnListener
    | CleanUpAfterSuccessor
    | CleanUpAfterPredecessor
)


class StateMachine:
    """The state of the service; ``handle`` maps each event to actions."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.upgrade_peer = UpgradePeer.NONE
        self.listening = False
        self.epoch = 0
        self.actions: list[Action] = []

    @property
    def ready(self) -> bool:
        """Return whether the readiness check should pass."""
        return self.phase is Phase.IN_SERVICE

    def handle(self, event: Event) -> list[Action]:
        """Return the actions for one event; after ENDED there are none."""
        self.actions = []
        match event:
            case _ if self.phase is Phase.ENDED:
                pass
            case Listening():
                self.listening = True
                self._emit(OpenHandoverSocket())
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
        self._emit(ReportPhaseChange(phase, by))

    def _set_timer(self, kind: TimerKind, delay: float) -> None:
        self._emit(StartTimer(TimerExpired(self.epoch, kind), delay))

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
        self._emit(CloseIdleConnections(False), RefuseSetUps(False), Answer(call, 200, "in service"))

    def _handle_upgrade(self, event: Event) -> None:
        match event:
            case PredecessorFound():
                self.upgrade_peer = UpgradePeer.PREDECESSOR
            case PredecessorGone() if self.upgrade_peer is UpgradePeer.PREDECESSOR:
                self.upgrade_peer = UpgradePeer.NONE
                self._emit(CleanUpAfterPredecessor())
            case SuccessorRequested(request):
                self._successor_requested(request)
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
            self._emit(RejectSuccessor(request, self.phase.value))
        elif self.upgrade_peer is not UpgradePeer.NONE:
            self._emit(RejectSuccessor(request, f"another upgrade is under way: {self.upgrade_peer.value}"))
        else:
            self.upgrade_peer = UpgradePeer.SUCCESSOR
            self._emit(AcceptSuccessor(request))

    def _successor_ready(self) -> None:
        """Yield the listener, also while stopping, so that callers who connect late are served."""
        self.upgrade_peer = UpgradePeer.ACCEPTING_SUCCESSOR
        self._emit(Yield())
        if self.phase is Phase.STOPPING:
            self._emit(MoveOut())

    def _successor_leaves(self, upgrade_peer: UpgradePeer) -> None:
        was_accepting, self.upgrade_peer = self.upgrade_peer is UpgradePeer.ACCEPTING_SUCCESSOR, upgrade_peer
        if upgrade_peer is UpgradePeer.NONE:
            self._emit(CleanUpAfterSuccessor())
        if self.phase is not Phase.STOPPING and (was_accepting or upgrade_peer is UpgradePeer.NONE):
            self._emit(ResumeAccepting(), OpenHandoverSocket())

    def _terminate(self) -> None:
        if self.phase is Phase.STOPPING:
            return
        self._enter(Phase.STOPPING, "signal")
        self._emit(CloseFronts())
        if self.upgrade_peer is UpgradePeer.ACCEPTING_SUCCESSOR:
            self._emit(MoveOut())
            self._set_timer(TimerKind.STOP_ACCEPTING, MOVE_PERIOD)
            return
        # Callers have not learned of the stop yet, so set-ups on new and open connections are still served.
        self._set_timer(TimerKind.STOP_ACCEPTING, LATE_ARRIVAL_PERIOD if self.listening else 0.0)

    def _timer_expired(self, kind: TimerKind) -> None:
        match kind:
            case TimerKind.CLOSE_IDLE:
                self._emit(CloseIdleConnections(True))
            case TimerKind.REFUSE_SET_UPS:
                self._emit(RefuseSetUps(True))
            case TimerKind.STOP_ACCEPTING:
                if self.upgrade_peer is UpgradePeer.PREDECESSOR:
                    self._emit(ReturnListener())
                self.listening = False
                self._emit(StopListening(), RefuseSetUps(True), AwaitAllCallsEnded())
            case TimerKind.END:
                self._enter(Phase.ENDED, "all-over")
