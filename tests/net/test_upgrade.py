"""Upgrades with two real processes: calls and connections that must survive, and each kind of failure."""

from __future__ import annotations

import asyncio
import socket
import stat
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from martentide.codec.messages import Code, Type, write_message
from martentide.handover.wire import Hello, Left, write_frame
from martentide.net.callers import MIN_CALLER_CONNECTIONS, Callers
from martentide.net.config import Address
from martentide.net.handover import MAX_RECEIVED_FRAMES, Channel
from martentide.net.memory_budget import BYTES_PER_MB, MemoryBudget
from tests.net.support import ROOT, TIMEOUT_S, Program, Wire
from tests.net.test_rules_on_sockets import A, B, set_up_call

PROGRESS = 6
C = bytes.fromhex("00000000000000c3")


@contextmanager
def upgrade(old: Program) -> Iterator[Program]:
    """Start a successor and kill it at the end."""
    new = old.start_successor()
    try:
        yield new
    finally:
        new.kill()


def set_up_standing_call(program: Program, caller: Wire, call: bytes) -> None:
    """Set up a call, skipping server connections of processes that have ended."""
    caller.set_up(call)
    while True:
        server = program.servers[0].accept()
        try:
            server.receive(Type.SET_UP)
        except (EOFError, ConnectionResetError):
            continue  # the connection of a process that has ended
        server.send(Type.ANSWER, call, {Code.DESCRIPTION: b"x"})
        assert caller.receive().type == Type.ANSWER
        return


def handover_sockets(folder: Path) -> list[Path]:
    """Return the sockets in the folder at which a successor connects."""
    return [path for path in folder.iterdir() if stat.S_ISSOCK(path.stat().st_mode)]


def test_connections_and_calls_outlive_the_process(tmp_path: Path) -> None:
    """Guards against losing a standing call, an open call or a partial message on moved connections."""
    with Program(tmp_path, operated=True) as old:
        caller, other, partial = old.caller(), old.caller("127.0.0.2"), old.caller("127.0.0.3")
        server = old.servers[0].accept()
        set_up_call(caller, server, A)
        other.set_up(B)
        server.receive(Type.SET_UP)
        server.send(PROGRESS, B)  # otherwise a second connection is opened beside a silent one
        message = write_message(Type.TEST, C, {Code.CAUSE: b"\0"})
        partial.sock.sendall(message[:5])
        with upgrade(old) as new:
            assert new.port == old.port and new.call("GET", "/control/ready") == 200
            old.terminate()
            old.logged("step=moving")
            for _ in range(3):
                old.logged("reason=handed-over")
            partial.sock.sendall(message[5:])
            assert partial.receive().type == Type.TEST_RESULT
            server.send(Type.ANSWER, B, {Code.DESCRIPTION: b"b"})  # on the old process's server connection
            assert other.receive().parameters == {Code.DESCRIPTION: b"b"}
            server.release(A, 16)
            assert (over := caller.receive()).type == Type.RELEASE and over.call == A
            fresh = old.servers[0].accept()
            set_up_call(caller, fresh, C)  # the new process handles a new call on the same connection
            other.release(B, 16)  # release of the old process's call through the new process
            assert server.receive(Type.RELEASE).call == B
            assert old.process.wait(TIMEOUT_S) == 0  # all calls are over, so it ends early
            new.logged("step=alone")
            fresh.release(C, 16)
            assert caller.receive(Type.RELEASE).call == C


