"""After a caller has gone, no attempt for its call begins, wherever the call waits.

Each race is forced: the process is stopped while the caller leaves and timers come due, or the call waits for
something that the test holds back. The next message that the servers read shows that nothing was sent.
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
RELEASE_WAIT_S = 1.0  # long enough to stop the process within the release wait
RELEASE_WAIT_SETTINGS = {"extra": {**SETTINGS["extra"], "release_ms": RELEASE_WAIT_S * 1000.0}}


def close(caller: Wire) -> None:
    """Close the connection."""
    caller.sock.close()


def reset(caller: Wire) -> None:
    """Reset the connection."""
    caller.reset()


def cancel(caller: Wire) -> None:
    """Give up the call; the connection stays."""
    caller.release(A, 16)


def half_close(caller: Wire) -> None:
    """Close the caller's direction of the connection only."""
    caller.sock.shutdown(socket.SHUT_WR)


WAYS_TO_LEAVE = pytest.mark.parametrize("leave", [close, reset, cancel, half_close])


def assert_nothing_sent(program: Program, *servers: Wire) -> None:
    """Assert that the next set-up that any server reads is one offered later by another caller."""
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
    assert all(server.has_no_input() for server in servers)


@WAYS_TO_LEAVE
def test_no_retry_for_a_caller_that_left_in_the_turn_in_which_the_release_wait_ends(
    tmp_path: Path, leave: Callable[[Wire], None]
) -> None:
    with Program(
        tmp_path, servers=2, settings=RELEASE_WAIT_SETTINGS, arguments=("--log-level", "debug")
    ) as program:
        caller = program.caller()
        servers = [listener.accept() for listener in program.servers]
        caller.set_up(A)
        servers[0].receive(Type.SET_UP)
        servers[0].release(A, 41)
        program.logged("heard=AttemptEnded")
        with program.stopped():
            leave(caller)
            time.sleep(RELEASE_WAIT_S + 0.2)
        assert_nothing_sent(program, *servers)


@WAYS_TO_LEAVE
def test_no_first_attempt_for_a_set_up_that_was_unread_when_its_caller_left(
    tmp_path: Path, leave: Callable[[Wire], None]
) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
        caller.receive(Type.TEST_RESULT)
        with program.stopped():
            caller.set_up(A)
            leave(caller)
        assert_nothing_sent(program, server)


@WAYS_TO_LEAVE
def test_no_attempt_for_a_call_that_waits_for_room_at_a_server(
    tmp_path: Path, leave: Callable[[Wire], None]
) -> None:
    """Two set-ups are unanswered, so the third waits; they are answered as the caller of the third leaves."""
    with Program(tmp_path, arguments=("--log-level", "debug")) as program:
        first, caller, server = program.caller(), program.caller(), program.servers[0].accept()
        for call in (C, D):
            first.set_up(call)
            assert server.receive(Type.SET_UP).call == call
        caller.set_up(A)
        program.logged(r"heard=SetUpOffered\(ref=3,")
        with program.stopped():
            leave(caller)
            for call in (C, D):
                server.send(Type.ANSWER, call, {Code.DESCRIPTION: DESCRIPTION})
        for call in (C, D):
            assert first.receive(Type.ANSWER).call == call
        assert_nothing_sent(program, server)


@WAYS_TO_LEAVE
def test_no_attempt_for_a_call_that_waits_for_a_dial(tmp_path: Path, leave: Callable[[Wire], None]) -> None:
    """The server's accept queue is full, so the dial waits; it succeeds after the caller has gone."""
    full = Listener(backlog=0)
    fill = [socket.create_connection(("127.0.0.1", full.port)) for _ in range(1)]
    with Program(tmp_path, servers=0, connect_timeout_ms=10_000.0) as program:
        program.servers.append(full)
        discovery = program.discovery.accept()
        discovery.sock.sendall(frame(2, 2, (0, full.port, 0)))
        program.logged("server-listed .*state=open")
        caller = program.caller()
        caller.set_up(A)
        caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
        caller.receive(Type.TEST_RESULT)  # the set-up before it has been processed
        with program.stopped():
            leave(caller)
            full.accept()  # of the filling connection: the dial, which the kernel retries, succeeds
        server = full.accept()
        assert_nothing_sent(program, server)
    for one in fill:
        one.close()


def test_set_up_and_give_up_in_one_read_send_nothing_to_the_server(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.sock.sendall(caller.set_up_bytes(A) + write_release(A, 16))
        assert caller.receive().type == Type.RELEASE_ACK
        assert_nothing_sent(program, server)


def test_a_release_sent_before_the_connection_closed_is_still_handled(tmp_path: Path) -> None:
    """The release of a standing call, unread before the end of its connection, must still be handled."""
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


def test_a_caller_that_keeps_sending_does_not_delay_its_own_call(tmp_path: Path) -> None:
    """Only input present at the check is processed first; later input does not delay the attempt further."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        with program.stopped():
            for _ in range(200):
                caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
            caller.set_up(A)
            for _ in range(200):
                caller.send(Type.TEST, B, {Code.CAUSE: b"\0"})
        assert server.receive(Type.SET_UP).call == A


def test_an_outstanding_attempt_is_given_up_when_the_caller_half_closes(tmp_path: Path) -> None:
    """A half-close can't be distinguished from a close and counts as one."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        server.receive(Type.SET_UP)
        half_close(caller)
        assert (over := server.receive(Type.RELEASE)).call == A and over.cause() == 16
        assert caller.closed()
        program.logged("role=caller .*reason=peer-closed")
