"""Wires the actors of one signalling proxy together, from its start to its end after SIGTERM."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import signal
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from martentide.attempt_messages import Ended, Heard, Order, Withdraw
from martentide.codec.discovery import Listed, Notice
from martentide.handover.wire import (
    VERSION,
    GiveBack,
    Hello,
    Left,
    MovedCalls,
    MovedLink,
    Moving,
    Said,
    Take,
    Taken,
    TurnedAway,
    Welcome,
)
from martentide.interface import ColdShare, Ending, ListKind, ProbeEnded, ServerState, Settings
from martentide.lifecycle import machine
from martentide.lifecycle.calls import FLEET, OUT_OF_SERVICE, PROPOSE, READY, VERSIONS, VOTERS
from martentide.lifecycle.machine import Machine
from martentide.net import descriptors
from martentide.net.callers import Callers
from martentide.net.close_reason import LOG, CloseReason, log_event
from martentide.net.config import Config, ConfigError, check_keys
from martentide.net.discovery import DiscoveryClient, Moved
from martentide.net.dispatcher import Dispatcher, Probing, ServerActor, Settle
from martentide.net.handover import Channel, Found, Meeting, Refusal, find_predecessor, meeting_place
from martentide.net.servers import Server
from martentide.rules import Controller

if TYPE_CHECKING:
    from martentide.net.control import Control
    from martentide.net.extproc.server import ExternalProcessorServer
    from martentide.net.fleet.member import Member
    from martentide.net.learned import Store
    from martentide.net.tier.proxy import TierMember

BESIDE = 0.5  # of what a cold server may be sent is each process's, until the old one is told to end
TAKE_LIMIT = 1.0  # s for the predecessor to accept no more


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

    def __init__(self, listed: Listed, dispatcher: Dispatcher) -> None:
        self.listed, self.dispatcher = listed, dispatcher

    def post(self, item: Order | Withdraw | Heard | Probing | Listed | Settle) -> None:
        if isinstance(item, Probing):
            name = self.listed.entry.name
            self.dispatcher.post(ProbeEnded(name, Ending.UNREACHABLE, False, 0.0, None))
        elif isinstance(item, Order):
            end = Ended(item.ref, item.attempt, item.server, Ending.UNREACHABLE, False, 0.0, None)
            self.dispatcher.post(end)


def for_decisions(settings: Settings, dials: bool) -> Settings:
    """The settings that the decisions are told: where only fronts reach the servers, nobody tests."""
    return settings if dials else dataclasses.replace(settings, may_probe=False)


def reload(
    config: Config,
    read: Callable[[], Config],
    dispatcher: Dispatcher,
    board: DiscoveryClient,
    processor: ExternalProcessorServer | None = None,
    store: Store | None = None,
    member: Member | None = None,
) -> Config:
    """SIGHUP: the configuration that holds from now on; a bad file changes nothing."""
    try:
        new = read()
        check_keys(new, config)
    except ConfigError as error:
        log_event("reload-failed", detail=repr(str(error)), revision=config.settings.revision)
        return config
    # Where an instance is and what it is called is the same until its next start, and so are its limits.
    fixed = ("name", "listen", "operator", "zones", "sockets")
    kept = [key for key in fixed if getattr(new, key) != getattr(config, key)]
    settings = dataclasses.replace(new.settings, revision=config.settings.revision)
    terms = (settings, new.max_open, new.connect_timeout)
    changed = terms != (config.settings, config.max_open, config.connect_timeout)
    if changed:
        settings = dataclasses.replace(settings, revision=settings.revision + 1)
        told = for_decisions(settings, processor is None or processor.part.own_links)
        dispatcher.post(Settle(told, new.max_open, new.connect_timeout))
        if processor is not None:
            processor.settle(told)
        if store is not None:
            store.settle(settings)
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
    if (new.extras and new.extras.fleet) != (config.extras and config.extras.fleet):
        kept.append("fleet")
    log_event(
        "reloaded",
        board=new.board,
        revision=settings.revision,
        settings="changed" if changed else "same",
        classes=",".join(kind.name for kind in settings.classes),
        restart_needed_for=",".join(kept) or "nothing",
    )
    if member is not None:
        member.hang_up()
    if new.board != config.board:
        board.post(Moved(new.board))
    held = {key: getattr(config, key) for key in (*fixed, "seed", "known", "known_number")}
    return dataclasses.replace(new, settings=settings, **held)


class Service:
    """The actor of the service's state: feeds the machine and carries out what it asks for."""

    def __init__(
        self,
        config: Config,
        read: Callable[[], Config],
        dispatcher: Dispatcher,
        board: DiscoveryClient,
        callers: Callers,
        store: Store | None,
        processor: ExternalProcessorServer | None,
        member: Member | None = None,
        tier: TierMember | None = None,
    ) -> None:
        self.config, self.read = config, read
        self.member, self.tier = member, tier
        self.dispatcher, self.board, self.callers = dispatcher, board, callers
        self.store, self.processor = store, processor
        self.machine = Machine()
        callers.client_connections.ready = lambda: self.machine.ready
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[machine.Event] = asyncio.Queue()
        self.asked: dict[int, asyncio.Future[tuple[int, str]]] = {}
        self.numbers = itertools.count(1)
        self.over: asyncio.Task[None] | None = None
        self.found: Found | None = None
        self.meeting: Meeting | None = None
        self.channel: Channel | None = None  # to the predecessor, or to the successor that was welcomed
        self.following: asyncio.Task[None] | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.joining: asyncio.Task[None] | None = None
        self.leasing: asyncio.Task[None] | None = None
        self.asking: dict[int, Channel] = {}

    def post(self, event: machine.Event) -> None:
        self.mailbox.put_nowait(event)

    async def ask(self, path: str, body: bytes) -> tuple[int, str]:
        """The operator's call of that path: its status and text."""
        if path == READY:
            return (200, "ready") if self.machine.ready else (503, self.machine.phase.value)
        if path == FLEET:
            part = self.member or self.tier
            return (200, part.status()) if part is not None else (404, "no fleet is set")
        if path in (VERSIONS, PROPOSE, VOTERS):
            if self.member is None or self.member.part.agreement is None:
                return 404, "no agreement is set"
            if self.member.agreement is None:
                return 503, "this process is no member: its successor is, or it joins just now"
            return self.member.agreement.ask(path, body)
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
                self.callers.client_connections.leave(on)
            case machine.RefuseSetUps(on):
                self.dispatcher.closing = on
            case machine.StopListening():
                self.callers.close()
                if self.meeting is not None:
                    self.meeting.close(unlink=self.machine.beside is not machine.Beside.TAKEN)
            case machine.SetDue(due, delay):
                self.loop.call_later(delay, self.post, due)
            case machine.TellWhenOver():
                self.over = self.loop.create_task(self._tell_when_over(), name="all over")
            case machine.Reload():
                self.config = reload(
                    self.config,
                    self.read,
                    self.dispatcher,
                    self.board,
                    self.processor,
                    self.store,
                    self.member,
                )
            case machine.CloseFronts():
                if self.processor is not None:
                    self.processor.closing()  # fronts are told on their streams: no time to learn of it
            case machine.Tell(phase, by):
                log_event("service-state", state=phase.value, by=by, calls=len(self.dispatcher.calls))
                if phase is machine.Phase.STOPPING:
                    self._depart()
            case _:
                self._act_on_upgrade(action)

    def _depart(self) -> None:
        """Say goodbye to the fleet, flat or by control nodes."""
        for part in (self.member, self.tier):
            if part is not None:
                part.depart()

    async def _tell_when_over(self) -> None:
        await self.dispatcher.idle.wait()
        if self.processor is not None:
            await self.processor.stop()
        self.post(machine.AllOver())

    # ---- upgrade ----------------------------------------------------------------------------------------

    def asked_for(self, channel: Channel, hello: Hello) -> None:
        """A second process came to the meeting place."""
        if hello.name != self.config.name:
            channel.send(TurnedAway(f"{self.config.name} is in service here, {hello.name} asks"))
            channel.close()
            return
        number = next(self.numbers)
        self.asking[number] = channel
        self.post(machine.SuccessorAsks(number))

    def _act_on_upgrade(self, action: machine.Action) -> None:
        match action:
            case machine.OpenMeeting():
                if self.meeting is not None:
                    self.meeting.open()
            case machine.TurnAway(ask, reason):
                channel = self.asking.pop(ask)
                channel.send(TurnedAway(reason))
                channel.close()
                log_event("upgrade", step="turned-away", detail=repr(reason))
            case machine.WelcomeIt(ask):
                self.channel = self.asking.pop(ask)
                listener = self.callers.socket
                assert listener is not None
                self.channel.send(Welcome(len(self.callers.client_connections.open)), listener.fileno())
                self.following = self.loop.create_task(self._hear_successor(self.channel), name="successor")
                log_event("upgrade", step="welcomed")
            case machine.Yield():
                self._yield()
            case machine.MoveOut():
                if self.channel is not None:
                    log_event("upgrade", step="moving", links=len(self.callers.client_connections.open))
                    self.dispatcher.post(ColdShare(0.0))
                    self.channel.send(Moving())
                    self.callers.move_out()
            case machine.AcceptAgain():
                log_event("upgrade", step="accepting-again")
                self.dispatcher.post(ColdShare(1.0))
                self.accepting = self.loop.create_task(self._accept_again(), name="accept")
            case machine.LetGoOfSuccessor():
                self.channel = None
                self.callers.successor_gone()
            case machine.GiveBackIt():
                if self.channel is not None:
                    self.channel.send(GiveBack())
            case machine.LetGoOfPredecessor():
                self.channel = None
                log_event("upgrade", step="alone")
                self.dispatcher.post(ColdShare(1.0))
                self.callers.orphaned()

    def _yield(self) -> None:
        assert self.channel is not None
        if self.member is not None:
            self.member.retire()  # before the word that its address is free
        if self.tier is not None:
            self.tier.retire()
        self.callers.yield_to(self.channel.send)
        self.dispatcher.post(ColdShare(BESIDE))
        if self.meeting is not None:
            self.meeting.close(unlink=False)
        self.channel.send(Taken())
        log_event("upgrade", step="yielded", links=len(self.callers.client_connections.open))

    async def _accept_again(self) -> None:
        await self.callers.accept()
        self._join()

    def _join(self) -> None:
        if self.member is not None:
            self.joining = self.loop.create_task(self.member.join(), name="fleet")
        if self.tier is not None:
            self.leasing = self.loop.create_task(self.tier.join(), name="control tier")

    async def _hear_successor(self, channel: Channel) -> None:
        while (heard := await channel.heard.get()) is not None:
            match heard[0]:
                case Take():
                    self.post(machine.SuccessorTakes())
                case GiveBack():
                    self.post(machine.SuccessorGivesBack())
                case Left() as left:
                    self.callers.left(left)
        self.post(machine.SuccessorGone())

    async def _hear_predecessor(self, channel: Channel) -> None:
        while (heard := await channel.heard.get()) is not None:
            frame, descriptor = heard
            match frame:
                case Moving():
                    self.dispatcher.post(ColdShare(1.0))
                case MovedLink() | MovedCalls():
                    await self.callers.move_in(frame, descriptor)
                case Said():
                    self.callers.said(frame)
        self.post(machine.PredecessorGone())

    async def find(self, environment: Mapping[str, str]) -> None:
        """Look for a process in service that hands over; raises Refusal if it does not want to."""
        path = meeting_place(environment, self.config.listen) if self.config.operator is not None else None
        if path is not None:
            self.meeting = Meeting(path, self.asked_for)
            hello = Hello(VERSION, self.config.name, str(self.config.listen))
            self.found = await find_predecessor(path, hello)
            if self.found is not None:
                self.dispatcher.handle_now(ColdShare(BESIDE))

    async def listen(self) -> None:
        """Open the callers' listener: the predecessor's, where there is one, or a new one."""
        if self.found is None:
            # Where nobody could find this process, a second one may only share its address.
            self.callers.bind(self.config.listen, self.config.operator is not None and self.meeting is None)
        else:
            self.post(machine.PredecessorFound())
            await self._take(self.found)
        await self.callers.accept()
        self._join()
        self.post(machine.Listening())

    async def _take(self, found: Found) -> None:
        self.callers.socket, self.channel = found.listener, found.channel
        self.callers.beside(found.channel.send, found.links)
        found.channel.send(Take())
        try:
            async with asyncio.timeout(TAKE_LIMIT):
                heard = await found.channel.heard.get()
        except TimeoutError:
            heard = None
        if heard is not None and not isinstance(heard[0], Taken):
            raise OSError(f"the process in service said {type(heard[0]).__name__}")
        log_event("upgrade", step="took", links=found.links)
        if heard is None:
            # Without a word it is dead or as good as dead: its socket is here, and its queue with it.
            found.channel.close(CloseReason.SILENT)
            self.post(machine.PredecessorGone())
            return
        self.following = self.loop.create_task(self._hear_predecessor(found.channel), name="predecessor")

    def close(self) -> None:
        if self.meeting is not None:
            self.meeting.close(unlink=self.machine.beside is not machine.Beside.TAKEN)
        if self.channel is not None:
            self.channel.close()


