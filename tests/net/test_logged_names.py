"""Names of mailbox items and actions in the "internal-error" log lines."""

from __future__ import annotations

import asyncio
from types import UnionType
from typing import NoReturn, get_args

import pytest

from martentide import attempt_messages
from martentide.codec.discovery import Listed
from martentide.lifecycle import machine
from martentide.net import callers, dispatcher, servers, service
from martentide.net.client_connections import ClientConnections
from martentide.net.close_reason import logged_name
from martentide.net.fleet import member
from martentide.net.memory_budget import BYTES_PER_MB, MemoryBudget
from martentide.rules import Controller
from martentide.settings import settings_from
from tests.net.support import SETTINGS
from tests.support import entry

CALL = bytes(7) + b"\1"

LOGGED_NAMES = {
    attempt_messages.InputProcessed: "Heard",
    dispatcher.ApplySettings: "Settle",
    servers.AttemptTimedOut: "PatienceOver",
    servers.SuspectTimerExpired: "DoubtDue",
    servers.HealthCheckTimedOut: "TestOver",
    servers.ReconnectTimerExpired: "RedialDue",
    servers.LivenessCheckDue: "QuietDue",
    callers.MessageToCaller: "Say",
    callers.PendingReleaseExpired: "NoLongerOwed",
    callers.CallerLeftAtSuccessor: "LeftHere",
    callers.PredecessorGone: "Orphaned",
    callers.SuccessorGone: "Deserted",
    member.EvaluationDue: "Look",
    machine.CloseIdleConnections: "LeaveLinks",
    machine.StartTimer: "SetDue",
    machine.AwaitAllCallsEnded: "TellWhenOver",
    machine.ReportPhaseChange: "Tell",
    machine.OpenHandoverSocket: "OpenMeeting",
    machine.AcceptSuccessor: "WelcomeIt",
    machine.RejectSuccessor: "TurnAway",
    machine.ResumeAccepting: "AcceptAgain",
    machine.ReturnListener: "GiveBackIt",
    machine.CleanUpAfterSuccessor: "LetGoOfSuccessor",
    machine.CleanUpAfterPredecessor: "LetGoOfPredecessor",
}
UNIONS: tuple[UnionType, ...] = (
    dispatcher.Item, servers.Item, callers.Item, member.Item, machine.Action,
)  # fmt: skip


def without_init(kind: type[object]) -> object:
    """Return an instance of the class with no field set."""
    return kind.__new__(kind)


@pytest.mark.parametrize(("kind", "name"), LOGGED_NAMES.items())
def test_renamed_class_is_logged_under_its_former_name(kind: type[object], name: str) -> None:
    assert logged_name(without_init(kind)) == name


@pytest.mark.parametrize("union", UNIONS)
def test_every_other_class_is_logged_under_its_own_name(union: UnionType) -> None:
    for kind in get_args(union):
        if kind not in LOGGED_NAMES:
            assert logged_name(without_init(kind)) == kind.__name__


class LogRecorder:
    """Replaces a module's logger and records its error lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def exception(self, event: str, **fields: object) -> None:
        """Record an error line."""
        self.lines.append((event, fields))


def fail(*_: object) -> NoReturn:
    """Handle no item: raise RuntimeError."""
    raise RuntimeError("error in the handling of an item")


def do_nothing(*_: object) -> None:
    """Accept anything."""


@pytest.fixture
def log(monkeypatch: pytest.MonkeyPatch) -> LogRecorder:
    """Make every actor fail on each item, and record what it logs."""
    recorder = LogRecorder()
    for module in (dispatcher, servers, callers, service, member):
        monkeypatch.setattr(module, "LOG", recorder)
    for actor in (dispatcher.Dispatcher, servers.Server, callers.CallingHost):
        monkeypatch.setattr(actor, "_handle", fail)
    monkeypatch.setattr(servers.Server, "_dial", do_nothing)
    monkeypatch.setattr(service.Service, "_act", fail)
    monkeypatch.setattr(member.Member, "_handle_item", fail)
    return recorder


async def wait_for_lines(log: LogRecorder, count: int) -> None:
    """Wait until that many lines were logged."""
    async with asyncio.timeout(10):
        while len(log.lines) < count:
            await asyncio.sleep(0)


def test_dispatcher_logs_the_former_name(log: LogRecorder) -> None:
    async def run() -> None:
        actor = dispatcher.Dispatcher(Controller(settings_from(SETTINGS), 1), fail, 10)
        task = asyncio.create_task(actor.run())
        actor.post(attempt_messages.InputProcessed(1, 0, CALL, "s-1"))
        actor.post(attempt_messages.ClientLeft(1))
        await wait_for_lines(log, 2)
        task.cancel()

    asyncio.run(run())
    assert log.lines == [("internal-error", {"item": "Heard"}), ("internal-error", {"item": "ClientLeft"})]


def test_server_actor_logs_the_former_name(log: LogRecorder) -> None:
    async def run() -> None:
        actor = servers.Server(Listed(entry("s-1", 0), "127.0.0.1", 1), 1.0, do_nothing)
        actor.post(servers.LivenessCheckDue())
        await wait_for_lines(log, 1)
        actor.task.cancel()

    asyncio.run(run())
    assert log.lines == [("internal-error", {"server": "s-1", "item": "QuietDue"})]


def test_calling_host_logs_the_former_name(log: LogRecorder) -> None:
    async def run() -> None:
        actor = callers.CallingHost(
            "192.0.2.1", do_nothing, do_nothing, ClientConnections(1, MemoryBudget(BYTES_PER_MB))
        )
        actor.post(callers.MessageToCaller(CALL, b""))
        await wait_for_lines(log, 1)
        actor.task.cancel()

    asyncio.run(run())
    assert log.lines == [("internal-error", {"party": "192.0.2.1", "item": "Say"})]


def test_service_logs_the_former_names_of_actions(log: LogRecorder) -> None:
    async def run() -> None:
        actor = without_init(service.Service)
        assert isinstance(actor, service.Service)
        actor.machine, actor.mailbox = machine.StateMachine(), asyncio.Queue()
        actor.post(machine.Listening())
        task = asyncio.create_task(actor.run())
        await wait_for_lines(log, 2)
        task.cancel()

    asyncio.run(run())
    assert log.lines == [
        ("internal-error", {"action": "OpenMeeting"}),
        ("internal-error", {"action": "Tell"}),
    ]


def test_fleet_member_logs_the_former_name(log: LogRecorder) -> None:
    async def run() -> None:
        actor = without_init(member.Member)
        assert isinstance(actor, member.Member)
        actor.mailbox, actor.core = asyncio.Queue(), None
        actor.post(member.EvaluationDue())
        task = asyncio.create_task(actor.run())
        await wait_for_lines(log, 1)
        task.cancel()

    asyncio.run(run())
    assert log.lines == [("internal-error fleet", {"item": "Look"})]
