"""Wires the actors of one signalling proxy together, from its start to its end after SIGTERM."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from martentide.carriage import Ended, Order, Withdraw
from martentide.codec.board import Listed, Notice
from martentide.interface import Ending, ListKind, ProbeEnded, ServerState, Settings
from martentide.lifecycle import machine
from martentide.lifecycle.calls import OUT_OF_SERVICE, READY
from martentide.lifecycle.machine import Machine
from martentide.net.board import Board, Moved
from martentide.net.callers import Callers
from martentide.net.config import Config, ConfigError
from martentide.net.decider import Decider, Probing, ServerActor
from martentide.net.endings import LOG, log_event
from martentide.net.servers import Server
from martentide.rules import Controller

if TYPE_CHECKING:
    from martentide.net.control import Control
    from martentide.net.extproc.server import ExternalProcessorServer
    from martentide.net.learned import Store

CALLERS_SHARE = 0.5  # of the descriptors: callers hold a third at most, old connections may overlap new ones
MOST_CALLS = 24  # descriptors set aside for the operator's calls


def fold(notices: tuple[Notice, ...]) -> Notice:
    """The list that the notices of the start add up to."""
    servers: dict[str, Listed] = {}
    for notice in notices:
        if notice.whole:
            servers.clear()
        for listed in notice.servers:
            servers[listed.entry.name] = listed
    present = tuple(one for one in servers.values() if one.entry.state is not ServerState.GONE)
    return Notice(max((notice.number for notice in notices), default=0), True, present)


class Unlinked:
    """Stands for a server that the program does not dial: fronts carry what goes there."""

    def __init__(self, listed: Listed, decider: Decider) -> None:
        self.listed, self.decider = listed, decider

    def post(self, item: Order | Withdraw | Probing | Listed) -> None:
        if isinstance(item, Probing):
            name = self.listed.entry.name
            self.decider.post(ProbeEnded(name, Ending.UNREACHABLE, False, 0.0, None))
        elif isinstance(item, Order):
            end = Ended(item.ref, item.attempt, item.server, Ending.UNREACHABLE, False, 0.0, None)
            self.decider.post(end)


def reload(
    config: Config,
    read: Callable[[], Config],
    board: Board,
    processor: ExternalProcessorServer | None = None,
    store: Store | None = None,
) -> Config:
    """SIGHUP: the configuration that holds from now on; a bad file changes nothing."""
    try:
        new = read()
    except ConfigError as error:
        log_event("reload-failed", detail=repr(str(error)))
        return config
    # What an instance is born with (name, address, seed, settings) is the same until its next start.
    fixed = ("name", "listen", "operator", "settings", "zones")
    kept = [key for key in fixed if getattr(new, key) != getattr(config, key)]
    part = new.extras.external_processor if new.extras is not None else None
    if processor is not None and part is not None:
        kept += [f"external-processor.{name}" for name in processor.change(part)]
    elif (processor is None) != (part is None):
        kept.append("external-processor")
    state = new.extras.learned_state if new.extras is not None else None
    if store is not None and state is not None:
        store.move(state.folder, state.pace())
    elif (store is None) != (state is None):
        kept.append("learned-state")
    log_event("reloaded", board=new.board, restart_needed_for=",".join(kept) or "nothing")
    if new.board != config.board:
        board.post(Moved(new.board))
    return dataclasses.replace(config, board=new.board)


class Service:
    """The actor of the service's state: feeds the machine and carries out what it asks for."""

    def __init__(
        self,
        config: Config,
        read: Callable[[], Config],
        decider: Decider,
        board: Board,
        callers: Callers,
        store: Store | None,
        processor: ExternalProcessorServer | None,
    ) -> None:
        self.config, self.read = config, read
        self.decider, self.board, self.callers = decider, board, callers
        self.store, self.processor = store, processor
        self.machine = Machine()
        callers.door.ready = lambda: self.machine.ready
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[machine.Event] = asyncio.Queue()
        self.asked: dict[int, asyncio.Future[tuple[int, str]]] = {}
        self.numbers = itertools.count(1)
        self.over: asyncio.Task[None] | None = None

    def post(self, event: machine.Event) -> None:
        self.mailbox.put_nowait(event)

    async def ask(self, path: str) -> tuple[int, str]:
        """The operator's call of that path: its status and text."""
        if path == READY:
            return (200, "ready") if self.machine.ready else (503, self.machine.phase.value)
        number = next(self.numbers)
        answer: asyncio.Future[tuple[int, str]] = self.loop.create_future()
        self.asked[number] = answer
        self.post(machine.OutOfService(number) if path == OUT_OF_SERVICE else machine.InService(number))
        try:
            return await answer
        finally:
            del self.asked[number]

    async def run(self) -> None:
        """Until the machine has ended."""
        while self.machine.phase is not machine.Phase.ENDED:
            event = await self.mailbox.get()
            for action in self.machine.handle(event):
                try:
                    self._act(action)
                except Exception:  # one part that fails must not keep the others from ending in good order
                    LOG.exception("internal-error", action=type(action).__name__)

    def _act(self, action: machine.Action) -> None:
        match action:
            case machine.Answer(call, status, text):
                if (asked := self.asked.get(call)) is not None and not asked.done():
                    asked.set_result((status, text))
            case machine.LeaveLinks(on):
                self.callers.door.leave(on)
            case machine.RefuseSetUps(on):
                self.decider.closing = on
            case machine.StopListening():
                self.callers.close()
            case machine.SetDue(due, delay):
                self.loop.call_later(delay, self.post, due)
            case machine.TellWhenOver():
                self.over = self.loop.create_task(self._tell_when_over(), name="all over")
            case machine.Reload():
                self.config = reload(self.config, self.read, self.board, self.processor, self.store)
            case machine.CloseFronts():
                if self.processor is not None:
                    self.processor.closing()  # fronts are told on their streams: no time to learn of it
            case machine.Tell(phase, by):
                log_event("service-state", state=phase.value, by=by, calls=len(self.decider.calls))

    async def _tell_when_over(self) -> None:
        await self.decider.idle.wait()
        if self.processor is not None:
            await self.processor.stop()
        self.post(machine.AllOver())


