"""Wires the actors of one signalling proxy together, from its start to its end after SIGTERM."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from martentide.carriage import Ended, Order, Withdraw
from martentide.codec.board import Listed, Notice
from martentide.interface import Ending, ListKind, ProbeEnded, ServerState
from martentide.net.board import Board, Moved
from martentide.net.callers import Callers
from martentide.net.config import Config, ConfigError
from martentide.net.decider import Decider, Probing, ServerActor
from martentide.net.endings import LOG, log_event
from martentide.net.servers import Server
from martentide.rules import Controller

if TYPE_CHECKING:
    from martentide.net.extproc.server import ExternalProcessorServer
    from martentide.net.learned import Store

CALLERS_SHARE = 0.5  # of the descriptors: callers hold a third at most, old connections may overlap new ones
LATE_ARRIVALS = 0.9  # s after SIGTERM in which set-ups still come


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
    fixed = ("name", "listen", "settings", "zones")
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


async def serve(config: Config, read: Callable[[], Config]) -> None:
    """Run until SIGTERM (or SIGINT) and until all that was taken by then is answered and over; ``read`` reads
    the configuration anew."""
    LOG.debug("settings", settings=config.settings, zones=config.zones, known=config.known)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)

    part = config.extras.external_processor if config.extras is not None else None
    dials = part is None or part.own_links
    settings = config.settings if dials else dataclasses.replace(config.settings, may_probe=False)

    def start_server(listed: Listed, decider: Decider) -> ServerActor:
        if not dials:
            return Unlinked(listed, decider)
        return Server(listed, config.connect_timeout, decider.post)

    decider = Decider(Controller(settings, config.seed), start_server, config.max_open)
    decider.follow(fold(config.known), ListKind.REMEMBERED)
    board = Board(config.board, config.known_number, config.zones, config.connect_timeout, decider.post)
    callers = Callers(int(config.sockets * CALLERS_SHARE), decider.post)

    store: Store | None = None
    if config.extras is not None and (state := config.extras.learned_state) is not None:
        from martentide.net.learned import Store

        store = Store(state.folder, state.pace(), config.settings, decider, config.seed)
        await store.start()
    processor: ExternalProcessorServer | None = None
    if part is not None:
        from martentide.net.extproc.server import ExternalProcessorServer  # its libraries come with it

        processor = ExternalProcessorServer(part, settings, decider, config.seed)

    def hang_up() -> None:
        nonlocal config
        config = reload(config, read, board, processor, store)

    loop.add_signal_handler(signal.SIGHUP, hang_up)
    tasks = [
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
    await stop.wait()
    log_event("stopping", calls=len(decider.calls))
    if processor is not None:
        processor.closing()  # fronts are told on their streams, and need no time to learn of it
    # Callers do not know yet: what still comes on new and open connections is served like any other call.
    await asyncio.sleep(LATE_ARRIVALS)
    callers.close()
    decider.closing = True
    await decider.idle.wait()
    if processor is not None:
        await processor.stop()
    await asyncio.sleep(0.05)  # the last answers leave the parties' mailboxes
    for task in tasks:
        task.cancel()
    if store is not None:
        await asyncio.gather(*tasks, return_exceptions=True)
        await store.stop()
    log_event("stopped")
