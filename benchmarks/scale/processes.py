"""Control nodes and proxies as real processes: what the tier costs each, and how it takes losses of nodes.

The same proxies run once without the tier: the difference is the tier's. Nobody calls meanwhile.
"""

from __future__ import annotations

import asyncio
import signal
import time

from benchmarks.scale.results import Row
from martentide_lab.control.processes import ControlNodes, control_status, wait_until_attached
from martentide_lab.proxy import ProxyProcess
from martentide_lab.servers import DiscoveryServer, SessionServer

SECONDS = 15.0
SERVICES, CALLED = 6, 4
LIMIT = 60.0  # s for all to hold a lease
STOP = 5.0  # s that a node stands still


async def started(
    count: int, board: DiscoveryServer, server: SessionServer, nodes: ControlNodes | None
) -> list[ProxyProcess]:
    proxies = []
    for at in range(count):
        service = f"s{at % SERVICES}"
        calls = [f"s{(at + step) % SERVICES}" for step in range(1, CALLED + 1)]
        extras = None if nodes is None else nodes.extras(f"z{at % 3}", service, calls)
        proxies.append(ProxyProcess(board, [server], extras, with_operator=True, name=f"p{at}", peers=True))
    for proxy in proxies:
        await proxy.start()
    return proxies


async def used(proxies: list[ProxyProcess]) -> tuple[float, float]:
    """Share of a core and MB of one proxy, on the mean, over a while in calm."""
    before = sum(proxy.processor_seconds() for proxy in proxies)
    await asyncio.sleep(SECONDS)
    share = (sum(proxy.processor_seconds() for proxy in proxies) - before) / SECONDS / len(proxies)
    return share, sum(proxy.resident_memory_mb() for proxy in proxies) / len(proxies)


async def until_all_hold(proxies: list[ProxyProcess], wanted: dict[str, set[str]]) -> None:
    """Until each proxy holds just the members of the services that it subscribed to."""
    async with asyncio.timeout(LIMIT):
        for proxy in proxies:
            while True:
                held: dict[str, set[str]] = {}
                for one in (await control_status(proxy))["entries"]:
                    held.setdefault(one["service"], set()).update(one["members"])
                if held and all(held[service] == wanted[service] for service in held):
                    break
                await asyncio.sleep(0.1)


async def measure(count: int, control: int) -> Row:
    server, board = SessionServer(0), DiscoveryServer()
    await server.start()
    await board.start()
    plain = await started(count, board, server, None)
    await asyncio.sleep(2.0)
    base_share, base_resident = await used(plain)
    for proxy in plain:
        await proxy.kill()
    nodes = ControlNodes(control)
    for name in nodes.names:
        await nodes.start(name)
    proxies = await started(count, board, server, nodes)
    wanted: dict[str, set[str]] = {}
    for at, proxy in enumerate(proxies):
        wanted.setdefault(f"s{at % SERVICES}", set()).add(proxy.name)
    try:
        await wait_until_attached(proxies, LIMIT)
        await until_all_hold(proxies, wanted)
        nodes_before = {name: nodes.usage(name)[0] for name in nodes.names}
        bytes_before = await sent_and_received(proxies)
        share, resident = await used(proxies)
        byte_rate = (await sent_and_received(proxies) - bytes_before) / SECONDS / count
        node_share = max((nodes.usage(name)[0] - nodes_before[name]) / SECONDS for name in nodes.names)
        node_resident = max(nodes.usage(name)[1] for name in nodes.names)
        begun = time.monotonic()
        await nodes.kill("c0")
        await asyncio.sleep(2.5)
        await wait_until_attached(proxies, LIMIT)
        await until_all_hold(proxies, wanted)
        killed = time.monotonic() - begun
        await nodes.start("c0")
        nodes.send_signal("c1", signal.SIGSTOP)
        await asyncio.sleep(STOP)
        nodes.send_signal("c1", signal.SIGCONT)
        begun = time.monotonic()
        await wait_until_attached(proxies, LIMIT)
        await until_all_hold(proxies, wanted)
        stopped = time.monotonic() - begun
        for name in list(nodes.processes):
            await nodes.kill(name)
        for proxy in proxies:
            await proxy.wait_for_log_line("tier-alone")
        for name in nodes.names:
            await nodes.start(name)
        begun = time.monotonic()
        await wait_until_attached(proxies, LIMIT)
        await until_all_hold(proxies, wanted)
        back = time.monotonic() - begun
    finally:
        for proxy in proxies:
            await proxy.kill()
        await nodes.kill_all()
        await server.stop()
        await board.stop()
    return {
        "proxies": count,
        "control_nodes": control,
        "bytes_per_s_proxy": round(byte_rate, 1),
        "cpu_share_proxy": round(share - base_share, 5),
        "cpu_share_proxy_without": round(base_share, 5),
        "rss_mb_proxy": round(resident, 1),
        "rss_mb_proxy_without": round(base_resident, 1),
        "cpu_share_control": round(node_share, 5),
        "rss_mb_control": round(node_resident, 1),
        "whole_after_kill_s": round(killed, 1),
        "whole_after_stop_s": round(stopped, 1),
        "whole_after_all_lost_s": round(back, 1),
    }


async def sent_and_received(proxies: list[ProxyProcess]) -> float:
    """Bytes of all datagrams so far, headers included."""
    total = 0.0
    for proxy in proxies:
        counts = (await control_status(proxy))["counts"]
        total += counts.get("sent_bytes", 0) + counts.get("received_bytes", 0)
        total += 28 * (counts.get("sent", 0) + counts.get("received", 0))
    return total
