"""One client that sends at full speed must not delay or displace the others."""

from __future__ import annotations

import re
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from threading import Thread

import pytest

from martentide.codec import CodecError
from martentide.codec.messages import MAX_PARAMETERS, Code, Message, Type, read_message, write_release
from martentide.net.memory_budget import MemoryAccount, MemoryBudget
from tests.net.support import ROOT, SETTINGS, Program, Wire

AIM_S = SETTINGS["classes"][0]["aim_ms"] / 1000.0  # in which calls of the class want their answer
GREEDY_S = 4.0  # for which the greedy client sends
PAUSE_S = 0.05  # between two calls of the usual caller


def serve(server: Wire) -> None:
    """Let each call stand and end it at once, until the connection ends."""
    try:
        while True:
            message = server.receive()
            if message.type == Type.SET_UP:
                server.send(Type.ANSWER, message.call, {Code.DESCRIPTION: b"x"})
                server.release(message.call, 16)
            elif message.type == Type.TEST:
                server.send(Type.TEST_RESULT, message.call, {Code.CAUSE: b"\x01"})
    except (EOFError, OSError):
        pass


def serve_all(program: Program) -> None:
    """Serve each connection that the program opens to its session server."""
    try:
        while True:
            Thread(target=serve, args=(program.servers[0].accept(),), daemon=True).start()
    except OSError:
        pass


@contextmanager
def greedy_client(program: Program, kind: str, connections: int) -> Iterator[None]:
    """Let a client send at full speed meanwhile."""
    arguments = [str(program.port), kind, str(connections), str(GREEDY_S)]
    command = [sys.executable, "-m", "tests.net.greedy_client", *arguments]
    process = subprocess.Popen(command, cwd=ROOT)
    try:
        yield
    finally:
        process.kill()
        process.wait()


def call_once(caller: Wire, number: int) -> tuple[Message, float]:
    """Set a call up; return its final answer and the time in s that it took."""
    call, began = (1 << 40 | number).to_bytes(8, "big"), time.monotonic()
    caller.set_up(call)
    while (message := caller.receive(Type.ANSWER, Type.RELEASE)).call != call:
        pass
    return message, time.monotonic() - began


@pytest.mark.parametrize(
    ("kind", "connections"),
    [("fields", 1), ("fields", 10), ("withdrawn", 1), ("withdrawn", 10), ("invalid", 1)],
)
def test_usual_callers_are_answered_in_time_beside_a_greedy_client(
    tmp_path: Path, kind: str, connections: int
) -> None:
    """Guards against one client's volume that sets the delay of all others' answers."""
    with Program(tmp_path, max_open=20_000) as program:
        Thread(target=serve_all, args=(program,), daemon=True).start()
        caller = program.caller()
        assert call_once(caller, 0)[0].type == Type.ANSWER
        answers: list[tuple[Message, float]] = []
        with greedy_client(program, kind, connections):
            end = time.monotonic() + GREEDY_S
            while time.monotonic() < end:
                answers.append(call_once(caller, len(answers) + 1))
                time.sleep(PAUSE_S)
        assert [message.type for message, _ in answers] == [Type.ANSWER] * len(answers)
        assert max(seconds for _, seconds in answers) < AIM_S


def test_usual_callers_keep_their_places_beside_a_flood_of_set_ups(tmp_path: Path) -> None:
    """Guards against set-ups in number that take the places of callers at another address."""
    with Program(tmp_path, max_open=20_000) as program:
        Thread(target=serve_all, args=(program,), daemon=True).start()
        caller = program.caller()
        assert call_once(caller, 0)[0].type == Type.ANSWER
        answers: list[tuple[Message, float]] = []
        with greedy_client(program, "set-ups", 1):
            end = time.monotonic() + GREEDY_S
            while time.monotonic() < end:
                answers.append(call_once(caller, len(answers) + 1))
                time.sleep(PAUSE_S)
        assert [message.type for message, _ in answers] == [Type.ANSWER] * len(answers)


def test_a_message_of_very_many_fields_is_not_parsed() -> None:
    """Guards against one message whose fields take long to parse."""
    body = write_release(bytes(8), 16)[2:]
    fields = b"\xc8\0\0" * (MAX_PARAMETERS - 1)
    assert read_message(body + fields).cause() == 16
    with pytest.raises(CodecError):
        read_message(body + fields + b"\xc8\0\0")


def peak_memory_mb(program: Program) -> float:
    """Return the largest resident memory that the process has had, in MB."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024.0  # type: ignore[union-attr]


@pytest.mark.parametrize(("memory_mb", "sockets"), [(32, 256), (96, 1024), (192, 1024)])
def test_memory_stays_within_its_limit_beside_clients_with_large_set_ups(
    tmp_path: Path, memory_mb: int, sockets: int
) -> None:
    """Guards against many connections that each stay within their own limits, but not their sum."""
    with Program(tmp_path, max_open=20_000, sockets=sockets, memory_mb=memory_mb) as program:
        Thread(target=serve_all, args=(program,), daemon=True).start()
        caller = program.caller()
        with greedy_client(program, "large", sockets // 3):
            end = time.monotonic() + GREEDY_S
            number = 0
            while time.monotonic() < end:
                call_once(caller, number := number + 1)  # answered or refused, but never left alone
                time.sleep(PAUSE_S)
        assert peak_memory_mb(program) < memory_mb


def test_a_connection_keeps_its_share_when_others_have_used_up_what_is_common() -> None:
    """Guards against one connection that takes the room of all others."""
    budget = MemoryBudget(1000)
    greedy, usual = MemoryAccount(budget), MemoryAccount(budget)
    while greedy.may_take(100):
        greedy.add(100)
    assert greedy.held == 500
    assert usual.may_take(200)
    usual.add(200)
    assert usual.may_take(50) and not usual.may_take(51)
    greedy.close()
    assert budget.held == 200 and usual.may_take(300)
