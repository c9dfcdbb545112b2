"""Control nodes and proxies as real processes: cost of the tier per process, and recovery from node losses.

The proxies first run without the tier; the difference in cost is that of the tier. There are no calls.
"""

from __future__ import annotations

import asyncio
import signal
import time

from benchmarks.scale.results import Row
from martentide_lab.control.processes import ControlNodes, control_status, wait_until_attached
from martentide_lab.proxy import ProxyProcess
from martentide_lab.servers import DiscoveryServer, SessionServer

MEASURED_S = 15.0
SERVICES, CALLED_SERVICES = 6, 4
TIMEOUT_S = 60.0  # for all proxies to hold a lease, or to hold the expected members
STOP_S = 5.0  # for which a node is suspended by SIGSTOP


async def start_proxies(
    count: int, discovery: DiscoveryServer, server: SessionServer, nodes: ControlNodes | None
) -> list[ProxyProcess]:
    """Start ``count`` proxies, with the control tier if there are ``nodes``."""
    proxies = []
    for index in range(count):
        service = f"s{index % SERVICES}"
        calls = [f"s{(index + offset) % SERVICES}" for offset in range(1, CALLED_SERVICES + 1)]
        extras = None if nodes is None else nodes.extras(f"z{index % 3}", service, calls)
        proxies.append(
            ProxyProcess(discovery, [server], extras, with_operator=True, name=f"p{index}", peers=True)
        )
    for proxy in proxies:
        await proxy.start()
    return proxies


async def mean_usage(proxies: list[ProxyProcess]) -> tuple[float, float]:
    """Return the mean share of a processor core and the mean resident MB per proxy, without faults."""
    seconds_before = sum(proxy.cpu_seconds() for proxy in proxies)
    await asyncio.sleep(MEASURED_S)
    share = (sum(proxy.cpu_seconds() for proxy in proxies) - seconds_before) / MEASURED_S / len(proxies)
    return share, sum(proxy.resident_memory_mb() for proxy in proxies) / len(proxies)


async def wait_until_members_match(proxies: list[ProxyProcess], expected: dict[str, set[str]]) -> None:
    """Wait until each proxy holds exactly the members of its services; raises TimeoutError."""
    async with asyncio.timeout(TIMEOUT_S):
        for proxy in proxies:
            while True:
                held: dict[str, set[str]] = {}
                for entry in (await control_status(proxy))["entries"]:
                    held.setdefault(entry["service"], set()).update(entry["members"])
                if held and all(held[service] == expected[service] for service in held):
                    break
                await asyncio.sleep(0.1)


async def measure(count: int, node_count: int) -> Row:
    """Measure ``count`` proxies with control nodes, in steady state and after losses of nodes."""
    server, discovery = SessionServer(0), DiscoveryServer()
    await server.start()
    await discovery.start()
    proxies_without_tier = await start_proxies(count, discovery, server, None)
    await asyncio.sleep(2.0)
    share_without_tier, resident_without_tier = await mean_usage(proxies_without_tier)
    for proxy in proxies_without_tier:
        await proxy.kill()
    nodes = ControlNodes(node_count)
    for name in nodes.names:
        await nodes.start(name)
    proxies = await start_proxies(count, discovery, server, nodes)
    expected: dict[str, set[str]] = {}
    for index, proxy in enumerate(proxies):
        expected.setdefault(f"s{index % SERVICES}", set()).add(proxy.name)
    try:
        await wait_until_attached(proxies, TIMEOUT_S)
        await wait_until_members_match(proxies, expected)
        node_seconds_before = {name: nodes.usage(name)[0] for name in nodes.names}
        bytes_before = await traffic_bytes(proxies)
        share, resident = await mean_usage(proxies)
        byte_rate = (await traffic_bytes(proxies) - bytes_before) / MEASURED_S / count
        node_share = max(
            (nodes.usage(name)[0] - node_seconds_before[name]) / MEASURED_S for name in nodes.names
        )
        node_resident = max(nodes.usage(name)[1] for name in nodes.names)
        started = time.monotonic()
        await nodes.kill("c0")
        await asyncio.sleep(2.5)
        await wait_until_attached(proxies, TIMEOUT_S)
        await wait_until_members_match(proxies, expected)
        after_kill_s = time.monotonic() - started
        await nodes.start("c0")
        nodes.send_signal("c1", signal.SIGSTOP)
        await asyncio.sleep(STOP_S)
        nodes.send_signal("c1", signal.SIGCONT)
        started = time.monotonic()
        await wait_until_attached(proxies, TIMEOUT_S)
        await wait_until_members_match(proxies, expected)
        after_stop_s = time.monotonic() - started
        for name in list(nodes.processes):
            await nodes.kill(name)
        for proxy in proxies:
            await proxy.wait_for_log_line("tier-alone")
        for name in nodes.names:
            await nodes.start(name)
        started = time.monotonic()
        await wait_until_attached(proxies, TIMEOUT_S)
        await wait_until_members_match(proxies, expected)
        after_all_lost_s = time.monotonic() - started
    finally:
        for proxy in proxies:
            await proxy.kill()
        await nodes.kill_all()
        await server.stop()
        await discovery.stop()
    return {
        "proxies": count,
        "control_nodes": node_count,
        "bytes_per_s_proxy": round(byte_rate, 1),
        "cpu_share_proxy": round(share - share_without_tier, 5),
        "cpu_share_proxy_without": round(share_without_tier, 5),
        "rss_mb_proxy": round(resident, 1),
        "rss_mb_proxy_without": round(resident_without_tier, 1),
        "cpu_share_control": round(node_share, 5),
        "rss_mb_control": round(node_resident, 1),
        "whole_after_kill_s": round(after_kill_s, 1),
        "whole_after_stop_s": round(after_stop_s, 1),
        "whole_after_all_lost_s": round(after_all_lost_s, 1),
    }


async def traffic_bytes(proxies: list[ProxyProcess]) -> float:
    """Return the bytes of all control datagrams so far, including 28 bytes of IPv4 and UDP headers each."""
    total = 0.0
    for proxy in proxies:
        counts = (await control_status(proxy))["counts"]
        total += counts.get("sent_bytes", 0) + counts.get("received_bytes", 0)
        total += 28 * (counts.get("sent", 0) + counts.get("received", 0))
    return total
