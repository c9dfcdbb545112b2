"""Creates and connects the actors of one signalling proxy and runs its service life cycle.

The life cycle covers start, reload on SIGHUP, drains, upgrades to a successor process and the stop on
SIGTERM.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import signal
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from martentide.attempt_messages import Ended, InputProcessed, Order, Withdraw
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
from martentide.lifecycle.machine import StateMachine
from martentide.net import descriptors
from martentide.net.callers import Callers
from martentide.net.close_reason import LOG, CloseReason, log_event, logged_name
from martentide.net.config import Config, ConfigError, check_keys
from martentide.net.discovery import AddressChanged, DiscoveryClient
from martentide.net.dispatcher import ApplySettings, Dispatcher, Probing, ServerActor
from martentide.net.handover import (
    Channel,
    HandoverRefused,
    HandoverSocket,
    Predecessor,
    find_predecessor,
    handover_socket_path,
)
from martentide.net.memory_budget import MemoryBudget, budget_bytes
from martentide.net.servers import Server
from martentide.rules import Controller

if TYPE_CHECKING:
    from martentide.net.control import OperatorListener
    from martentide.net.extproc.server import ExternalProcessorServer
    from martentide.net.fleet.member import Member
    from martentide.net.learned import Store
    from martentide.net.tier.proxy import TierMember

# Fraction of a cold server's limit that each of the two processes may use until the old one is asked to end.
COLD_SHARE_DURING_UPGRADE = 0.5
CHANNEL_CLOSE_TIMEOUT = 1.0  # s for the other process to read what was sent, and to close its side
TAKE_TIMEOUT = 1.0  # s for the predecessor to stop accepting connections


def merge_notices(notices: tuple[Notice, ...]) -> Notice:
    """Apply the notices in order and return the result as one complete notice, without gone servers."""
    servers: dict[str, Listed] = {}
    for notice in notices:
        if notice.whole:
            servers.clear()
        for listed in notice.servers:
            servers[listed.entry.name] = listed
    present = tuple(listed for listed in servers.values() if listed.entry.state is not ServerState.GONE)
    return Notice(max((notice.number for notice in notices), default=0), True, present)


class UndialledServer:
    """Replaces the server actor where this process opens no server connections.

    Fronts that use this process as their external processor then reach the servers themselves. Every order or
    probe that arrives here fails as unreachable.
    """

    def __init__(self, listed: Listed, dispatcher: Dispatcher) -> None:
        self.listed, self.dispatcher = listed, dispatcher

    def post(self, item: Order | Withdraw | InputProcessed | Probing | Listed | ApplySettings) -> None:
        """Report a probe or an attempt as failed; ignore all other items."""
        if isinstance(item, Probing):
            name = self.listed.entry.name
            self.dispatcher.post(ProbeEnded(name, Ending.UNREACHABLE, False, 0.0, None))
        elif isinstance(item, Order):
            end = Ended(item.ref, item.attempt, item.server, Ending.UNREACHABLE, False, 0.0, None)
            self.dispatcher.post(end)


def controller_settings(settings: Settings, dials: bool) -> Settings:
    """Return the settings for the controller; without own server connections, health checks are disabled."""
    return settings if dials else dataclasses.replace(settings, may_probe=False)


def reload(
    config: Config,
    read: Callable[[], Config],
    dispatcher: Dispatcher,
    discovery: DiscoveryClient,
    processor: ExternalProcessorServer | None = None,
    store: Store | None = None,
    member: Member | None = None,
) -> Config:
    """Reload the configuration on SIGHUP and return the one now in force.

    An invalid file changes nothing. Changes that need a restart are logged and not applied.
    """
    try:
        new = read()
        check_keys(new, config)
    except ConfigError as error:
        log_event("reload-failed", detail=repr(str(error)), revision=config.settings.revision)
        return config
    # The identity, addresses and limits of an instance can change only at a restart.
    fixed_keys = ("name", "listen", "operator", "zones", "sockets")
    restart_needed = [key for key in fixed_keys if getattr(new, key) != getattr(config, key)]
    settings = dataclasses.replace(new.settings, revision=config.settings.revision)
    new_values = (settings, new.max_open, new.connect_timeout)
    changed = new_values != (config.settings, config.max_open, config.connect_timeout)
    if changed:
        settings = dataclasses.replace(settings, revision=settings.revision + 1)
        for_controller = controller_settings(settings, processor is None or processor.config.own_links)
        dispatcher.post(ApplySettings(for_controller, new.max_open, new.connect_timeout))
        if processor is not None:
            processor.apply_settings(for_controller)
        if store is not None:
            store.change_settings(settings)
    part = new.extras.external_processor if new.extras is not None else None
    if processor is not None and part is not None:
        restart_needed += [f"external-processor.{name}" for name in processor.apply_config(part)]
    elif (processor is None) != (part is None):
        restart_needed.append("external-processor")
    state = new.extras.learned_state if new.extras is not None else None
    if store is not None and state is not None:
        store.change_folder(state.folder, state.pace())
    elif (store is None) != (state is None):
        restart_needed.append("learned-state")
    if (new.extras and new.extras.fleet) != (config.extras and config.extras.fleet):
        restart_needed.append("fleet")
    log_event(
        "reloaded",
        board=new.board,
        revision=settings.revision,
        settings="changed" if changed else "same",
        classes=",".join(call_class.name for call_class in settings.classes),
        restart_needed_for=",".join(restart_needed) or "nothing",
    )
    if member is not None:
        member.handle_sighup()
    if new.board != config.board:
        discovery.post(AddressChanged(new.board))
    unchanged = {key: getattr(config, key) for key in (*fixed_keys, "seed", "known", "known_number")}
    return dataclasses.replace(new, settings=settings, **unchanged)


class Service:
    """The actor that feeds events to the state machine and carries out the actions it returns."""

    def __init__(
        self,
        config: Config,
        read: Callable[[], Config],
        dispatcher: Dispatcher,
        discovery: DiscoveryClient,
        callers: Callers,
        store: Store | None,
        processor: ExternalProcessorServer | None,
        member: Member | None = None,
        tier: TierMember | None = None,
    ) -> None:
        self.config, self.read_config = config, read
        self.member, self.tier = member, tier
        self.dispatcher, self.discovery, self.callers = dispatcher, discovery, callers
        self.store, self.processor = store, processor
        self.machine = StateMachine()
        callers.client_connections.ready = lambda: self.machine.ready
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[machine.Event] = asyncio.Queue()
        self.pending_calls: dict[int, asyncio.Future[tuple[int, str]]] = {}
        self.request_numbers = itertools.count(1)
        self.idle_task: asyncio.Task[None] | None = None
        self.predecessor: Predecessor | None = None
        self.handover_socket: HandoverSocket | None = None
        self.channel: Channel | None = None  # to the predecessor, or to the accepted successor
        self.channel_reader: asyncio.Task[None] | None = None
        self.accept_task: asyncio.Task[None] | None = None
        self.fleet_join_task: asyncio.Task[None] | None = None
        self.tier_join_task: asyncio.Task[None] | None = None
        self.pending_successors: dict[int, Channel] = {}
        self.predecessor_gone = asyncio.Event()  # set when the last frame of the predecessor was handled

    def post(self, event: machine.Event) -> None:
        """Queue an event for the state machine."""
        self.mailbox.put_nowait(event)

    async def handle_call(self, path: str, body: bytes) -> tuple[int, str]:
        """Carry out an operator's call and return its HTTP status and text."""
        if path == READY:
            return (200, "ready") if self.machine.ready else (503, self.machine.phase.value)
        if path == FLEET:
            part = self.member or self.tier
            return (200, part.status()) if part is not None else (404, "no fleet is set")
        if path in (VERSIONS, PROPOSE, VOTERS):
            if self.member is None or self.member.part.agreement is None:
                return 404, "no agreement is set"
            if self.member.agreement is None:
                return 503, "this process is not a member: its successor is, or it is still joining"
            return self.member.agreement.handle_operator_call(path, body)
        number = next(self.request_numbers)
        answer: asyncio.Future[tuple[int, str]] = self.loop.create_future()
        self.pending_calls[number] = answer
        self.post(machine.OutOfService(number) if path == OUT_OF_SERVICE else machine.InService(number))
        try:
            return await answer
        finally:
            del self.pending_calls[number]

    async def run(self) -> None:
        """Process events until the state machine has ended."""
        while self.machine.phase is not machine.Phase.ENDED:
            event = await self.mailbox.get()
            for action in self.machine.handle(event):
                try:
                    self._act(action)
                except Exception:  # a failure in one component must not prevent an orderly stop of the others
                    LOG.exception("internal-error", action=logged_name(action))

    def _act(self, action: machine.Action) -> None:
        match action:
            case machine.Answer(call, status, text):
                if (pending := self.pending_calls.get(call)) is not None and not pending.done():
                    pending.set_result((status, text))
            case machine.CloseIdleConnections(enabled):
                self.callers.client_connections.set_draining(enabled)
            case machine.RefuseSetUps(enabled):
                self.dispatcher.closing = enabled
            case machine.StopListening():
                self.callers.close()
                if self.handover_socket is not None:
                    self.handover_socket.close(
                        unlink=self.machine.upgrade_peer is not machine.UpgradePeer.ACCEPTING_SUCCESSOR
                    )
            case machine.StartTimer(timer, delay):
                self.loop.call_later(delay, self.post, timer)
            case machine.AwaitAllCallsEnded():
                self.idle_task = self.loop.create_task(self._report_when_idle(), name="all over")
            case machine.Reload():
                self.config = reload(
                    self.config,
                    self.read_config,
                    self.dispatcher,
                    self.discovery,
                    self.processor,
                    self.store,
                    self.member,
                )
            case machine.CloseFronts():
                if self.processor is not None:
                    # announced on the open streams, so fronts need no grace period
                    self.processor.begin_shutdown()
            case machine.ReportPhaseChange(phase, by):
                log_event("service-state", state=phase.value, by=by, calls=len(self.dispatcher.calls))
                if phase is machine.Phase.STOPPING:
                    self._leave_fleet()
            case _:
                self._act_on_upgrade(action)

    def _leave_fleet(self) -> None:
        """Announce the departure to the fleet or to the control tier."""
        for part in (self.member, self.tier):
            if part is not None:
                part.depart()

    async def _report_when_idle(self) -> None:
        """Post AllCallsEnded once no call is left: neither an own one nor one that the predecessor owns.

        The predecessor's answers reach its callers through the connections of this process.
        """
        await self._calls_ended()
        if self.machine.upgrade_peer is machine.UpgradePeer.PREDECESSOR and self.channel is not None:
            # The predecessor may be moving connections here. It stops at the end of the channel, and closes
            # its side when all that it sent can be read.
            self.channel.finish_sending()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHANNEL_CLOSE_TIMEOUT):
                    await self.predecessor_gone.wait()
            await self._calls_ended()
        if self.processor is not None:
            await self.processor.stop()
        self.post(machine.AllCallsEnded())

    async def _calls_ended(self) -> None:
        while not (
            self.dispatcher.idle.is_set() and self.callers.client_connections.no_predecessor_calls.is_set()
        ):
            await self.dispatcher.idle.wait()
            await self.callers.predecessor_calls_ended()

    async def flush_channel(self) -> None:
        """Wait until the other process of an upgrade can read all that was sent to it, or time is over."""
        if self.channel is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHANNEL_CLOSE_TIMEOUT):
                    await self.channel.flushed.wait()

    # ---- upgrade ----------------------------------------------------------------------------------------

    def successor_connected(self, channel: Channel, hello: Hello) -> None:
        """Handle the Hello of a second process; reject it if its proxy name differs."""
        if hello.name != self.config.name:
            channel.send(
                TurnedAway(f"{self.config.name} is in service here, the request is from {hello.name}")
            )
            channel.close()
            return
        number = next(self.request_numbers)
        self.pending_successors[number] = channel
        self.post(machine.SuccessorRequested(number))

    def _act_on_upgrade(self, action: machine.Action) -> None:
        match action:
            case machine.OpenHandoverSocket():
                if self.handover_socket is not None:
                    self.handover_socket.open()
            case machine.RejectSuccessor(request, reason):
                channel = self.pending_successors.pop(request)
                channel.send(TurnedAway(reason))
                channel.close()
                log_event("upgrade", step="turned-away", detail=repr(reason))
            case machine.AcceptSuccessor(request):
                self.channel = self.pending_successors.pop(request)
                listener = self.callers.socket
                assert listener is not None
                self.channel.send(
                    Welcome(len(self.callers.client_connections.open_set_ups)), listener.fileno()
                )
                self.channel_reader = self.loop.create_task(
                    self._read_successor(self.channel), name="successor"
                )
                log_event("upgrade", step="welcomed")
            case machine.Yield():
                self._yield_listener()
            case machine.MoveOut():
                if self.channel is not None:
                    log_event(
                        "upgrade", step="moving", links=len(self.callers.client_connections.open_set_ups)
                    )
                    self.dispatcher.post(ColdShare(0.0))
                    self.channel.send(Moving())
                    self.callers.move_out()
            case machine.ResumeAccepting():
                log_event("upgrade", step="accepting-again")
                self.dispatcher.post(ColdShare(1.0))
                self.accept_task = self.loop.create_task(self._resume_accepting(), name="accept")
            case machine.CleanUpAfterSuccessor():
                self.channel = None
                self.callers.successor_gone()
            case machine.ReturnListener():
                if self.channel is not None:
                    self.channel.send(GiveBack())
            case machine.CleanUpAfterPredecessor():
                self.channel = None
                log_event("upgrade", step="alone")
                self.dispatcher.post(ColdShare(1.0))
                self.callers.predecessor_gone()
                self.predecessor_gone.set()

    def _yield_listener(self) -> None:
        assert self.channel is not None
        if self.member is not None:
            self.member.retire()  # before Taken notifies the successor that the fleet address is free
        if self.tier is not None:
            self.tier.retire()
        self.callers.hand_over_accepting(self.channel.send)
        self.dispatcher.post(ColdShare(COLD_SHARE_DURING_UPGRADE))
        if self.handover_socket is not None:
            self.handover_socket.close(unlink=False)
        self.channel.send(Taken())
        log_event("upgrade", step="yielded", links=len(self.callers.client_connections.open_set_ups))

    async def _resume_accepting(self) -> None:
        await self.callers.accept()
        self._join_fleet()

    def _join_fleet(self) -> None:
        if self.member is not None:
            self.fleet_join_task = self.loop.create_task(self.member.join(), name="fleet")
        if self.tier is not None:
            self.tier_join_task = self.loop.create_task(self.tier.join(), name="control tier")

    async def _read_successor(self, channel: Channel) -> None:
        while (received := await channel.received.get()) is not None:
            match received[0]:
                case Take():
                    self.post(machine.SuccessorReady())
                case GiveBack():
                    self.post(machine.SuccessorReturnedListener())
                case Left() as left:
                    self.callers.caller_left(left)
        self.post(machine.SuccessorGone())

    async def _read_predecessor(self, channel: Channel) -> None:
        while (received := await channel.received.get()) is not None:
            frame, descriptor = received
            match frame:
                case Moving():
                    self.dispatcher.post(ColdShare(1.0))
                case MovedLink() | MovedCalls():
                    await self.callers.move_in(frame, descriptor)
                case Said():
                    self.callers.deliver_from_predecessor(frame)
        self.post(machine.PredecessorGone())

    async def connect_predecessor(self, environment: Mapping[str, str]) -> None:
        """Connect to a process in service at this address, if there is one.

        Raises HandoverRefused if that process does not hand over.
        """
        path = (
            handover_socket_path(environment, self.config.listen)
            if self.config.operator is not None
            else None
        )
        if path is not None:
            self.handover_socket = HandoverSocket(path, self.successor_connected)
            hello = Hello(VERSION, self.config.name, str(self.config.listen))
            self.predecessor = await find_predecessor(path, hello)
            if self.predecessor is not None:
                self.dispatcher.handle_now(ColdShare(COLD_SHARE_DURING_UPGRADE))

    async def listen(self) -> None:
        """Open the callers' listener, inherited from the predecessor if there is one, and start accepting.

        Raises OSError if the address can't be listened on.
        """
        if self.predecessor is None:
            # Without a handover socket a successor can't find this process, so the port must be shareable.
            self.callers.bind(
                self.config.listen, self.config.operator is not None and self.handover_socket is None
            )
        else:
            self.post(machine.PredecessorFound())
            await self._take_over(self.predecessor)
        await self.callers.accept()
        self._join_fleet()
        self.post(machine.Listening())

    async def _take_over(self, predecessor: Predecessor) -> None:
        self.callers.socket, self.channel = predecessor.listener, predecessor.channel
        self.callers.share_with_predecessor(predecessor.channel.send, predecessor.connections)
        predecessor.channel.send(Take())
        try:
            async with asyncio.timeout(TAKE_TIMEOUT):
                received = await predecessor.channel.received.get()
        except TimeoutError:
            received = None
        if received is not None and not isinstance(received[0], Taken):
            raise OSError(
                f"the process in service replied with an unexpected {type(received[0]).__name__} frame"
            )
        log_event("upgrade", step="took", links=predecessor.connections)
        if received is None:
            # A predecessor that does not reply is treated as dead; this process already holds the listening
            # socket, and with it the queue of connections to accept.
            predecessor.channel.close(CloseReason.SILENT)
            self.post(machine.PredecessorGone())
            return
        self.channel_reader = self.loop.create_task(
            self._read_predecessor(predecessor.channel), name="predecessor"
        )

    def close(self) -> None:
        """Close the handover socket and the channel to the other process."""
        if self.handover_socket is not None:
            self.handover_socket.close(
                unlink=self.machine.upgrade_peer is not machine.UpgradePeer.ACCEPTING_SUCCESSOR
            )
        if self.channel is not None:
            self.channel.close()


