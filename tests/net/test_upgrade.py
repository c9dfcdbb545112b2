"""An upgrade with two real processes: what it may not cost, and each way in which it may fail."""

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
from martentide.net.handover import MOST_HEARD, Channel
from tests.net.support import LIMIT, ROOT, Program, Wire
from tests.net.test_rules_on_sockets import A, B, set_up_call

PROGRESS = 6
C = bytes.fromhex("00000000000000c3")


@contextmanager
def upgrade(old: Program) -> Iterator[Program]:
    new = old.start_successor()
    try:
        yield new
    finally:
        new.kill()


def stand_anew(program: Program, caller: Wire, call: bytes) -> None:
    """Set a call up over the one server connection that is left."""
    caller.set_up(call)
    while True:
        server = program.servers[0].accept()
        try:
            server.receive(Type.SET_UP)
        except (EOFError, ConnectionResetError):
            continue  # of a process that has ended
        server.send(Type.ANSWER, call, {Code.DESCRIPTION: b"x"})
        assert caller.receive().type == Type.ANSWER
        return


def meeting(folder: Path) -> list[Path]:
    return [path for path in folder.iterdir() if stat.S_ISSOCK(path.stat().st_mode)]


def test_connections_and_calls_outlive_the_process(tmp_path: Path) -> None:
    """A call that stands, one that is open and half a message, all on connections of the old process."""
    with Program(tmp_path, operated=True) as old:
        caller, other, half = old.caller(), old.caller("127.0.0.2"), old.caller("127.0.0.3")
        server = old.servers[0].accept()
        set_up_call(caller, server, A)
        other.set_up(B)
        server.receive(Type.SET_UP)
        server.send(PROGRESS, B)  # or another connection would be opened beside a silent one
        whole = write_message(Type.TEST, C, {Code.CAUSE: b"\0"})
        half.sock.sendall(whole[:5])
        with upgrade(old) as new:
            assert new.port == old.port and new.call("GET", "/control/ready") == 200
            old.terminate()
            old.logged("step=moving")
            for _ in range(3):
                old.logged("reason=handed-over")
            half.sock.sendall(whole[5:])
            assert half.receive().type == Type.TEST_RESULT
            server.send(Type.ANSWER, B, {Code.DESCRIPTION: b"b"})  # the old process's server connection
            assert other.receive().parameters == {Code.DESCRIPTION: b"b"}
            server.release(A, 16)
            assert (over := caller.receive()).type == Type.RELEASE and over.call == A
            fresh = old.servers[0].accept()
            set_up_call(caller, fresh, C)  # a new call, on the same connection, is the new process's
            other.release(B, 16)  # one that stands in the old process is ended through the new one
            assert server.receive(Type.RELEASE).call == B
            assert old.process.wait(LIMIT) == 0  # it leaves early: all is over
            new.logged("step=alone")
            fresh.release(C, 16)
            assert caller.receive(Type.RELEASE).call == C


