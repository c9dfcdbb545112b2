"""Operation of the running program on real sockets: drains, operator calls, reloads, many connections."""

from __future__ import annotations

import json
import select
import signal
import socket
import time
from pathlib import Path
from typing import Any

from martentide.codec.messages import Code, Type, write_message
from tests.net.support import TIMEOUT_S, Program, Wire
from tests.net.test_rules_on_sockets import A, B, set_up_call

SET_UP: dict[int, bytes] = {
    Code.CLASS: b"voice",
    Code.TIME_LEFT: b"3000",
    Code.NUMBER: b"7f3a",
    Code.FIGURES: b"dest:0;width:1;via:-1",
    Code.DESCRIPTION: b"d",
}
READY, OUT, IN = "/control/ready", "/control/out-of-service", "/control/in-service"


def health_check_passes(program: Program) -> bool:
    """Return the result of a health check like the one that a front makes."""
    front = program.caller()
    front.send(Type.TEST, A, {Code.CAUSE: b"\0"})
    passed = front.receive(Type.TEST_RESULT).cause() == 1
    front.sock.close()
    return passed


def test_drain_closes_idle_connections_and_none_with_a_call(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as program:
        idle, caller, open_one = program.caller(), program.caller("127.0.0.2"), program.caller("127.0.0.3")
        server = program.servers[0].accept()
        assert health_check_passes(program) and program.call("GET", READY) == 200
        set_up_call(caller, server)
        open_one.set_up(B)
        server.receive(Type.SET_UP)
        began = time.monotonic()
        assert program.call("POST", OUT) == 200
        assert program.call("GET", READY) == 503 and not health_check_passes(program)
        late = program.caller("127.0.0.4")  # the front still sends calls for a short time
        set_up_call(late, server, bytes(7) + b"\1")
        assert idle.closed() and time.monotonic() - began < 4.0
        server.send(Type.ANSWER, B, {Code.DESCRIPTION: b"x"})
        assert open_one.receive().type == Type.ANSWER
        server.release(B, 16)
        assert open_one.receive().type == Type.RELEASE and open_one.closed()
        server.release(A, 16)  # the standing call stayed, and its caller gets its release
        assert caller.receive().type == Type.RELEASE and caller.closed()
        assert program.call("POST", OUT) == 200  # repeating the call is allowed


def test_set_ups_late_in_a_drain_are_refused_at_once(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        program.call("POST", OUT)
        time.sleep(2.2)  # past the part of a drain in which set-ups are accepted
        caller.set_up(B)
        assert (refused := caller.receive()).type == Type.RELEASE and refused.cause() == 42


def test_in_service_ends_a_drain_and_cancels_its_later_steps(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.send(Type.TEST, A, {Code.CAUSE: b"\0"})  # the connection has carried a message
        caller.receive(Type.TEST_RESULT)
        program.call("POST", OUT)
        assert (
            program.call("POST", IN) == 200
            and program.call("GET", READY) == 200
            and health_check_passes(program)
        )
        time.sleep(2.2)  # past every timer of the ended drain
        set_up_call(caller, server)


def test_operator_calls_are_rejected_while_stopping(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        program.terminate()
        program.logged("state=stopping")
        assert program.call("GET", READY) == 503
        assert program.call("POST", OUT) == 409 and program.call("POST", IN) == 409
        server.release(A, 16)
        assert caller.receive().type == Type.RELEASE
        assert program.process.wait(TIMEOUT_S) == 0


def test_incomplete_calls_neither_delay_nor_displace_complete_ones(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as program:
        incomplete = []
        for at in range(100):  # more than there are descriptors for
            sock = socket.create_connection(("127.0.0.1", program.operator), TIMEOUT_S)
            sock.sendall(b"POST /control/out-of-service HTT" if at % 2 else b"")
            incomplete.append(sock)
            if at % 20 == 0:
                began = time.monotonic()
                assert program.call("GET", READY) == 200
                assert time.monotonic() - began < 1.0
        last = Wire(incomplete[-1])
        assert last.receive_exactly(12) == b"HTTP/1.1 408"  # an incomplete call gets an answer too
        assert program.call("GET", READY) == 200


def test_second_call_on_a_connection_is_ignored(tmp_path: Path) -> None:
    with Program(tmp_path, operated=True) as program:
        sock = socket.create_connection(("127.0.0.1", program.operator), TIMEOUT_S)
        sock.sendall(
            b"GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\nPOST /control/out-of-service HTTP/1.1\r\n\r\n"
        )
        answer = b"".join(iter(lambda: sock.recv(4096), b""))
        assert answer.startswith(b"HTTP/1.1 200 ") and answer.count(b"HTTP/1.1") == 1
        reset = socket.create_connection(("127.0.0.1", program.operator), TIMEOUT_S)
        Wire(reset).reset()
        assert program.call("GET", READY) == 200


def test_without_an_operator_address_there_is_no_listener(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        assert not [line for line in program.log if "operator" in line]


def changed_settings(program: Program, **changes: Any) -> str:
    """Return the program's configuration with a second class and the given limits."""
    raw = json.loads(program.config.read_text())
    first = raw["settings"]["classes"][0]
    raw["settings"]["classes"] = [first, {**first, "name": "video", "repeat": "non_idempotent"}]
    raw["settings"]["extra"]["pools_by_class"] = [[0, 1], [0, 1]]
    raw["settings"]["limits"].update(changes)
    return json.dumps(raw)


def test_sighup_changes_settings_for_new_calls_only(tmp_path: Path) -> None:
    with Program(tmp_path, servers=2) as program:
        caller = program.caller()
        servers = [listener.accept() for listener in program.servers]
        caller.set_up(A, left=9000)
        servers[0].receive(Type.SET_UP)
        program.reload(changed_settings(program, max_attempts=1))
        program.logged("reloaded .*revision=1 settings=changed classes=voice,video")
        # Fails an attempt of a call that was set up when five attempts were allowed.
        servers[0].release(A, 41)
        assert servers[1].receive(Type.SET_UP).call == A
        servers[1].send(Type.ANSWER, A, {Code.DESCRIPTION: b"x"})
        assert caller.receive().type == Type.ANSWER
        caller.set_up(B, left=9000, name=b"video")  # of the new class, which may not be retried
        servers[0].receive(Type.SET_UP)
        servers[0].release(B, 41)
        assert (failed := caller.receive()).call == B and failed.cause() not in (16, 34, 42, 102)


def test_invalid_file_is_rejected_and_the_last_valid_one_stays_in_force(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        discovery = program.discovery.accept()
        good = changed_settings(program)
        bad = good.replace(f":{program.discovery.port}", ":9")
        program.reload(bad.replace('"max_attempts": 5', '"max_attempts": 0'))
        program.logged(
            "reload-failed detail='settings: limits.max_attempts: expected a whole number .*, found 0'"
        )
        program.reload("")
        program.logged("reload-failed .*not JSON")
        program.reload(bad.replace('"late_share"', '"late_shore"', 1))
        program.logged("reload-failed .*missing")
        program.reload(good)
        program.logged("reloaded .*revision=1 settings=changed")
        program.reload(good)
        program.logged("reloaded .*revision=1 settings=same")
        discovery.receive_exactly(8)
        set_up_call(program.caller(), program.servers[0].accept())


def test_slow_callers_and_the_operator_are_served_among_many_incomplete_set_ups(tmp_path: Path) -> None:
    """Incomplete set-ups, finally on more connections than descriptors, while one caller writes for 2 s."""
    with Program(tmp_path, operated=True) as program:
        server = program.servers[0].accept()
        set_up = write_message(Type.SET_UP, B, SET_UP)
        wires = []
        for at in range(20):
            wire = program.caller(f"127.0.0.{10 + at}")
            wire.sock.sendall(set_up[: 3 + at % 40])
            wires.append(wire)
        slow = program.caller("127.0.0.9")
        for part in range(5):
            slow.sock.sendall(set_up[part * len(set_up) // 5 : (part + 1) * len(set_up) // 5])
            began = time.monotonic()
            assert program.call("GET", READY) == 200 and time.monotonic() - began < 1.0
            time.sleep(0.45 if part < 4 else 0.0)
        assert server.receive(Type.SET_UP).call == B
        for at in range(90):
            wire = program.caller(f"127.0.0.{10 + at}")
            wire.sock.sendall(set_up[: 3 + at % 40])
            wires.append(wire)
        began = time.monotonic()
        assert program.call("GET", READY) == 200 and time.monotonic() - began < 1.0
        program.terminate()
        server.send(Type.ANSWER, B, {Code.DESCRIPTION: b"x"})
        assert slow.receive().type == Type.ANSWER
        assert program.call("GET", READY) == 503
        server.release(B, 16)
        assert slow.receive().type == Type.RELEASE
        assert program.process.wait(TIMEOUT_S) == 0
        assert not [line for line in program.log if "internal-error" in line or "Too many open" in line]


def test_burst_of_operator_connects_while_the_program_is_stopped(tmp_path: Path) -> None:
    """Guards against dropped connects: the kernel retries one only after 1 s, too late for the answer."""
    with Program(tmp_path, operated=True) as program:
        program.process.send_signal(signal.SIGSTOP)
        burst = [socket.socket() for _ in range(60)]
        for sock in burst:
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", program.operator))
        _, connected, _ = select.select([], burst, [], 0.5)
        while len(connected) < len(burst) and connected:
            left = [sock for sock in burst if sock not in connected]
            _, more, _ = select.select([], left, [], 0.2)
            if not more:
                break
            connected += more
        program.process.send_signal(signal.SIGCONT)
        assert len(connected) == len(burst)
        assert program.call("GET", READY) == 200
