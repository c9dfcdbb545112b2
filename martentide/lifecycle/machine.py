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
LAST_WORDS = 0.05  # s for the last answers to leave the mailboxes


class Phase(Enum):
    STARTING = "starting"
    IN_SERVICE = "in-service"
    DRAINING = "draining"
    STOPPING = "stopping"
    ENDED = "ended"


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


Event = Listening | OutOfService | InService | Terminate | HangUp | Due | AllOver


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


Action = (
    Answer | LeaveLinks | RefuseSetUps | StopListening | SetDue | TellWhenOver | Reload | CloseFronts | Tell
)


class Machine:
    """The one state of the service."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
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

    def _terminate(self) -> None:
        if self.phase is Phase.STOPPING:
            return
        self._enter(Phase.STOPPING, "signal")
        self._do(CloseFronts())
        # Callers do not know yet: what still comes on new and open connections is served like any other call.
        self._set(Step.LATE_OVER, LATE_ARRIVALS if self.listening else 0.0)

    def _due(self, step: Step) -> None:
        match step:
            case Step.LEAVE:
                self._do(LeaveLinks(True))
            case Step.SETTLE:
                self._do(RefuseSetUps(True))
            case Step.LATE_OVER:
                self._do(StopListening(), RefuseSetUps(True), TellWhenOver())
            case Step.LAST_WORDS:
                self._enter(Phase.ENDED, "all-over")