def test_who_connects_meanwhile_is_accepted_by_one_of_them(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as old:
        server = old.servers[0].accept()
        before = old.caller()
        with upgrade(old) as new:
            fresh = old.servers[0].accept()
            after = new.caller("127.0.0.2")
            set_up_call(after, fresh, A)
            set_up_call(before, server, B)  # not told to end yet: its own connections go on


def test_a_successor_that_dies_before_the_end_gives_all_back(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as old:
        caller, server = old.caller(), old.servers[0].accept()
        set_up_call(caller, server, A)
        with upgrade(old) as new:
            new.kill()
            old.logged("step=accepting-again")
        set_up_call(old.caller("127.0.0.2"), server, B)
        with upgrade(old) as new:  # and the next try finds it
            old.logged("step=yielded")
            assert new.call("GET", "/control/ready") == 200


def test_a_successor_told_to_end_gives_the_listener_back(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as old:
        server = old.servers[0].accept()
        with upgrade(old) as new:
            new.terminate()
            old.logged("step=accepting-again")
            assert new.process.wait(LIMIT) == 0
            set_up_call(old.caller(), server, A)


def test_an_old_process_killed_in_the_hand_over_leaves_no_call_without_an_answer(tmp_path: Path) -> None:
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
            stand_anew(old, caller, B)


def test_two_upgrades_in_a_row_and_a_third_process_is_turned_away(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as first:
        caller, server = first.caller(), first.servers[0].accept()
        set_up_call(caller, server, A)
        with upgrade(first) as second:
            third = subprocess.run(
                [sys.executable, "-B", "-m", "martentide", "serve", "--config", str(first.config)],
                cwd=ROOT, env={"TMPDIR": str(tmp_path)}, capture_output=True, text=True, timeout=LIMIT,
            )  # fmt: skip
            assert third.returncode == 1 and "upgrade is under way" in third.stderr
            first.terminate()
            first.logged("reason=handed-over")
            server.release(A, 16)
            assert caller.receive().type == Type.RELEASE
            assert first.process.wait(LIMIT) == 0
            second.logged("step=alone")
            with upgrade(second) as last:
                second.terminate()
                second.logged("reason=handed-over")
                assert second.process.wait(LIMIT) == 0
                last.logged("step=alone")
                stand_anew(first, caller, B)


def test_an_upgrade_in_a_drain_ends_in_service(tmp_path: Path) -> None:
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
def test_what_lies_at_the_meeting_place_does_not_keep_it_from_starting(tmp_path: Path, kind: str) -> None:
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
def test_without_room_for_the_meeting_place_it_starts_as_ever(tmp_path: Path, name: str) -> None:
    if name != "missing":
        (tmp_path / name).mkdir()
    with Program(tmp_path, operated=True, temporary=tmp_path / name) as program:
        set_up_call(program.caller(), program.servers[0].accept())


def test_another_version_is_turned_away(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as program:
        (path,) = meeting(tmp_path)
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as stranger:
            stranger.settimeout(LIMIT)
            stranger.connect(str(path))
            stranger.send(write_frame(Hello(99, "n0", "127.0.0.1:0")))
            assert b"version" in stranger.recv(1024) and stranger.recv(1024) == b""
        set_up_call(program.caller(), program.servers[0].accept())


def test_both_processes_have_one_budget_of_descriptors() -> None:
    async def scene() -> None:
        callers = Callers(100, lambda item: None)
        callers.beside(lambda left: None, 70)
        assert callers.client_connections.max_connections == 30
        callers.beside(lambda left: None, 99)
        assert callers.client_connections.max_connections == MIN_CALLER_CONNECTIONS
        callers.orphaned()
        assert callers.client_connections.max_connections == 100

    asyncio.run(scene())


def test_a_connection_accepted_in_the_turn_of_the_yield_is_not_reset() -> None:
    async def scene() -> None:
        offers: list[object] = []
        callers = Callers(100, offers.append)
        callers.bind(Address("127.0.0.1", 0))
        await callers.accept()
        assert callers.server is not None
        port = callers.addresses()[0][1]
        with socket.create_connection(("127.0.0.1", port), LIMIT) as caller:
            # What the loop does as the listener turns readable, and in the same turn the word to yield.
            listener = callers.server.sockets[0]
            loop = asyncio.get_running_loop()
            loop._selector.get_key(listener.fileno()).data[0]._run()  # type: ignore[attr-defined]
            callers.pause()
            caller.setblocking(False)
            await loop.sock_sendall(caller, write_message(Type.TEST, C, {Code.CAUSE: b"\0"}))
            async with asyncio.timeout(LIMIT):
                assert await loop.sock_recv(caller, 100)
        callers.close()

    asyncio.run(scene())


def test_frames_that_nobody_takes_wait_in_the_system_and_come_in_order() -> None:
    async def scene() -> None:
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        one, other = Channel(ends[0], "successor"), Channel(ends[1], "predecessor")
        sent = [Left("a", at.to_bytes(8, "big")) for at in range(3 * MOST_HEARD)]
        for frame in sent:
            one.send(frame)
        await asyncio.sleep(0.1)
        assert other.heard.qsize() == MOST_HEARD
        async with asyncio.timeout(LIMIT):
            heard = [await other.heard.get() for _ in sent]
        assert [item[0] for item in heard if item is not None] == sent
        one.close()
        other.close()

    asyncio.run(scene())
