"""Concurrent events during an upgrade of real processes, and the time limit of answers.

``docs/design/crossings.md`` describes how each test forces its events to coincide.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from martentide.codec.messages import Cause, Code, Message, Type, split, write_message, write_release
from martentide.handover.wire import MovedLink
from martentide.lifecycle.machine import FLUSH_PERIOD, LATE_ARRIVAL_PERIOD
from martentide.net.callers import Callers
from martentide.net.client_connections import ClientConnections
from martentide.net.close_reason import CloseReason
from martentide.net.dispatcher import ANSWER_MARGIN
from martentide.net.links import Link
from martentide.net.memory_budget import BYTES_PER_MB, MemoryBudget
from tests.net.support import TIMEOUT_S, Program, Wire
from tests.net.test_gone_clients import WAYS_TO_LEAVE, A, B
from tests.net.test_rules_on_sockets import set_up_call

TIME_LEFT_MS = 2000  # how long callers wait for a final answer
PROGRESS = 6
SMALL_BUFFER = 4096  # bytes of the socket buffers towards a peer that does not read


@contextmanager
def upgrade(old: Program) -> Iterator[Program]:
    """Start a successor and kill it at the end."""
    new = old.start_successor()
    try:
        yield new
    finally:
        new.kill()


def time_left_sent(set_up: Message) -> int:
    """Return the time in ms that the set-up allows the session server for the attempt."""
    return int(set_up.text(Code.TIME_LEFT) or "")


def assert_released(caller: Wire, call: bytes) -> None:
    """Assert that the caller's final answer is a release."""
    final = caller.receive(Type.ANSWER, Type.RELEASE)
    assert (final.type, final.call) == (Type.RELEASE, call)


# ---- the time of an answer ------------------------------------------------------------------------------


def test_unanswered_attempt_ends_before_its_caller_gives_up(tmp_path: Path) -> None:
    """Guards against a final answer that crosses the caller's give-up, losing a call at each timeout."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A, left=TIME_LEFT_MS)
        assert time_left_sent(server.receive(Type.SET_UP)) <= TIME_LEFT_MS - ANSWER_MARGIN
        assert_released(caller, A)


def test_attempts_end_in_time_in_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    """An attempt is open in the old process as its caller's connection moves; one starts in the new one."""
    with Program(tmp_path, operated=True) as old:
        moved, server = old.caller(), old.servers[0].accept()
        moved.set_up(A, left=TIME_LEFT_MS)
        assert time_left_sent(server.receive(Type.SET_UP)) <= TIME_LEFT_MS - ANSWER_MARGIN
        with upgrade(old):
            old.terminate()
            old.logged("reason=handed-over")
            fresh = old.servers[0].accept()
            moved.set_up(B, left=TIME_LEFT_MS)
            while True:  # the old process may have opened a second connection beside its silent one
                try:
                    fresh.sock.settimeout(0.2)
                    set_up = fresh.receive(Type.SET_UP)
                    break
                except TimeoutError:
                    fresh = old.servers[0].accept()
            assert set_up.call == B and time_left_sent(set_up) <= TIME_LEFT_MS - ANSWER_MARGIN
            assert_released(moved, A)
            assert_released(moved, B)


# ---- the caller -----------------------------------------------------------------------------------------


@WAYS_TO_LEAVE
def test_caller_gone_at_the_successor_cancels_its_attempt(
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
            assert old.process.wait(TIMEOUT_S) == 0


@WAYS_TO_LEAVE
def test_caller_gone_in_the_loop_iteration_of_the_handover_cancels_its_attempt(
    tmp_path: Path, leave: Callable[[Wire], None]
) -> None:
    """The end of the connection and SIGTERM arrive while the old process is stopped, in either order."""
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
            assert old.process.wait(TIMEOUT_S) == 0


# ---- a single connection --------------------------------------------------------------------------------


class MovingClient:
    """A client with one connection; frames for the successor are collected in ``moved_frames``."""

    async def __aenter__(self) -> MovingClient:
        self.posted: list[object] = []
        self.moved_frames: list[MovedLink] = []
        self.callers = Callers(16, self.posted.append, MemoryBudget(BYTES_PER_MB))
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
        await self.wait_until(lambda: bool(self.client_connections.open_set_ups))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        self.server.close()
        for link in list(self.client_connections.open_set_ups):
            link.close(CloseReason.SHUTDOWN)
        await self.wait_until(lambda: not self.callers.calling_hosts)

    @property
    def client_connections(self) -> ClientConnections:
        """The client connections of the process."""
        return self.callers.client_connections

    @property
    def link(self) -> Link:
        """The process's end of the connection."""
        return next(iter(self.client_connections.open_set_ups))

    def move_out(self) -> None:
        """Hand all connections over to a successor."""
        self.callers.hand_over_accepting(
            lambda frame, _: self.moved_frames.append(frame)  # type: ignore[arg-type]
        )
        self.callers.move_out()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.001)


