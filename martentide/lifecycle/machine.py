"""Starting, in service, draining, stopping: what each event means, and what is to be done about it.

Times are seconds. The host feeds one event at a time and carries the actions out in their order. A timer
belongs to the epoch it was set in; one of an earlier epoch is passed over, so that a drain that was ended, or
gave way to the end of the program, can't act any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LEAVE_AFTER = 0.4  # s of a drain in which links stay: the front sends more for 0.2 s after the first no
SETTLE_AFTER = 1.9  # s of a drain in which set-ups are taken: none may be younger than 2 s at 4 s
LATE_ARRIVALS = 0.9  # s after SIGTERM in which set-ups still come
MOVING = 1.2  # s after SIGTERM in which callers' connections go to the successor
LAST_WORDS = 0.05  # s for the last answers to leave the mailboxes


class Phase(Enum):
    STARTING = "starting"
    IN_SERVICE = "in-service"
    DRAINING = "draining"
    STOPPING = "stopping"
    ENDED = "ended"


class Beside(Enum):
    """Who else serves the same address, in an upgrade."""

    NOBODY = "nobody"
    PREDECESSOR = "predecessor"  # it was here first, and has calls still
    SUCCESSOR = "successor"  # it was welcomed, and has not taken yet
    TAKEN = "taken"  # the successor accepts, and this process no more


# ---- events ---------------------------------------------------------------------------------------------


class Step(Enum):
    """What a timer stands for."""

    LEAVE = "leave"
    SETTLE = "settle"
    LATE_OVER = "late-over"
    LAST_WORDS = "last-words"


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
class HangUp:
    """SIGHUP."""


@dataclass(frozen=True, slots=True)
class Due:
    """A timer came due."""

    epoch: int
    step: Step


@dataclass(frozen=True, slots=True)
class AllOver:
    """Every call is answered and none stands."""


@dataclass(frozen=True, slots=True)
class PredecessorFound:
    """The process in service has handed over its listening socket."""


@dataclass(frozen=True, slots=True)
class PredecessorGone:
    """It has ended."""


@dataclass(frozen=True, slots=True)
class SuccessorAsks:
    """A second process wants to take over; ``ask`` numbers its channel."""

    ask: int


@dataclass(frozen=True, slots=True)
class SuccessorTakes:
    """It is ready to accept."""


@dataclass(frozen=True, slots=True)
class SuccessorGivesBack:
    """It is to end, and accepts no more."""


@dataclass(frozen=True, slots=True)
class SuccessorGone:
    """It has ended."""


Event = (
    Listening
    | OutOfService
    | InService
    | Terminate
    | HangUp
    | Due
    | AllOver
    | PredecessorFound
    | PredecessorGone
    | SuccessorAsks
    | SuccessorTakes
    | SuccessorGivesBack
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

    on: bool


@dataclass(frozen=True, slots=True)
class RefuseSetUps:
    """New set-ups are refused (or taken again)."""

    on: bool


@dataclass(frozen=True, slots=True)
class StopListening:
    """No further connection of callers is accepted."""


@dataclass(frozen=True, slots=True)
class SetDue:
    due: Due
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

    ask: int


@dataclass(frozen=True, slots=True)
class TurnAway:
    ask: int
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


class Machine:
    """The one state of the service."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.beside = Beside.NOBODY
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
                self._do(OpenMeeting())
                if self.phase is Phase.STARTING:
                    self._enter(Phase.IN_SERVICE, "start")
            case OutOfService(call):
                self._out_of_service(call)
            case InService(call):
                self._in_service(call)
            case Terminate():
                self._terminate()
            case HangUp():
                self._do(Reload())
            case Due(epoch, step) if epoch == self.epoch:
                self._due(step)
            case AllOver() if self.phase is Phase.STOPPING:
                self._set(Step.LAST_WORDS, LAST_WORDS)
            case _:
                self._upgrade(event)
        return self.actions

    def _do(self, *actions: Action) -> None:
        self.actions.extend(actions)

    def _enter(self, phase: Phase, by: str) -> None:
        self.phase = phase
        self.epoch += 1
        self._do(Tell(phase, by))

    def _set(self, step: Step, delay: float) -> None:
        self._do(SetDue(Due(self.epoch, step), delay))

    def _out_of_service(self, call: int) -> None:
        if self.phase is Phase.STOPPING:
            self._do(Answer(call, 409, "stopping"))
            return
        if self.phase is Phase.DRAINING:
            self._do(Answer(call, 200, "out of service already"))
            return
        self._enter(Phase.DRAINING, "operator")
        self._set(Step.LEAVE, LEAVE_AFTER)
        self._set(Step.SETTLE, SETTLE_AFTER)
        self._do(Answer(call, 200, "out of service"))

    def _in_service(self, call: int) -> None:
        if self.phase is Phase.STOPPING:
            self._do(Answer(call, 409, "stopping"))
            return
        if self.phase is not Phase.DRAINING:
            self._do(Answer(call, 200, "in service already" if self.ready else "starting"))
            return
        self._enter(Phase.IN_SERVICE if self.listening else Phase.STARTING, "operator")
        self._do(LeaveLinks(False), RefuseSetUps(False), Answer(call, 200, "in service"))

    def _upgrade(self, event: Event) -> None:
        match event:
            case PredecessorFound():
                self.beside = Beside.PREDECESSOR
            case PredecessorGone() if self.beside is Beside.PREDECESSOR:
                self.beside = Beside.NOBODY
                self._do(LetGoOfPredecessor())
            case SuccessorAsks(ask):
                self._successor_asks(ask)
            case SuccessorTakes() if self.beside is Beside.SUCCESSOR:
                self._successor_takes()
            case SuccessorGivesBack() if self.beside is Beside.TAKEN:
                self._successor_leaves(Beside.SUCCESSOR)
            case SuccessorGone() if self.beside in (Beside.SUCCESSOR, Beside.TAKEN):
                self._successor_leaves(Beside.NOBODY)

    def _successor_asks(self, ask: int) -> None:
        if not self.listening:
            self._do(TurnAway(ask, self.phase.value))
        elif self.beside is not Beside.NOBODY:
            self._do(TurnAway(ask, f"another upgrade is under way: {self.beside.value}"))
        else:
            self.beside = Beside.SUCCESSOR
            self._do(WelcomeIt(ask))

    def _successor_takes(self) -> None:
        """Also while stopping: who still connects is the successor's then, and is not cut off by the end."""
        self.beside = Beside.TAKEN
        self._do(Yield())
        if self.phase is Phase.STOPPING:
            self._do(MoveOut())

    def _successor_leaves(self, beside: Beside) -> None:
        taken, self.beside = self.beside is Beside.TAKEN, beside
        if beside is Beside.NOBODY:
            self._do(LetGoOfSuccessor())
        if self.phase is not Phase.STOPPING and (taken or beside is Beside.NOBODY):
            self._do(AcceptAgain(), OpenMeeting())

    def _terminate(self) -> None:
        if self.phase is Phase.STOPPING:
            return
        self._enter(Phase.STOPPING, "signal")
        self._do(CloseFronts())
        if self.beside is Beside.TAKEN:
            self._do(MoveOut())
            self._set(Step.LATE_OVER, MOVING)
            return
        # Callers do not know yet: what still comes on new and open connections is served like any other call.
        self._set(Step.LATE_OVER, LATE_ARRIVALS if self.listening else 0.0)

    def _due(self, step: Step) -> None:
        match step:
            case Step.LEAVE:
                self._do(LeaveLinks(True))
            case Step.SETTLE:
                self._do(RefuseSetUps(True))
            case Step.LATE_OVER:
                if self.beside is Beside.PREDECESSOR:
                    self._do(GiveBackIt())
                self.listening = False
                self._do(StopListening(), RefuseSetUps(True), TellWhenOver())
            case Step.LAST_WORDS:
                self._enter(Phase.ENDED, "all-over")
