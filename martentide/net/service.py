"""Wires the actors of one signalling proxy together, from its start to its end after SIGTERM."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from collections.abc import Callable

from martentide.codec.board import Listed, Notice
from martentide.interface import ListKind, ServerState
from martentide.net.board import Board, Moved
from martentide.net.callers import Callers
from martentide.net.config import Config, ConfigError
from martentide.net.decider import Decider, ServerActor
from martentide.net.endings import LOG, log_event
from martentide.net.servers import Server
from martentide.rules import Controller

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


def reload(config: Config, read: Callable[[], Config], board: Board) -> Config:
    """SIGHUP: the configuration that holds from now on; a bad file changes nothing."""
    try:
        new = read()
    except ConfigError as error:
        log_event("reload-failed", detail=repr(str(error)))
        return config
    # What an instance is born with (name, address, seed, settings) is the same until its next start.
    fixed = ("name", "listen", "settings", "zones")
    kept = [key for key in fixed if getattr(new, key) != getattr(config, key)]
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

    def start_server(listed: Listed, decider: Decider) -> ServerActor:
        return Server(listed, config.connect_timeout, decider.post)

    decider = Decider(Controller(config.settings, config.seed), start_server, config.max_open)
    decider.follow(fold(config.known), ListKind.REMEMBERED)
    board = Board(config.board, config.known_number, config.zones, config.connect_timeout, decider.post)
    callers = Callers(int(config.sockets * CALLERS_SHARE), decider.post)

    def hang_up() -> None:
        nonlocal config
        config = reload(config, read, board)

    loop.add_signal_handler(signal.SIGHUP, hang_up)
    tasks = [
        asyncio.create_task(decider.run(), name="decider"),
        asyncio.create_task(board.run(), name="list"),
    ]
    await callers.listen(config.listen)
    for host, port in callers.addresses():
        log_event("serving", name=config.name, address=f"{host}:{port}", servers=len(decider.servers))
    await stop.wait()
    log_event("stopping", calls=len(decider.calls))
    # Callers do not know yet: what still comes on new and open connections is served like any other call.
    await asyncio.sleep(LATE_ARRIVALS)
    callers.close()
    decider.closing = True
    await decider.idle.wait()
    await asyncio.sleep(0.05)  # the last answers leave the parties' mailboxes
    log_event("stopped")
    for task in tasks:
        task.cancel()