def test_a_link_with_an_unwritten_answer_moves_once_its_caller_has_read_it() -> None:
    """Guards against the rest of an answer being lost, or sent after the successor's first message."""
    answer = write_message(Type.ANSWER, A, {Code.DESCRIPTION: bytes(8000)})
    count = 20

    async def scenario() -> None:
        async with MovingClient() as client:
            link = client.link
            for _ in range(count):
                link.write(answer)
            assert link.blocked
            client.move_out()
            await asyncio.sleep(0.05)  # the connection must not move while data is unwritten
            assert not client.moved_frames and link.alive
            read = bytearray()
            while len(read) < count * len(answer):
                read += await client.reader.read(65536)
            assert len(list(split(read))) == count and not read
            await client.wait_until(lambda: bool(client.moved_frames))

    asyncio.run(scenario())


def test_give_up_on_a_paused_connection_stays_in_the_kernel_for_the_successor() -> None:
    async def scenario() -> None:
        async with MovingClient() as client:
            link = client.link
            with socket.socket(fileno=socket.dup(link.descriptor)) as successor:
                link.pause()
                give_up = write_release(A, Cause.NORMAL)
                client.writer.write(give_up)
                await client.wait_until(lambda: link._kernel_buffered_bytes() == len(give_up))
                client.move_out()
                await client.wait_until(lambda: bool(client.moved_frames))
                assert client.moved_frames[0].begun == b"" and not client.posted
                assert successor.recv(1024) == give_up

    asyncio.run(scenario())


# ---- signals at each step -------------------------------------------------------------------------------

STEPS = ("welcomed", "yielded", "moving", "handed-over")


def start_successor_at(old: Program, step: str) -> Program:
    """Start a second process and return once the first one has reached that step of the handover."""
    if step in ("moving", "handed-over"):
        new = old.start_successor()
        old.terminate()
        old.logged(step)
        return new
    process = old.start_successor()
    old.logged(f"step={step}")
    return process


def final_answer_or_end(caller: Wire) -> Message | None:
    """Return the final answer, or None if the connection ended instead; the caller must not wait longer."""
    try:
        return caller.receive(Type.ANSWER, Type.RELEASE)
    except (EOFError, ConnectionResetError):
        return None


def assert_serves(program: Program, host: str) -> None:
    """Assert that the remaining process serves a new connection."""
    caller = program.caller(host)
    caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
    assert caller.receive().type == Type.TEST_RESULT


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("which", ["old", "new"])
@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGKILL])
def test_signal_at_a_handover_step_leaves_no_caller_waiting(
    tmp_path: Path, step: str, which: str, how: signal.Signals
) -> None:
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        caller.set_up(A, left=9000)
        server.receive(Type.SET_UP)
        server.send(PROGRESS, A)
        new = start_successor_at(old, step)
        try:
            ended, left = (old, new) if which == "old" else (new, old)
            ended.process.send_signal(how)
            if how is signal.SIGKILL:
                ended.process.wait()
            else:
                server.send(Type.ANSWER, A, {Code.DESCRIPTION: b"a"})
            final = final_answer_or_end(caller)
            if how is signal.SIGTERM and which == "old":
                assert final is not None and final.type == Type.ANSWER
            if step in ("welcomed", "yielded") or which == "old":
                assert_serves(left, "127.0.0.2")
        finally:
            new.kill()


def test_connection_made_while_both_processes_are_stopped_is_accepted(tmp_path: Path) -> None:
    """A connection made while both processes are stopped is accepted by one of them afterwards."""
    with Program(tmp_path, operated=True) as old:
        server = old.servers[0].accept()
        set_up_call(old.caller(), server, A)
        with upgrade(old) as new:
            with old.stopped(), new.stopped():
                caller = old.caller("127.0.0.2")
                caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
                old.terminate()
            assert caller.receive().type == Type.TEST_RESULT


@pytest.mark.parametrize("first", ["old", "new", "both"])
def test_calls_are_answered_and_released_when_both_processes_are_terminated(
    tmp_path: Path, first: str
) -> None:
    """Guards against a successor that ends under the calls whose answers come through it (review/9)."""
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        caller.set_up(A, left=9000)
        server.receive(Type.SET_UP)
        server.send(PROGRESS, A)
        with upgrade(old) as new:
            for program in (new, old) if first == "new" else (old, new):
                program.terminate()
                if first != "both":
                    program.logged("state=stopping")
            time.sleep(LATE_ARRIVAL_PERIOD + 2 * FLUSH_PERIOD)  # in which a process without calls ends
            server.send(Type.ANSWER, A, {Code.DESCRIPTION: b"x"})
            assert caller.receive().type == Type.ANSWER
            time.sleep(2 * FLUSH_PERIOD)
            server.release(A, 16)
            assert caller.receive(Type.RELEASE).cause() == 16
            assert old.process.wait(TIMEOUT_S) == 0
            assert new.process.wait(TIMEOUT_S) == 0
