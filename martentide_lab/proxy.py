"""Starts the proxy as a process of its own, configured with a test discovery service and test servers."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import zlib
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import psutil

from martentide_lab.servers import DiscoveryServer, SessionServer

PROJECT_ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 20.0  # also for an expected log line and for the end of the process
# Call classes: name, worth, aim in ms, deadline in ms.
CLASSES = (("status-check", 1.0, 1500.0, 9000.0), ("qualified-sign", 6.0, 1000.0, 6000.0),
           ("envelope-prep", 2.0, 1200.0, 9000.0))  # fmt: skip


def site_settings(servers: int, **limits: Any) -> dict[str, Any]:
    """Return the settings of a small site with three classes, each of which may use any pool."""
    return {
        "n_instances": 1,
        "slot_no": 0,
        "classes": [
            {
                "name": name, "worth": worth, "aim_ms": aim, "deadline_ms": deadline, "late_share": 0.2,
                "repeat": "read_like",
            }
            for name, worth, aim, deadline in CLASSES
        ],
        "extra": {
            "layout": "groups", "own_number": -1, "release_ms": 200.0, "t1_ms": 800.0,
            "pools_by_class": [list(range(max(servers, 64))) for _ in CLASSES],
        },
        "feedback": {"fields": ["spare", "total", "cut_by"], "how": "answers"},
        "limits": {
            "connect_timeout_ms": 500.0, "max_attempts": 5, "max_open": 20_000, "max_retry_after_ms": 2000.0,
            "may_cancel": True, "peers": False, "probes": True, "retry_after": True, **limits,
        },
        "membership_mode": "automatic",
        "over_share_worth": 0.1,
        "parties": [],
        "rules": {
            "answer_slack_ms": 20.0, "cold_ms": 13000.0, "cold_share": 0.31, "fall_multiple": 2.0,
            "fall_ms": 3000.0,
        },
        "zones": ["sofia", "plovdiv", "varna"],
    }  # fmt: skip


def endpoint(server: SessionServer, address: str | None = None) -> dict[str, Any]:
    """Return the configuration entry of a server; ``address`` replaces its own address."""
    return {
        "name": server.name, "address": address or server.address, "zone": "sofia", "type": "std",
        "group": server.number, "status": "SERVING", "weight": 1, "since_ms": 0,
    }  # fmt: skip


class ProxyProcess:
    """One running proxy process.

    ``log`` holds its log lines, ``external_processor_address`` the address of its external processor.
    """

    def __init__(
        self,
        discovery: DiscoveryServer,
        servers: Sequence[SessionServer],
        extras: str | None,
        with_operator: bool = False,
        folder: Path | None = None,
        with_temporary_directory: bool = True,  # sets TMPDIR, where a successor finds the process
        name: str = "n0",
        # By server name or "board": the address that is configured in place of the real one.
        address_overrides: Mapping[str, str] | None = None,
        **limits: Any,
    ) -> None:
        self.name, self.address_overrides, self.limits = name, address_overrides or {}, limits
        self.discovery, self.servers, self.extras, self.with_operator = (
            discovery,
            servers,
            extras,
            with_operator,
        )
        self.environment: dict[str, str] = {}  # additional environment variables
        self.with_temporary_directory, self.listen = with_temporary_directory, "127.0.0.1:0"
        self.proxy_count = 1  # number of proxies in the settings
        self.folder = folder or Path(tempfile.mkdtemp(prefix="martentide-"))
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.log_line_received = asyncio.Event()
        self.external_processor_address = self.caller_address = self.operator_address = ""
        self.log_reader_task: asyncio.Task[None] | None = None
        self.on_log_line: Callable[[ProxyProcess, str], None] | None = None  # called with each line

    async def __aenter__(self) -> ProxyProcess:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.kill()

    def write_extras(self, extras: str | None) -> None:
        """Write the extras file; None leaves it unchanged."""
        if extras is not None:
            (self.folder / "extras.kdl").write_text(extras)

    async def start(self) -> None:
        """Start the process and wait until it serves.

        Raises RuntimeError if it ends before, and TimeoutError if a line of the start takes longer than
        ``START_TIMEOUT_S``.
        """
        endpoints = [endpoint(server, self.address_overrides.get(server.name)) for server in self.servers]
        config = {
            "name": self.name, "listen": self.listen, "seed": f"{zlib.crc32(self.name.encode()):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": self.address_overrides.get("board", self.discovery.address),
            **({"operator": "127.0.0.1:0"} if self.with_operator else {}),
            "known": {"rev": 1, "notices": [
                {"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": endpoints}}]},
            "settings": {**site_settings(len(self.servers), **self.limits), "n_instances": self.proxy_count},
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(config))
        self.write_extras(self.extras)
        command = [sys.executable, "-B", "-m", "martentide", "serve"]
        command += ["--config", str(self.folder / "config.json")]
        if self.extras is not None:
            command += ["--extras", str(self.folder / "extras.kdl")]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        environment.pop("TMPDIR", None)
        environment |= self.environment
        if self.with_temporary_directory:
            environment["TMPDIR"] = str(self.folder)
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=PROJECT_ROOT, env=environment, stderr=asyncio.subprocess.PIPE, limit=1024 * 1024
        )
        self.log_reader_task = asyncio.create_task(self._read_log())
        line = await self.wait_for_log_line("serving ")
        self.caller_address = line.split("address=")[1].split()[0]
        if self.with_operator:
            self.operator_address = (
                (await self.wait_for_log_line("operator-listening ")).split("address=")[1].split()[0]
            )
            await self.wait_for_log_line("state=in-service")
        if self.extras is not None and "external-processor" in self.extras:
            self.external_processor_address = (
                (await self.wait_for_log_line("external-processor ")).split("address=")[1].split()[0]
            )

    async def start_successor(self) -> ProxyProcess:
        """Start a second process with the same configuration and folder while this one runs."""
        successor = ProxyProcess(
            self.discovery, self.servers, self.extras, self.with_operator, self.folder,
            self.with_temporary_directory, self.name, self.address_overrides, **self.limits,
        )  # fmt: skip
        successor.on_log_line = self.on_log_line
        if not self.with_temporary_directory:
            successor.listen = self.caller_address
        await successor.start()
        return successor

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        async for line in self.process.stderr:
            text = line.decode("utf-8", "replace").rstrip()
            self.log.append(text)
            self.log_line_received.set()
            if self.on_log_line is not None:
                self.on_log_line(self, text)

    async def wait_for_log_line(self, substring: str, after: int = 0) -> str:
        """Wait for a log line with ``substring``; return the first one after the first ``after`` lines.

        Raises TimeoutError after ``START_TIMEOUT_S`` and RuntimeError if the process has ended.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                self.log_line_received.clear()
                for line in self.log[after:]:
                    if substring in line:
                        return line
                if self.process is not None and self.process.returncode is not None:
                    raise RuntimeError("the proxy process ended: " + " | ".join(self.log[-20:]))
                await self.log_line_received.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_until_ended(self) -> int:
        """Wait for the end of the process and return its exit code; raises TimeoutError."""
        assert self.process is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.log_reader_task is not None:
            self.log_reader_task.cancel()

    def resident_memory_mb(self) -> float:
        """Return the resident set size in MB."""
        assert self.process is not None
        return float(psutil.Process(self.process.pid).memory_info().rss) / 1e6

    def open_descriptors(self) -> int:
        """Return the number of open file descriptors."""
        assert self.process is not None
        return int(psutil.Process(self.process.pid).num_fds())

    def cpu_seconds(self) -> float:
        """Return the processor time used so far, in seconds."""
        assert self.process is not None
        times = psutil.Process(self.process.pid).cpu_times()
        return float(times.user + times.system)