def turned_on(
    config: Config, settings: Settings, decider: Decider
) -> tuple[Store | None, ExternalProcessorServer | None]:
    """What the extras file turns on; the libraries come with it."""
    store: Store | None = None
    processor: ExternalProcessorServer | None = None
    if config.extras is not None and (state := config.extras.learned_state) is not None:
        from martentide.net.learned import Store

        store = Store(state.folder, state.pace(), config.settings, decider, config.seed)
    if config.extras is not None and (part := config.extras.external_processor) is not None:
        from martentide.net.extproc.server import ExternalProcessorServer

        processor = ExternalProcessorServer(part, settings, decider, config.seed)
    return store, processor


async def serve(config: Config, read: Callable[[], Config]) -> None:
    """Run until SIGTERM (or SIGINT) and until all that was taken by then is answered and over; ``read`` reads
    the configuration anew."""
    LOG.debug("settings", settings=config.settings, zones=config.zones, known=config.known)
    loop = asyncio.get_running_loop()
    dials = config.extras is None or config.extras.dials
    settings = config.settings if dials else dataclasses.replace(config.settings, may_probe=False)

    def start_server(listed: Listed, decider: Decider) -> ServerActor:
        if not dials:
            return Unlinked(listed, decider)
        return Server(listed, config.connect_timeout, decider.post)

    decider = Decider(Controller(settings, config.seed), start_server, config.max_open)
    board = Board(config.board, config.known_number, config.zones, config.connect_timeout, decider.post)
    callers = Callers(int(config.sockets * CALLERS_SHARE), decider.post)

    store, processor = turned_on(config, settings, decider)
    service = Service(config, read, decider, board, callers, store, processor)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.post, machine.Terminate())
    loop.add_signal_handler(signal.SIGHUP, service.post, machine.HangUp())
    tasks = [asyncio.create_task(service.run(), name="service")]
    control: Control | None = None
    if config.operator is not None:
        from martentide.net.control import Control  # h11 comes with it

        control = Control(service.ask, min(MOST_CALLS, config.sockets // 8))
        await control.listen(config.operator)
        for host, port in control.addresses():
            log_event("operator-listening", address=f"{host}:{port}")
    decider.follow(fold(config.known), ListKind.REMEMBERED)
    if store is not None:
        await store.start()
    tasks += [
        asyncio.create_task(decider.run(), name="decider"),
        asyncio.create_task(board.run(), name="list"),
    ]
    if store is not None:
        tasks.append(asyncio.create_task(store.run(), name="learned state"))
    if processor is not None:
        await processor.start()
    await callers.listen(config.listen)
    for host, port in callers.addresses():
        log_event("serving", name=config.name, address=f"{host}:{port}", servers=len(decider.servers))
    service.post(machine.Listening())
    await tasks[0]
    if control is not None:
        control.close()
    for task in tasks:
        task.cancel()
    if store is not None:
        await asyncio.gather(*tasks, return_exceptions=True)
        await store.stop()
    log_event("stopped")
