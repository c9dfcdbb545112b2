"""A caller that has gone: no attempt for its call begins after, wherever the call waits.

Each crossing is forced: the process stands still while the caller goes and the timers come due, or the call
waits for something that the test holds back. That nothing was sent shows in what the servers read next.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from martentide.codec.messages import Code, Type, write_release
from tests.net.support import DESCRIPTION, SETTINGS, Listener, Program, Wire, frame

A, B, C, D, E, F = (bytes.fromhex(text * 8) for text in ("a1", "b2", "c3", "d4", "e5", "f6"))
RELEASE = 1.0  # s of the release wait in these tests: longer than it takes to stop the process within it
WAITING = {"extra": {**SETTINGS["extra"], "release_ms": RELEASE * 1000.0}}


def closes(caller: Wire) -> None:
    caller.sock.close()


def resets(caller: Wire) -> None:
    caller.reset()


def cancels(caller: Wire) -> None:
    caller.release(A, 16)


def half_closes(caller: Wire) -> None:
    caller.sock.shutdown(socket.SHUT_WR)


GOES = pytest.mark.parametrize("goes", [closes, resets, cancels, half_closes])


def nothing_was_sent(program: Program, *servers: Wire) -> None:
    """The next set-up that any server reads is another caller's, offered after."""
    other = program.caller()
    for call in (E, F):
        other.set_up(call)
        for server in servers:
            server.sock.settimeout(0.05)
        at = 0
        while True:
            try:
                message = servers[at].receive(Type.SET_UP)
                break
            except TimeoutError:
                at = (at + 1) % len(servers)
        assert message.call == call
        servers[at].send(Type.ANSWER, call, {Code.DESCRIPTION: DESCRIPTION})
        assert other.receive(Type.ANSWER).call == call
    assert all(server.quiet() for server in servers)


@GOES
def test_no_further_attempt_though_the_release_wait_ends_in_the_same_turn(
    tmp_path: Path, goes: Callable[[Wire], None]
) -> None:
    with Program(tmp_path, servers=2, settings=WAITING, more=("--log-level", "debug")) as program:
        caller = program.caller()
        servers = [listener.accept() for listener in program.servers]
        caller.set_up(A)
        servers[0].receive(Type.SET_UP)
        servers[0].release(A, 41)
        program.logged("heard=AttemptEnded")
        with program.stopped():
            goes(caller)
            time.sleep(RELEASE + 0.2)
        nothing_was_sent(program, *servers)


@GOES
def test_no_first_attempt_for_a_set_up_that_was_unread_as_its_caller_went(
    tmp_path: Path, goes: Callable[[Wire], None]
) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
        caller.receive(Type.TEST_RESULT)
        with program.stopped():
            caller.set_up(A)
            goes(caller)
        nothing_was_sent(program, server)


@GOES
def test_no_attempt_for_a_call_that_waits_for_room_at_a_server(
    tmp_path: Path, goes: Callable[[Wire], None]
) -> None:
    """Two set-ups are out unanswered, so the third waits; room comes in the turn in which its caller goes."""
    with Program(tmp_path, more=("--log-level", "debug")) as program:
        first, caller, server = program.caller(), program.caller(), program.servers[0].accept()
        for call in (C, D):
            first.set_up(call)
            assert server.receive(Type.SET_UP).call == call
        caller.set_up(A)
        program.logged(r"heard=SetUpOffered\(ref=3,")
        with program.stopped():
            goes(caller)
            for call in (C, D):
                server.send(Type.ANSWER, call, {Code.DESCRIPTION: DESCRIPTION})
        for call in (C, D):
            assert first.receive(Type.ANSWER).call == call
        nothing_was_sent(program, server)


@GOES
def test_no_attempt_for_a_call_that_waits_for_a_dial(tmp_path: Path, goes: Callable[[Wire], None]) -> None:
    """The server's queue of connections is full, so the dial stands; it comes up after its caller went."""
    full = Listener(backlog=0)
    fill = [socket.create_connection(("127.0.0.1", full.port)) for _ in range(1)]
    with Program(tmp_path, servers=0, connect_timeout_ms=10_000.0) as program:
        program.servers.append(full)
        board = program.board.accept()
        board.sock.sendall(frame(2, 2, (0, full.port, 0)))
        program.logged("server-listed .*state=open")
        caller = program.caller()
        caller.set_up(A)
        caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
        caller.receive(Type.TEST_RESULT)  # the set-up before it was taken
        with program.stopped():
            goes(caller)
            full.accept()  # of the filling connection: the dial, tried again by the system, comes up
        server = full.accept()
        nothing_was_sent(program, server)
    for one in fill:
        one.close()


def test_a_give_up_behind_its_set_up_in_one_read_leaves_nothing_to_send(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.sock.sendall(caller.set_up_bytes(A) + write_release(A, 16))
        assert caller.receive().type == Type.RELEASE_HEARD
        nothing_was_sent(program, server)


def test_what_was_said_before_a_give_up_is_still_done(tmp_path: Path) -> None:
    """The end of a standing call lies unread before the end of the connection: it counts."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        server.receive(Type.SET_UP)
        server.send(Type.ANSWER, A, {Code.DESCRIPTION: DESCRIPTION})
        assert caller.receive().type == Type.ANSWER
        with program.stopped():
            caller.release(A, 16)
            caller.sock.close()
        assert (over := server.receive(Type.RELEASE)).call == A and over.cause() == 16


def test_a_caller_that_goes_on_talking_delays_no_call_of_its_own(tmp_path: Path) -> None:
    """What is unheard is heard up to where it was; what comes meanwhile does not put the attempt off."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        with program.stopped():
            for _ in range(200):
                caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
            caller.set_up(A)
            for _ in range(200):
                caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
        assert server.receive(Type.SET_UP).call == A


def test_an_attempt_that_is_out_is_given_up_when_the_caller_half_closes(tmp_path: Path) -> None:
    """A half-close can't be told from a close, and counts as one."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        server.receive(Type.SET_UP)
        half_closes(caller)
        assert (over := server.receive(Type.RELEASE)).call == A and over.cause() == 16
        assert caller.closed()
        program.logged("role=caller .*reason=peer-closed")
