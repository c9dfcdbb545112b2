"""Releases of standing calls when connections to a session server stall, fall silent or end."""

from __future__ import annotations

import select
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from threading import Event, Thread

import pytest

from martentide.codec.messages import Code, Type, write_message, write_release
from tests.net.support import DESCRIPTION, Program, Wire
from tests.net.test_rules_on_sockets import open_two_connections, set_up_call

A, B = bytes.fromhex("0123456789abcdef"), bytes.fromhex("fedcba9876543210")
RELEASED_WITHIN_S = 8.05  # of a call's end, by the protocol, with the slack of the sockets
STATE = write_message(Type.GROUP_STATE, bytes(8), {Code.REPORT: b"spare:1;total:2"})


def answer_health_checks(server: Wire, stop: Event) -> None:
    """Answer each health check on the connection until ``stop`` is set or the connection ends."""
    try:
        while not stop.is_set():
            if select.select([server.sock], [], [], 0.02)[0]:
                message = server.receive()
                if message.type == Type.TEST:
                    server.send(Type.TEST_RESULT, message.call, {Code.CAUSE: b"\x01"})
    except (EOFError, OSError):
        pass


@contextmanager
def answering(*servers: Wire) -> Iterator[None]:
    """Let these connections of a session server answer health checks meanwhile."""
    stop = Event()
    threads = [Thread(target=answer_health_checks, args=(server, stop)) for server in servers]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def test_release_on_a_silent_connection_is_heard_on_a_new_one_though_another_works(tmp_path: Path) -> None:
    """Guards against calls for ever on a connection that fell silent beside a working one (review/8)."""
    with Program(tmp_path) as program:
        caller, silent, working = open_two_connections(program)
        ended = time.monotonic()
        with answering(working):
            assert silent.closed()
            again = program.servers[0].accept()
            again.sock.sendall(STATE + write_release(A, 16))  # the release was sent on the silent one before
            released = caller.receive(Type.RELEASE)
        assert (released.call, released.cause()) == (A, 16)
        assert time.monotonic() - ended < RELEASED_WITHIN_S


def test_a_silent_connection_without_calls_is_closed_beside_a_working_one(tmp_path: Path) -> None:
    """Guards against dead connections that stay open for ever."""
    with Program(tmp_path) as program:
        caller, silent = program.caller(), program.servers[0].accept()
        caller.set_up(A, left=400)
        assert caller.receive().call == A  # failed, because the connection is silent
        other = program.servers[0].accept()
        other.sock.sendall(STATE)
        with answering(other):
            assert silent.closed()


def test_calls_on_a_silent_connection_end_in_time_if_nothing_shows_their_server_lives(tmp_path: Path) -> None:
    """Guards against taking a process that came up at the address for the one that held the calls."""
    with Program(tmp_path) as program:
        caller, silent = program.caller(), program.servers[0].accept()
        set_up_call(caller, silent)
        ended = time.monotonic()
        caller.set_up(B, left=400)
        assert caller.receive().call == B  # failed, because the connection is silent
        other = program.servers[0].accept()
        other.sock.sendall(STATE)
        with answering(other):
            assert silent.closed()
            again = program.servers[0].accept()
            again.sock.sendall(STATE)
            with answering(again):
                released = caller.receive(Type.RELEASE)
        assert (released.call, released.cause()) == (A, 41)
        assert time.monotonic() - ended < RELEASED_WITHIN_S


@pytest.mark.parametrize("reset", [False, True])
def test_calls_end_in_time_if_the_connection_that_repeats_their_release_ends_too(
    tmp_path: Path, reset: bool
) -> None:
    """Guards against calls for ever whose release was lost on its connection and on the next one."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        ended = time.monotonic()
        server.reset()
        second = program.servers[0].accept()
        second.sock.sendall(STATE + write_release(A, 16)[:7])
        if reset:
            second.reset()
        else:
            assert second.closed()  # it stops in the middle of the message
        program.servers[0].accept().sock.sendall(STATE)
        released = caller.receive(Type.RELEASE)
        assert (released.call, released.cause()) == (A, 41)
        assert time.monotonic() - ended < RELEASED_WITHIN_S


def test_a_call_is_kept_when_its_connection_is_reset_and_the_next_one_delivers_no_release(
    tmp_path: Path,
) -> None:
    """Guards against cutting calls that stand: the new connection shows that no release was lost."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        server.reset()
        again = program.servers[0].accept()
        again.sock.sendall(STATE)
        with answering(again):
            assert not select.select([caller.sock], [], [], RELEASED_WITHIN_S + 1.0)[0]
        again.release(A, 16)
        assert caller.receive(Type.RELEASE).cause() == 16


def write_in_pieces(server: Wire, message: bytes, gap: float) -> None:
    """Write a message in two pieces, ``gap`` s apart."""
    server.sock.sendall(message[:8])
    time.sleep(gap)
    server.sock.sendall(message[8:])


@pytest.mark.parametrize("gap", [0.1, 0.4, 0.7])
def test_a_release_is_read_on_its_connection_though_it_comes_in_pieces(tmp_path: Path, gap: float) -> None:
    """Guards against closing the connection on which the rest of a release is still to come (review/7)."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        set_up_call(caller, server, B)
        write_in_pieces(server, write_release(A, 16), gap)
        write_in_pieces(server, write_release(B, 16), gap)
        released = [caller.receive(Type.RELEASE) for _ in range(2)]
        assert [(one.call, one.cause()) for one in released] == [(A, 16), (B, 16)]


def test_slow_releases_among_many_whole_messages_are_read(tmp_path: Path) -> None:
    """Guards against calls for ever at a busy server that writes only its releases slowly."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        calls = [number.to_bytes(8, "big") for number in range(1, 4)]
        for call in calls:
            set_up_call(caller, server, call)
        for call in calls:
            for _ in range(20):
                server.sock.sendall(STATE)
            write_in_pieces(server, write_release(call, 16), 0.5)
            released = caller.receive(Type.RELEASE)
            assert (released.call, released.cause()) == (call, 16)


def test_open_set_ups_behind_a_stalled_release_are_retried_on_another_connection(tmp_path: Path) -> None:
    """Guards against set-ups that wait for their whole time behind a message that is not continued."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        caller.set_up(B, left=1500)
        assert server.receive(Type.SET_UP).call == B
        server.sock.sendall(write_release(A, 16)[:8])
        other = program.servers[0].accept()
        assert server.receive(Type.RELEASE).call == B  # given up there before it is sent elsewhere
        assert other.receive(Type.SET_UP).call == B
        other.send(Type.ANSWER, B, {Code.DESCRIPTION: DESCRIPTION})
        assert caller.receive().call == B
        server.sock.sendall(write_release(A, 16)[8:])
        assert caller.receive(Type.RELEASE).call == A
