"""Helpers of the network tests: run the program and simulate its peers on loopback sockets."""

from __future__ import annotations

import copy
import http.client
import json
import os
import queue
import re
import resource
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import TracebackType
from typing import Any

from martentide.codec.discovery import FRAME, LENGTH, RECORD
from martentide.codec.messages import Code, Message, Type, body_length, read_message, write_message

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 15.0  # of every wait in a test
DESCRIPTION = bytes(range(256))  # every byte value, because it must be passed on unchanged

SETTINGS: dict[str, Any] = {
    "n_instances": 1,
    "slot_no": 0,
    "classes": [
        {
            "name": "voice",
            "worth": 1.0,
            "aim_ms": 1500.0,
            "deadline_ms": 9000.0,
            "late_share": 0.1,
            "repeat": "read_like",
        }
    ],
    "extra": {
        "layout": "groups", "own_number": -1, "pools_by_class": [[0, 1]], "release_ms": 200.0, "t1_ms": 800.0,
    },
    "feedback": {"fields": ["spare", "total", "cut_by"], "how": "answers"},
    "limits": {
        "connect_timeout_ms": 500.0,
        "max_attempts": 5,
        "max_open": 100,
        "max_retry_after_ms": 2000.0,
        "may_cancel": True,
        "peers": False,
        "probes": True,
        "retry_after": True,
    },
    "membership_mode": "automatic",
    "over_share_worth": 0.1,
    "parties": [],
    "rules": {
        "answer_slack_ms": 20.0,
        "cold_ms": 13000.0,
        "cold_share": 0.31,
        "fall_multiple": 2.0,
        "fall_ms": 3000.0,
    },
    "zones": ["east", "west"],
}  # fmt: skip


def parameters_of(left: int, **more: bytes) -> dict[int, bytes]:
    """Return the parameters of a set-up; ``left``: its time left in ms."""
    return {
        Code.CLASS: more.get("name", b"voice"),
        Code.TIME_LEFT: str(left).encode(),
        Code.NUMBER: more.get("number", b"7f3a"),
        Code.FIGURES: b"dest:0;width:1;via:-1",
        Code.DESCRIPTION: DESCRIPTION,
    }


class Wire:
    """One connection that sends and receives the protocol's messages."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # send at once

    def receive_exactly(self, count: int) -> bytes:
        """Return ``count`` bytes; raises EOFError if the connection ends before."""
        data = b""
        while len(data) < count:
            part = self.sock.recv(count - len(data))
            if not part:
                raise EOFError
            data += part
        return data

    def send(self, kind: int, call: bytes, parameters: dict[int, bytes] | None = None) -> None:
        """Send a message of that type."""
        self.sock.sendall(write_message(kind, call, parameters))

    def set_up(self, call: bytes, left: int = 3000, **more: bytes) -> None:
        """Send a set-up; ``left``: its time left in ms."""
        self.send(Type.SET_UP, call, parameters_of(left, **more))

    def release(self, call: bytes, cause: int) -> None:
        """Send a release of the call."""
        self.send(Type.RELEASE, call, {Code.CAUSE: bytes((cause,))})

    def set_up_bytes(self, call: bytes, left: int = 3000) -> bytes:
        """Return an encoded set-up without sending it."""
        return write_message(Type.SET_UP, call, parameters_of(left))

    def receive(self, *kinds: int) -> Message:
        """Return the next message, or the next of the given types."""
        while True:
            message = read_message(self.receive_exactly(body_length(self.receive_exactly(2))))
            if not kinds or message.type in kinds:
                return message

    def closed(self) -> bool:
        """Read until the other side closes the connection; return True then."""
        try:
            while True:
                self.receive_exactly(1)
        except (EOFError, ConnectionResetError):
            return True

    def has_no_input(self) -> bool:
        """Return whether nothing can be read now."""
        return not select.select([self.sock], [], [], 0.0)[0]

    def reset(self) -> None:
        """Reset the connection, as the end of a process may do."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.sock.close()


class Listener:
    """A scripted peer that is dialled: a session server or the discovery service."""

    def __init__(self, backlog: int | None = None, port: int = 0) -> None:
        self.sock = socket.create_server(("127.0.0.1", port), backlog=backlog)
        self.sock.settimeout(TIMEOUT_S)
        self.port: int = self.sock.getsockname()[1]

    def accept(self) -> Wire:
        """Accept the next connection."""
        return Wire(self.sock.accept()[0])

    def close(self) -> None:
        """Stop listening."""
        self.sock.close()


