"""Two events that cross during an upgrade, and the time in which answers must be out, on real processes.

What each crossing is forced by stands in ``docs/design/crossings.md``.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from martentide.codec.messages import Cause, Code, Message, Type, split, write_message, write_release
from martentide.handover.wire import MovedLink
from martentide.net.callers import Callers
from martentide.net.client_connections import ClientConnections
from martentide.net.close_reason import CloseReason
from martentide.net.dispatcher import ANSWER_MARGIN
from martentide.net.links import Link
from tests.net.support import LIMIT, Program, Wire
from tests.net.test_gone_clients import WAYS_TO_LEAVE, A, B
from tests.net.test_rules_on_sockets import set_up_call

LEFT = 2000  # ms that the callers of these tests wait
PROGRESS = 6
SMALL_BUFFER = 4096  # bytes in the system for a peer that reads nothing


@contextmanager
def upgrade(old: Program) -> Iterator[Program]:
    new = old.start_successor()
    try:
        yield new
    finally:
        new.kill()


def told_time(set_up: Message) -> int:
    """The ms that a session server was told the attempt has."""
    return int(set_up.text(Code.TIME_LEFT) or "")


def ends_without_answer(caller: Wire, call: bytes) -> None:
    final = caller.receive(Type.ANSWER, Type.RELEASE)
    assert (final.type, final.call) == (Type.RELEASE, call)


# ---- the time of an answer ------------------------------------------------------------------------------


def test_an_attempt_that_nobody_answers_ends_while_its_caller_waits(tmp_path: Path) -> None:
    """Guards against a final answer that meets its caller's give-up: a request lost at each time-out."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A, left=LEFT)
        assert told_time(server.receive(Type.SET_UP)) <= LEFT - ANSWER_MARGIN
        ends_without_answer(caller, A)


def test_an_attempt_ends_in_time_in_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    """One call is out in the old process as its caller's connection moves, one is offered to the new one."""
    with Program(tmp_path, operated=True) as old:
        moved, server = old.caller(), old.servers[0].accept()
        moved.set_up(A, left=LEFT)
        assert told_time(server.receive(Type.SET_UP)) <= LEFT - ANSWER_MARGIN
        with upgrade(old):
            old.terminate()
            old.logged("reason=handed-over")
            fresh = old.servers[0].accept()
            moved.set_up(B, left=LEFT)
            while True:  # the first connection may be the old process's second one, beside its silent one
                try:
                    fresh.sock.settimeout(0.2)
                    set_up = fresh.receive(Type.SET_UP)
                    break
                except TimeoutError:
                    fresh = old.servers[0].accept()
            assert set_up.call == B and told_time(set_up) <= LEFT - ANSWER_MARGIN
            ends_without_answer(moved, A)
            ends_without_answer(moved, B)


# ---- the caller -----------------------------------------------------------------------------------------


@WAYS_TO_LEAVE
def test_a_caller_that_leaves_at_the_successor_has_left_its_attempt(
    tmp_path: Path, leave: Callable[[Wire], None]
) -> None:
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        caller.set_up(A, left=9000)
        server.receive(Type.SET_UP)
        server.send(PROGRESS, A)
        with upgrade(old):
            old.terminate()
            old.logged("reason=handed-over")
            leave(caller)
            assert server.receive(Type.RELEASE).call == A
            assert old.process.wait(LIMIT) == 0


@WAYS_TO_LEAVE
def test_a_caller_that_leaves_in_the_turn_of_the_hand_over_has_left_its_attempt(
    tmp_path: Path, leave: Callable[[Wire], None]
) -> None:
    """Its last bytes and SIGTERM come while the old process stands still; either may be taken first."""
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        caller.set_up(A, left=9000)
        server.receive(Type.SET_UP)
        server.send(PROGRESS, A)
        with upgrade(old):
            with old.stopped():
                leave(caller)
                old.terminate()
            assert server.receive(Type.RELEASE).call == A
            assert old.process.wait(LIMIT) == 0


# ---- one link, by itself --------------------------------------------------------------------------------


