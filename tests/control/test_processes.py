"""Control nodes and proxies as real processes: leases, state, loss of one node and of all, bad input."""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from martentide.extras import ExtrasError, read_extras
from martentide.settings import settings_from
from martentide_lab.control.processes import ControlNodes, control_status, wait_until_attached
from martentide_lab.proxy import PROJECT_ROOT, ProxyProcess
from martentide_lab.servers import DiscoveryServer, SessionServer
from tests.net.support import SETTINGS

TIMEOUT_S = 30.0  # s per wait before the test fails


async def wait_for_members(proxy: ProxyProcess, service: str, members: set[str]) -> None:
    """Wait until the proxy holds exactly these members of the service."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            entries = (await control_status(proxy))["entries"]
            held = {name for one in entries if one["service"] == service for name in one["members"]}
            if held == members:
                return
            await asyncio.sleep(0.05)


async def run_scenario() -> None:
    """Run three nodes and three proxies; kill nodes, terminate a proxy and start a node again."""
    server, discovery = SessionServer(0), DiscoveryServer()
    await server.start()
    await discovery.start()
    nodes = ControlNodes(3)
    for name in nodes.names:
        await nodes.start(name)
    proxies = []
    for at, (service, calls) in enumerate([("sign", ["pay"]), ("sign", []), ("pay", ["sign"])]):
        extras = nodes.extras(f"z{at}", service, calls)
        proxies.append(
            ProxyProcess(discovery, [server], extras, with_operator=True, name=f"p{at}", peers=True)
        )
    try:
        for proxy in proxies:
            await proxy.start()
        await wait_until_attached(proxies, TIMEOUT_S)
        caller = proxies[2]
        await wait_for_members(caller, "sign", {"p0", "p1"})
        await wait_for_members(proxies[0], "pay", {"p2"})

        held = (await control_status(caller))["node"]
        await nodes.kill(held)
        async with asyncio.timeout(TIMEOUT_S):
            while (now := await control_status(caller))["node"] == held or now["state"] != "attached":
                await asyncio.sleep(0.05)
        await wait_until_attached(proxies, TIMEOUT_S)
        await wait_for_members(caller, "sign", {"p0", "p1"})

        proxies[0].send_signal(signal.SIGTERM)  # releases its lease and is removed at once
        await wait_for_members(caller, "sign", {"p1"})

        for name in list(nodes.processes):
            await nodes.kill(name)
        await caller.wait_for_log_line("tier-alone")
        await nodes.start(held)
        await wait_until_attached(proxies[1:], TIMEOUT_S)
        await wait_for_members(caller, "sign", {"p1"})
    finally:
        for proxy in proxies:
            await proxy.kill()
        await nodes.kill_all()
        await server.stop()
        await discovery.stop()


def test_proxies_obtain_leases_and_state_again_after_nodes_are_lost() -> None:
    asyncio.run(run_scenario())


def test_garbage_at_the_control_port_only_raises_a_counter() -> None:
    async def flood() -> None:
        nodes = ControlNodes(1)
        await nodes.start("c0")
        server, discovery = SessionServer(0), DiscoveryServer()
        await server.start()
        await discovery.start()
        port = int(nodes.node_settings.split('address="127.0.0.1:')[1].split('"')[0])
        try:
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                for at in range(2_000):
                    sender.sendto(bytes([at % 256]) * (at % 1_400), ("127.0.0.1", port))
            async with ProxyProcess(
                discovery, [server], nodes.extras("z0", "sign", []), with_operator=True, name="p0", peers=True
            ) as proxy:
                await wait_until_attached([proxy], TIMEOUT_S)
        finally:
            await nodes.kill_all()
            await server.stop()
            await discovery.stop()

    asyncio.run(flood())


NODES = 'nodes {\n c0 region="r" address="127.0.0.1:1" gossip="127.0.0.1:2"\n }'
TIER = 'control-tier {{\n fleet "f"\n region "r"\n zone "z"\n service "s"\n {}\n}}'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (TIER.format(""), "control-tier: expected a node nodes, found none"),
        (TIER.format(NODES + '\n calls 5'), "calls: expected names of services, found [5]"),
        (TIER.format(NODES + '\n zome "x"'), "zome: unknown node; did you mean zone?"),
        (TIER.format('nodes {\n c0 region="r"\n }'), "expected the properties region, address"),
        (
            TIER.format('nodes {\n c0 region="r" address="here:1"\n }'),
            "expected an IPv4 address, found 'here'",
        ),
        (f'control-node {{\n fleet "f"\n name "c1"\n {NODES}\n}}', "expected one of the nodes, found 'c1'"),
        (f'control-node {{\n fleet "f"\n {NODES}\n}}', "expected a node name, found none"),
    ],
)  # fmt: skip
def test_an_invalid_file_gets_a_one_line_error(text: str, message: str) -> None:
    with pytest.raises(ExtrasError) as error:
        read_extras(text, "f", None)
    assert message in str(error.value)


def test_the_control_tier_is_refused_if_the_settings_forbid_peers() -> None:
    settings = settings_from(SETTINGS)
    assert not settings.may_tell_peers
    with pytest.raises(ExtrasError, match=r"control-tier: the settings forbid .*limits\.peers is false"):
        read_extras(TIER.format(NODES), "f", settings)


def test_the_control_command_requires_a_control_node_in_its_file(tmp_path: Path) -> None:
    path = tmp_path / "extras.kdl"
    path.write_text("// nothing")
    command: list[Any] = [sys.executable, "-B", "-m", "martentide", "control", "--extras", str(path)]
    ended = subprocess.run(command, cwd=PROJECT_ROOT, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert ended.returncode == 2 and "expected a node control-node, found none" in ended.stderr