def turned_on(
    config: Config, settings: Settings, dispatcher: Dispatcher
) -> tuple[Store | None, ExternalProcessorServer | None, Member | None]:
    """What the extras file turns on; the libraries come with it."""
    store: Store | None = None
    processor: ExternalProcessorServer | None = None
    member: Member | None = None
    if config.extras is not None and (state := config.extras.learned_state) is not None:
        from martentide.net.learned import Store

        store = Store(state.folder, state.pace(), config.settings, dispatcher, config.seed)
    if config.extras is not None and (part := config.extras.external_processor) is not None:
        from martentide.net.extproc.server import ExternalProcessorServer

        processor = ExternalProcessorServer(part, settings, dispatcher, config.seed)
    if config.extras is not None and (fleet := config.extras.fleet) is not None:
        from martentide.net.fleet.member import Member

        member = Member(fleet, config.name, dispatcher, config.seed)
    return store, processor, member


def lease_of(config: Config, dispatcher: Dispatcher) -> TierMember | None:
    """The proxy's side of the control tier, where the extras file names one."""
    if config.extras is None or config.extras.control_tier is None:
        return None
    from martentide.net.tier.proxy import TierMember

    return TierMember(config.extras.control_tier, config.name, dispatcher, config.seed)


async def serve(config: Config, read: Callable[[], Config], environment: Mapping[str, str]) -> None:
    """Run until SIGTERM (or SIGINT) and until all that was taken by then is answered and over; ``read`` reads
    the configuration anew. Raises OSError where an address can't be listened on."""
    LOG.debug("settings", settings=config.settings, zones=config.zones, known=config.known)
    loop = asyncio.get_running_loop()
    dials = config.extras is None or config.extras.dials
    settings = for_decisions(config.settings, dials)

    def start_server(listed: Listed, dispatcher: Dispatcher) -> ServerActor:
        if not dials:
            return Unlinked(listed, dispatcher)
        return Server(listed, service.config.connect_timeout, dispatcher.post, shortage.met)

    dispatcher = Dispatcher(Controller(settings, config.seed), start_server, config.max_open)
    limit = descriptors.most(config.sockets)
    known = len(fold(config.known).servers)
    callers = Callers(descriptors.for_callers(limit, known, config.operator is not None), dispatcher.post)
    shortage = descriptors.Shortage(callers.make_room)
    loop.set_exception_handler(shortage.handle)
    board = DiscoveryClient(
        config.board, config.known_number, config.zones, config.connect_timeout, dispatcher.post, shortage.met
    )

    store, processor, member = turned_on(config, settings, dispatcher)
    tier = lease_of(config, dispatcher)
    service = Service(config, read, dispatcher, board, callers, store, processor, member, tier)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.post, machine.Terminate())
    loop.add_signal_handler(signal.SIGHUP, service.post, machine.HangUp())
    tasks = [asyncio.create_task(service.run(), name="service")]
    control: Control | None = None
    if config.operator is not None:
        from martentide.net.control import Control  # h11 comes with it

        control = Control(service.ask, descriptors.for_operator(limit))
        await control.listen(config.operator)
        for host, port in control.addresses():
            log_event("operator-listening", address=f"{host}:{port}")
    try:
        await service.find(environment)
    except Refusal as error:
        raise OSError(f"not handed over: {error}") from None
    dispatcher.apply_list(fold(config.known), ListKind.REMEMBERED)
    if store is not None:
        await store.start()
    actors: dict[str, Dispatcher | DiscoveryClient | Member | TierMember | Store | None] = {
        "decider": dispatcher, "list": board, "fleet": member, "control tier": tier, "learned state": store,
    }  # fmt: skip
    tasks += [asyncio.create_task(one.run(), name=name) for name, one in actors.items() if one is not None]
    if processor is not None:
        await processor.start()
    await service.listen()
    for host, port in callers.addresses():
        log_event("serving", name=config.name, address=f"{host}:{port}", servers=len(dispatcher.servers))
    await tasks[0]
    service.close()
    if control is not None:
        control.close()
    for task in tasks:
        task.cancel()
    if store is not None:
        await asyncio.gather(*tasks, return_exceptions=True)
        await store.stop()
    log_event("stopped")