def endpoint(number: int, port: int, status: str = "SERVING") -> dict[str, Any]:
    """Return a session server as the configuration's ``known`` lists it."""
    return {
        "name": f"s-{number:08x}", "address": f"127.0.0.1:{port}", "zone": "east", "type": "std",
        "group": number, "status": status, "weight": 1, "since_ms": 0,
    }  # fmt: skip


def frame(number: int, kind: int, *records: tuple[int, int, int], started: int = 0) -> bytes:
    """Return a frame of the discovery service; records as (id, port, state)."""
    local = socket.inet_aton("127.0.0.1")
    body = FRAME.pack(number, kind) + b"".join(
        RECORD.pack(name, local, port, state, 0, 0, name, 1000, started) for name, port, state in records
    )
    return LENGTH.pack(len(body)) + body


class Program:
    """The program under test, with a scripted discovery service and scripted session servers."""

    def __init__(
        self,
        folder: Path,
        servers: int = 1,
        operated: bool = False,
        temporary: Path | None = None,
        settings: dict[str, Any] | None = None,
        arguments: tuple[str, ...] = (),
        sockets: int = 64,
        descriptors: int | None = None,
        memory_mb: int = 192,
        **limits: Any,
    ) -> None:
        self.servers = [Listener() for _ in range(servers)]
        self.discovery = Listener()
        self.arguments = arguments  # further command-line arguments
        self.descriptors = descriptors  # descriptor limit of the process; None: inherited
        settings = {**SETTINGS, **(settings or {}), "limits": {**SETTINGS["limits"], **limits}}
        known = [endpoint(at, server.port) for at, server in enumerate(self.servers)]
        self.config = folder / "config.json"
        self.config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                    "board": f"127.0.0.1:{self.discovery.port}",
                    **({"operator": "127.0.0.1:0"} if operated else {}),
                    "known": {
                        "rev": 1,
                        "notices": [{"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": known}}],
                    },
                    "settings": settings,
                }
            )
        )
        self.temporary, self.operated = temporary or folder, operated
        self._launch()

    def _launch(self) -> None:
        environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-B",
                "-m",
                "martentide",
                "serve",
                "--config",
                str(self.config),
                *self.arguments,
            ],
            cwd=ROOT,
            env={**environment, "TMPDIR": str(self.temporary)},
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=None if self.descriptors is None else self._limit,
        )
        self.lines: queue.Queue[str] = queue.Queue()
        self.log: list[str] = []
        threading.Thread(target=self._read_log, args=(self.process, self.lines), daemon=True).start()
        if self.operated:
            self.operator = int(self.logged(r"operator-listening address=127\.0\.0\.1:(\d+)").group(1))
        self.port = int(self.logged(r"serving .*address=127\.0\.0\.1:(\d+)").group(1))
        self.logged("state=in-service")  # from now on a successor can find the process

    def _limit(self) -> None:
        assert self.descriptors is not None
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def start_successor(self) -> Program:
        """Start a second process with the same configuration, which becomes the successor."""
        other = copy.copy(self)
        other._launch()
        return other

    @contextmanager
    def stopped(self) -> Iterator[None]:
        """Suspend the process meanwhile: input stays in the kernel, and timers come due."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def _read_log(self, process: subprocess.Popen[str], lines: queue.Queue[str]) -> None:
        assert process.stderr is not None
        for line in process.stderr:
            lines.put(line.rstrip())

    def logged(self, pattern: str) -> re.Match[str]:
        """Wait for a log line with the pattern, starting after the one that was found last."""
        end = time.monotonic() + TIMEOUT_S
        while True:
            try:
                line = self.lines.get(timeout=max(0.01, end - time.monotonic()))
            except queue.Empty:
                raise AssertionError(f"no log line with {pattern!r} in {self.log}") from None
            self.log.append(line)
            found = re.search(pattern, line)
            if found:
                return found

    def caller(self, host: str = "127.0.0.1") -> Wire:
        """Connect as a caller, from the address ``host``."""
        return Wire(socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S, (host, 0)))

    def call(self, method: str, path: str) -> int:
        """Send a request as the operator; return the HTTP status."""
        connection = http.client.HTTPConnection("127.0.0.1", self.operator, timeout=TIMEOUT_S)
        try:
            connection.request(method, path)
            return connection.getresponse().status
        finally:
            connection.close()

    def reload(self, text: str) -> None:
        """Replace the configuration file and send SIGHUP."""
        self.config.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def __enter__(self) -> Program:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.kill()
        for listener in [*self.servers, self.discovery]:
            listener.close()