def test_connections_during_an_upgrade_are_accepted_by_one_process(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as old:
        server = old.servers[0].accept()
        before = old.caller()
        with upgrade(old) as new:
            fresh = old.servers[0].accept()
            after = new.caller("127.0.0.2")
            set_up_call(after, fresh, A)
            set_up_call(before, server, B)  # before SIGTERM, the old process keeps its own connections


def test_predecessor_resumes_after_its_successor_dies(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        set_up_call(caller, server, A)
        with upgrade(old) as new:
            new.kill()
            old.logged("step=accepting-again")
        set_up_call(old.caller("127.0.0.2"), server, B)
        with upgrade(old) as new:  # a later successor finds the process again
            old.logged("step=yielded")
            assert new.call("GET", "/control/ready") == 200


def test_terminated_successor_returns_the_listener(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as old:
        server = old.servers[0].accept()
        with upgrade(old) as new:
            new.terminate()
            old.logged("step=accepting-again")
            assert new.process.wait(TIMEOUT_S) == 0
            set_up_call(old.caller(), server, A)


def test_calls_of_a_predecessor_killed_during_handover_are_answered(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        caller.set_up(A, left=9000)
        server.receive(Type.SET_UP)
        server.send(PROGRESS, A)
        with upgrade(old) as new:
            old.terminate()
            old.logged("reason=handed-over")
            old.kill()
            assert (failed := caller.receive()).type == Type.RELEASE and failed.cause() not in (16, 34, 42)
            new.logged("step=alone")
            set_up_standing_call(old, caller, B)


def test_consecutive_upgrades_and_rejection_of_a_third_process(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as first:
        caller, server = first.caller(), first.servers[0].accept()
        set_up_call(caller, server, A)
        with upgrade(first) as second:
            third = subprocess.run(
                [sys.executable, "-B", "-m", "martentide", "serve", "--config", str(first.config)],
                cwd=ROOT, env={"TMPDIR": str(tmp_path)}, capture_output=True, text=True, timeout=TIMEOUT_S,
            )  # fmt: skip
            assert third.returncode == 1 and "upgrade is under way" in third.stderr
            first.terminate()
            first.logged("reason=handed-over")
            server.release(A, 16)
            assert caller.receive().type == Type.RELEASE
            assert first.process.wait(TIMEOUT_S) == 0
            second.logged("step=alone")
            with upgrade(second) as last:
                second.terminate()
                second.logged("reason=handed-over")
                assert second.process.wait(TIMEOUT_S) == 0
                last.logged("step=alone")
                set_up_standing_call(first, caller, B)


def test_upgrade_during_a_drain_ends_in_service(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        set_up_call(caller, server, A)
        old.call("POST", "/control/out-of-service")
        with upgrade(old) as new:
            assert new.call("GET", "/control/ready") == 200
            old.terminate()
            old.logged("reason=handed-over")
            server.release(A, 16)
            assert caller.receive().type == Type.RELEASE


@pytest.mark.parametrize("kind", ["stale", "foreign", "folder"])
def test_file_at_the_handover_socket_path_does_not_prevent_the_start(tmp_path: Path, kind: str) -> None:
    path = tmp_path / "martentide-127.0.0.1-0.sock"
    if kind == "stale":
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as dead:
            dead.bind(str(path))
    elif kind == "foreign":
        path.write_bytes(b"not ours")
    else:
        path.mkdir()
    with Program(tmp_path, operated=True) as program:
        set_up_call(program.caller(), program.servers[0].accept())
    assert kind != "foreign" or path.read_bytes() == b"not ours"


@pytest.mark.parametrize("name", ["missing", "x" * 120])
def test_start_succeeds_without_a_usable_handover_socket_path(tmp_path: Path, name: str) -> None:
    if name != "missing":
        (tmp_path / name).mkdir()
    with Program(tmp_path, operated=True, temporary=tmp_path / name) as program:
        set_up_call(program.caller(), program.servers[0].accept())


def test_successor_of_another_version_is_rejected(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as program:
        (path,) = handover_sockets(tmp_path)
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as client:
            client.settimeout(TIMEOUT_S)
            client.connect(str(path))
            client.send(write_frame(Hello(99, "n0", "127.0.0.1:0")))
            assert b"version" in client.recv(1024) and client.recv(1024) == b""
        set_up_call(program.caller(), program.servers[0].accept())


def test_both_processes_share_one_limit_of_descriptors() -> None:
    async def scenario() -> None:
        callers = Callers(100, lambda item: None, MemoryBudget(BYTES_PER_MB))
        callers.share_with_predecessor(lambda left: None, 70)
        assert callers.client_connections.max_connections == 30
        callers.share_with_predecessor(lambda left: None, 99)
        assert callers.client_connections.max_connections == MIN_CALLER_CONNECTIONS
        callers.predecessor_gone()
        assert callers.client_connections.max_connections == 100

    asyncio.run(scenario())


def test_connection_accepted_in_the_loop_iteration_of_the_yield_is_not_reset() -> None:
    async def scenario() -> None:
        offers: list[object] = []
        callers = Callers(100, offers.append, MemoryBudget(BYTES_PER_MB))
        callers.bind(Address("127.0.0.1", 0))
        await callers.accept()
        assert callers.server is not None
        port = callers.addresses()[0][1]
        with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
            # Run the loop's accept callback and, in the same loop iteration, pause accepting.
            listener = callers.server.sockets[0]
            loop = asyncio.get_running_loop()
            loop._selector.get_key(listener.fileno()).data[0]._run()  # type: ignore[attr-defined]
            callers.pause()
            caller.setblocking(False)
            await loop.sock_sendall(caller, write_message(Type.TEST, C, {Code.CAUSE: b"\0"}))
            async with asyncio.timeout(TIMEOUT_S):
                assert await loop.sock_recv(caller, 100)
        callers.close()

    asyncio.run(scenario())


def test_unprocessed_frames_stay_in_the_kernel_and_arrive_in_order() -> None:
    async def scenario() -> None:
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        one, other = Channel(ends[0], "successor"), Channel(ends[1], "predecessor")
        sent = [Left("a", at.to_bytes(8, "big")) for at in range(3 * MAX_RECEIVED_FRAMES)]
        for frame in sent:
            one.send(frame)
        await asyncio.sleep(0.1)
        assert other.received.qsize() == MAX_RECEIVED_FRAMES
        async with asyncio.timeout(TIMEOUT_S):
            frames = [await other.received.get() for _ in sent]
        assert [item[0] for item in frames if item is not None] == sent
        one.close()
        other.close()

    asyncio.run(scenario())