def create_optional_actors(
    config: Config, settings: Settings, dispatcher: Dispatcher
) -> tuple[Store | None, ExternalProcessorServer | None, Member | None]:
    """Create the store, external processor and fleet member that the extras file enables.

    Their modules are imported only when enabled, because they need additional libraries.
    """
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


def create_tier_member(config: Config, dispatcher: Dispatcher) -> TierMember | None:
    """Create the proxy's member of the control tier, or return None if the extras file configures none."""
    if config.extras is None or config.extras.control_tier is None:
        return None
    from martentide.net.tier.proxy import TierMember

    return TierMember(config.extras.control_tier, config.name, dispatcher, config.seed)


async def serve(config: Config, read: Callable[[], Config], environment: Mapping[str, str]) -> None:
    """Run the proxy until SIGTERM or SIGINT, and then until all accepted calls are answered and have ended.

    ``read`` loads the configuration again for a reload. Raises OSError if an address can't be listened on or
    a process in service refuses to hand over.
    """
    LOG.debug("settings", settings=config.settings, zones=config.zones, known=config.known)
    loop = asyncio.get_running_loop()
    dials = config.extras is None or config.extras.dials
    settings = controller_settings(config.settings, dials)

    def start_server(listed: Listed, dispatcher: Dispatcher) -> ServerActor:
        if not dials:
            return UndialledServer(listed, dispatcher)
        return Server(listed, service.config.connect_timeout, dispatcher.post, shortage.handle_error)

    dispatcher = Dispatcher(Controller(settings, config.seed), start_server, config.max_open)
    descriptor_limit = descriptors.process_limit(config.sockets)
    known_servers = len(merge_notices(config.known).servers)
    callers = Callers(
        descriptors.caller_limit(descriptor_limit, known_servers, config.operator is not None),
        dispatcher.post,
        MemoryBudget(budget_bytes(config.memory_mb)),
    )
    shortage = descriptors.DescriptorShortage(callers.make_room)
    loop.set_exception_handler(shortage.handle)
    discovery = DiscoveryClient(
        config.board,
        config.known_number,
        config.zones,
        config.connect_timeout,
        dispatcher.post,
        shortage.handle_error,
    )

    store, processor, member = create_optional_actors(config, settings, dispatcher)
    tier = create_tier_member(config, dispatcher)
    service = Service(config, read, dispatcher, discovery, callers, store, processor, member, tier)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.post, machine.Terminate())
    loop.add_signal_handler(signal.SIGHUP, service.post, machine.ReloadRequested())
    tasks = [asyncio.create_task(service.run(), name="service")]
    control: OperatorListener | None = None
    if config.operator is not None:
        from martentide.net.control import OperatorListener  # needs h11

        control = OperatorListener(service.handle_call, descriptors.operator_limit(descriptor_limit))
        await control.listen(config.operator)
        for host, port in control.addresses():
            log_event("operator-listening", address=f"{host}:{port}")
    try:
        await service.connect_predecessor(environment)
    except HandoverRefused as error:
        raise OSError(f"not handed over: {error}") from None
    dispatcher.apply_list(merge_notices(config.known), ListKind.REMEMBERED)
    if store is not None:
        await store.start()
    actors: dict[str, Dispatcher | DiscoveryClient | Member | TierMember | Store | None] = {
        "decider": dispatcher, "list": discovery, "fleet": member, "control tier": tier,
        "learned state": store,
    }  # fmt: skip
    tasks += [
        asyncio.create_task(actor.run(), name=name) for name, actor in actors.items() if actor is not None
    ]
    if processor is not None:
        await processor.start()
    await service.listen()
    for host, port in callers.addresses():
        log_event("serving", name=config.name, address=f"{host}:{port}", servers=len(dispatcher.servers))
    await tasks[0]
    await service.flush_channel()
    service.close()
    if control is not None:
        control.close()
    for task in tasks:
        task.cancel()
    if store is not None:
        await asyncio.gather(*tasks, return_exceptions=True)
        await store.stop()
    log_event("stopped")
