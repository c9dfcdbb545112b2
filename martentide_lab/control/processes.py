"""Real control nodes on loopback: their files and processes, and the extras of the proxies that ask them."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import tempfile
import urllib.request
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import psutil

from martentide_lab.proxy import PROJECT_ROOT, START_TIMEOUT_S, ProxyProcess

FLEET_NAME = "tier"


def free_ports(count: int) -> list[int]:
    """UDP ports of loopback that were free a moment ago: nodes must know each other's before they start."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(type=socket.SOCK_DGRAM)) for _ in range(count)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]


class ControlNodes:
    """``count`` nodes in one region."""

    def __init__(self, count: int) -> None:
        ports = free_ports(2 * count)
        self.names = [f"c{at}" for at in range(count)]
        self.folder = Path(tempfile.mkdtemp(prefix="martentide-control-"))
        pairs = zip(self.names, ports[::2], ports[1::2], strict=True)
        self.node_settings = "\n".join(
            f'{name} region="r0" address="127.0.0.1:{port}" gossip="127.0.0.1:{gossip}"'
            for name, port, gossip in pairs
        )
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def extras(self, zone: str, service: str, calls: list[str]) -> str:
        """The extras of a proxy."""
        called = " ".join(json.dumps(one) for one in calls)
        return (
            f'control-tier {{\n fleet "{FLEET_NAME}"\n region "r0"\n zone "{zone}"\n service "{service}"\n'
            f" calls {called}\n nodes {{\n{self.node_settings}\n }}\n}}"
        )

    async def start(self, name: str) -> None:
        path = self.folder / f"{name}.kdl"
        path.write_text(
            f'control-node {{\n fleet "{FLEET_NAME}"\n name "{name}"\n '
            f"nodes {{\n{self.node_settings}\n }}\n}}"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "martentide", "control", "--extras", str(path),
            cwd=PROJECT_ROOT, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.processes[name] = process
        assert process.stderr is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            while b"control-serving" not in (line := await process.stderr.readline()):
                if not line:
                    raise RuntimeError(f"control node {name} ended")
        self.draining = asyncio.create_task(self._drain(process.stderr))

    async def _drain(self, stream: asyncio.StreamReader) -> None:
        while await stream.readline():
            pass

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        await process.wait()

    async def kill_all(self) -> None:
        for name in list(self.processes):
            await self.kill(name)

    def usage(self, name: str) -> tuple[float, float]:
        """Seconds of processor time, and MB resident."""
        process = psutil.Process(self.processes[name].pid)
        times = process.cpu_times()
        return float(times.user + times.system), float(process.memory_info().rss) / 1e6


async def control_status(proxy: ProxyProcess) -> dict[str, Any]:
    """What the proxy says of its lease and of what it holds."""

    def ask() -> dict[str, Any]:
        with urllib.request.urlopen(f"http://{proxy.operator_address}/control/fleet", timeout=5) as answer:
            told: dict[str, Any] = json.load(answer)
        return told

    return await asyncio.to_thread(ask)


async def wait_until_attached(proxies: list[ProxyProcess], limit: float) -> None:
    """Until all hold a lease; raises TimeoutError."""
    async with asyncio.timeout(limit):
        for proxy in proxies:
            while (await control_status(proxy))["state"] != "attached":
                await asyncio.sleep(0.1)