class Moving:
    """A party with one connection that is to move to a successor, which is a list here."""

    async def __aenter__(self) -> Moving:
        self.told: list[object] = []
        self.moved: list[MovedLink] = []
        self.callers = Callers(16, self.told.append)
        accepted: asyncio.Future[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Future()
        self.server = await asyncio.start_server(
            lambda *streams: accepted.set_result(streams), "127.0.0.1", 0
        )
        for listening in self.server.sockets:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        peer.setblocking(False)
        await asyncio.get_running_loop().sock_connect(peer, self.server.sockets[0].getsockname())
        self.reader, self.writer = await asyncio.open_connection(sock=peer, limit=1)
        self.callers._calling_host("127.0.0.1").add_connection(*await accepted)
        await self.until(lambda: bool(self.client_connections.open))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        self.server.close()
        for link in list(self.client_connections.open):
            link.close(CloseReason.SHUTDOWN)
        await self.until(lambda: not self.callers.calling_hosts)

    @property
    def client_connections(self) -> ClientConnections:
        return self.callers.client_connections

    @property
    def link(self) -> Link:
        return next(iter(self.client_connections.open))

    def move_out(self) -> None:
        self.callers.yield_to(lambda frame, _: self.moved.append(frame))  # type: ignore[arg-type]
        self.callers.move_out()

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT):
            while not holds():
                await asyncio.sleep(0.001)


def test_a_link_with_an_unwritten_answer_moves_once_its_caller_has_read_it() -> None:
    """Guards against an answer whose rest would come behind the successor's first one, or never."""
    answer = write_message(Type.ANSWER, A, {Code.DESCRIPTION: bytes(8000)})
    count = 20

    async def play() -> None:
        async with Moving() as moving:
            link = moving.link
            for _ in range(count):
                link.write(answer)
            assert link.blocked
            moving.move_out()
            await asyncio.sleep(0.05)  # nothing may happen, however long this is below the limit
            assert not moving.moved and link.alive
            read = bytearray()
            while len(read) < count * len(answer):
                read += await moving.reader.read(65536)
            assert len(list(split(read))) == count and not read
            await moving.until(lambda: bool(moving.moved))

    asyncio.run(play())


def test_a_give_up_on_a_paused_link_stays_in_the_system_for_the_successor() -> None:
    async def play() -> None:
        async with Moving() as moving:
            link = moving.link
            with socket.socket(fileno=socket.dup(link.descriptor)) as successor:
                link.pause()
                give_up = write_release(A, Cause.NORMAL)
                moving.writer.write(give_up)
                await moving.until(lambda: link._kernel_buffered_bytes() == len(give_up))
                moving.move_out()
                await moving.until(lambda: bool(moving.moved))
                assert moving.moved[0].begun == b"" and not moving.told
                assert successor.recv(1024) == give_up

    asyncio.run(play())


# ---- signals at each step -------------------------------------------------------------------------------

STEPS = ("welcomed", "yielded", "moving", "handed-over")


def at_step(old: Program, step: str) -> Program:
    """A second process, with the first one at that step of the hand-over or a little later."""
    if step in ("moving", "handed-over"):
        new = old.start_successor()
        old.terminate()
        old.logged(step)
        return new
    process = old.start_successor()
    old.logged(f"step={step}")
    return process


def final_or_end(caller: Wire) -> Message | None:
    """The final answer, or None where the connection ended: the caller is not left waiting."""
    try:
        return caller.receive(Type.ANSWER, Type.RELEASE)
    except (EOFError, ConnectionResetError):
        return None


def serves(program: Program, host: str) -> None:
    """A new connection is served, by whichever process is left."""
    caller = program.caller(host)
    caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
    assert caller.receive().type == Type.TEST_RESULT


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("which", ["old", "new"])
@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL])
def test_a_signal_at_a_step_of_the_hand_over_leaves_no_caller_waiting(
    tmp_path: Path, step: str, which: str, how: signal.Signals
) -> None:
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        caller.set_up(A, left=9000)
        server.receive(Type.SET_UP)
        server.send(PROGRESS, A)
        new = at_step(old, step)
        try:
            ended, left = (old, new) if which == "old" else (new, old)
            ended.process.send_signal(how)
            if how is signal.SIGKILL:
                ended.process.wait()
            else:
                server.send(Type.ANSWER, A, {Code.DESCRIPTION: b"a"})
            final = final_or_end(caller)
            if how is signal.SIGTERM and which == "old":
                assert final is not None and final.type == Type.ANSWER
            if step in ("welcomed", "yielded") or which == "old":
                serves(left, "127.0.0.2")
        finally:
            new.kill()


def test_a_connection_is_refused_by_nobody_while_signals_cross(tmp_path: Path) -> None:
    """Who connects while both stand still is accepted by one of them, once they go on."""
    with Program(tmp_path, operated=True) as old:
        server = old.servers[0].accept()
        set_up_call(old.caller(), server, A)
        with upgrade(old) as new:
            with old.stopped(), new.stopped():
                caller = old.caller("127.0.0.2")
                caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
                old.terminate()
            assert caller.receive().type == Type.TEST_RESULT
