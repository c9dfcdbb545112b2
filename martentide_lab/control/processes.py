"""Control nodes as processes on loopback: their files, and the extras of the proxies that use them."""

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
    """Return UDP ports of loopback that were free just now; they are not reserved.

    Nodes must know each other's ports before they start.
    """
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket(type=socket.SOCK_DGRAM)) for _ in range(count)]
        for udp_socket in sockets:
            udp_socket.bind(("127.0.0.1", 0))
        return [udp_socket.getsockname()[1] for udp_socket in sockets]


class ControlNodes:
    """``count`` control nodes in one region."""

    def __init__(self, count: int) -> None:
        ports = free_ports(2 * count)
        self.names = [f"c{index}" for index in range(count)]
        self.folder = Path(tempfile.mkdtemp(prefix="martentide-control-"))
        node_ports = zip(self.names, ports[::2], ports[1::2], strict=True)
        self.node_settings = "\n".join(
            f'{name} region="r0" address="127.0.0.1:{port}" gossip="127.0.0.1:{gossip_port}"'
            for name, port, gossip_port in node_ports
        )
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def extras(self, zone: str, service: str, calls: list[str]) -> str:
        """Return the text of a proxy's extras file."""
        called = " ".join(json.dumps(service_name) for service_name in calls)
        return (
            f'control-tier {{\n fleet "{FLEET_NAME}"\n region "r0"\n zone "{zone}"\n service "{service}"\n'
            f" calls {called}\n nodes {{\n{self.node_settings}\n }}\n}}"
        )

    async def start(self, name: str) -> None:
        """Start a node and wait until it serves; raises RuntimeError if it ends before, or TimeoutError."""
        extras_path = self.folder / f"{name}.kdl"
        extras_path.write_text(
            f'control-node {{\n fleet "{FLEET_NAME}"\n name "{name}"\n '
            f"nodes {{\n{self.node_settings}\n }}\n}}"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "martentide", "control", "--extras", str(extras_path),
            cwd=PROJECT_ROOT, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.processes[name] = process
        assert process.stderr is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            while b"control-serving" not in (line := await process.stderr.readline()):
                if not line:
                    raise RuntimeError(f"control node {name} ended before it served")
        self.discard_task = asyncio.create_task(self._discard_output(process.stderr))

    async def _discard_output(self, stream: asyncio.StreamReader) -> None:
        while await stream.readline():
            pass

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a node and wait for its end."""
        process = self.processes.pop(name)
        process.kill()
        await process.wait()

    async def kill_all(self) -> None:
        """Kill all nodes that are running."""
        for name in list(self.processes):
            await self.kill(name)

    def usage(self, name: str) -> tuple[float, float]:
        """Return the processor time in seconds and the resident memory in MB."""
        process = psutil.Process(self.processes[name].pid)
        times = process.cpu_times()
        return float(times.user + times.system), float(process.memory_info().rss) / 1e6


async def control_status(proxy: ProxyProcess) -> dict[str, Any]:
    """Return the proxy's status of its lease, entries and counters from its operator endpoint."""

    def fetch() -> dict[str, Any]:
        with urllib.request.urlopen(f"http://{proxy.operator_address}/control/fleet", timeout=5) as response:
            status: dict[str, Any] = json.load(response)
        return status

    return await asyncio.to_thread(fetch)


async def wait_until_attached(proxies: list[ProxyProcess], timeout_s: float) -> None:
    """Wait until all proxies hold a lease; raises TimeoutError."""
    async with asyncio.timeout(timeout_s):
        for proxy in proxies:
            while (await control_status(proxy))["state"] != "attached":
                await asyncio.sleep(0.1)
