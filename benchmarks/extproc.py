"""External processor mode, measured: ``python -m benchmarks.extproc [--requests N] [--short]``.

Four parts, each against a real process on loopback: *mixed* (open loop at a fixed rate; servers that stall,
one that drains and is replaced; cancels in mid-decision; broken streams), *envoy* (the same rate by Envoy's
service), *flat out* (both services, as fast as the proxy decides), *memory* (growth over many requests). The
rules are checked on what went over the wire and at the servers. The last line is ``RESULT {json}``.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import json
import os
import random
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import click

import martentide.grpc_engine  # noqa: F401  (before grpc)
import grpc
from hdrh.histogram import HdrHistogram

from martentide.client import Attempt, Call, Client, Failed, Refused, Route
from martentide.client.client import ClientClosed
from martentide.extproc.messages import FromFront, ToFront
from martentide.net.links import unix_ms
from martentide_lab.checker import ExternalProcessorChecker, check_servers
from martentide_lab.fronts import EnvoyStream, UpstreamConnections
from martentide_lab.proxy import ProxyProcess
from martentide_lab.relay import Relay
from martentide_lab.servers import DRAINING, GONE, READY, DiscoveryServer, SessionServer

CLASSES = (("status-check", 0.74), ("envelope-prep", 0.21), ("qualified-sign", 0.05))
WORKERS = 5  # processes that play fronts in the mixed part, two fronts each
WARM_UP = 1.0  # s from which on delays count; the rules count from the first request
LEFT = 3000  # ms that a caller waits
EXTRAS = """
external-processor {
    listen "127.0.0.1:0"
    limits rate-each=100000 pending-each=100000 pending-all=100000 open-each=1000000 open-all=1000000
}
"""


def histogram() -> HdrHistogram:
    return HdrHistogram(1, 60_000_000, 3)  # microseconds


def percentile(one: HdrHistogram, share: float) -> float:
    """Milliseconds; 0 where nothing was recorded."""
    return float(one.get_value_at_percentile(share)) / 1000.0 if one.get_total_count() else 0.0


@dataclass
class Seen:
    """What the fronts saw."""

    direct: HdrHistogram = field(default_factory=histogram)
    held: HdrHistogram = field(default_factory=histogram)
    inner: HdrHistogram = field(default_factory=histogram)  # as the proxy says: from question to verdict
    broken: HdrHistogram = field(default_factory=histogram)  # whose stream broke, or was down, meanwhile
    finals: Counter[str] = field(default_factory=Counter)
    why: Counter[str] = field(default_factory=Counter)

    def dump(self) -> dict[str, Any]:
        return {
            "direct": self.direct.encode().decode("ascii"),
            "held": self.held.encode().decode("ascii"),
            "inner": self.inner.encode().decode("ascii"),
            "broken": self.broken.encode().decode("ascii"),
            "finals": self.finals,
            "why": self.why,
        }

    def add(self, raw: dict[str, Any]) -> None:
        self.direct.decode_and_add(raw["direct"].encode("ascii"))
        self.held.decode_and_add(raw["held"].encode("ascii"))
        self.inner.decode_and_add(raw["inner"].encode("ascii"))
        self.broken.decode_and_add(raw["broken"].encode("ascii"))
        self.finals += Counter(raw["finals"])
        self.why += Counter(raw["why"])

    def decision(self, verdict: Any, begun: float, now: float, broke: bool) -> None:
        into = self.held if getattr(verdict, "held", False) else self.direct
        if broke:
            into = self.broken
        elif into is self.direct:
            self.inner.record_value(max(1, int(getattr(verdict, "waited", 0.0) * 1000.0)))
        into.record_value(max(1, int((now - begun) * 1e6)))


class Site:
    """Servers and board; ``trouble`` plays stalls and a replacement until cancelled."""

    def __init__(self, servers: int, delay: float) -> None:
        self.servers = [SessionServer(number) for number in range(servers)]
        for server in self.servers:
            server.behavior.delay = delay
        self.board = DiscoveryServer()
        self.drained: dict[str, float] = {}
        self.all = list(self.servers)

    async def start(self) -> None:
        for server in self.servers:
            await server.start()
        await self.board.start()

    async def trouble(self, every: float) -> None:
        at = 0
        while True:
            await asyncio.sleep(every)
            self.servers[at % len(self.servers)].stall(500.0)
            if at == 1:
                await self._replace(0)
            at += 1

    async def _replace(self, place: int) -> None:
        old, new = self.servers[place], SessionServer(len(self.all))
        new.behavior.delay = old.behavior.delay
        await new.start()
        self.drained[old.name] = unix_ms()
        self.board.publish([(old, DRAINING), (new, READY)], started=int(unix_ms()))
        self.servers[place] = new
        self.all.append(new)
        asyncio.get_running_loop().call_later(4.0, self.board.publish, [(old, GONE)])


def draw_class(dice: random.Random) -> str:
    at = dice.random()
    for name, share in CLASSES:
        at -= share
        if at < 0:
            return name
    return CLASSES[0][0]


class Mixed:
    """Fronts on the own service that carry real set-ups."""

    def __init__(self, address: str, fronts: int, seed: int, breaks: float) -> None:
        self.address, self.breaks, self.warm = address, breaks, 0.0
        self.dice, self.seed = random.Random(seed), seed
        self.seen = Seen()
        self.checkers = [ExternalProcessorChecker() for _ in range(fronts)]
        self.relays = [Relay(address) for _ in range(fronts)]
        self.clients: list[Client] = []
        self.lines = [UpstreamConnections(seed * 100 + at + 1) for at in range(fronts)]

    async def one(self, at: int, begun: float, number: str) -> None:
        client, lines = self.clients[at], self.lines[at]
        name = draw_class(self.dice)
        call = client.ask_nowait(name, number, LEFT)
        if self.dice.random() < 0.05:
            await asyncio.sleep(self.dice.random() * 0.0003)
            if call.verdict is None:
                call.cancel()
                self.seen.finals["Cancelled"] += 1
                return
        try:
            await self._carry(call, lines, name, begun, number)
        except ClientClosed:
            self.seen.finals["closed"] += 1

    async def _carry(
        self, call: Call, lines: UpstreamConnections, name: str, begun: float, number: str
    ) -> None:
        client = call.client
        breaks, up = client.breaks, client.connected.is_set()
        verdict = await call.next()
        if begun >= self.warm:
            self.seen.decision(verdict, begun, time.monotonic(), not up or client.breaks > breaks)
        stood: list[tuple[str, bytes]] = []

        async def attempt(route: Route) -> Attempt:
            done, made = await lines.set_up(route, name, number.encode())
            if done.ending is None:
                stood.append((route.address, made))
            return done

        while isinstance(verdict, Route):
            if call.begin():
                done = await call.client._attempt(call, verdict, attempt)
                verdict = await (call.next() if done is None else call.report(done))
            else:
                verdict = await call.next()
        self.seen.finals[type(verdict).__name__] += 1
        if isinstance(verdict, Refused | Failed):
            self.seen.why[verdict.why.value] += 1
        for address, made in stood:
            await asyncio.sleep(self.dice.uniform(0.05, 0.4))
            await lines.release(address, made)
            call.over()

    def _tap(self, checker: ExternalProcessorChecker, message: FromFront | ToFront) -> None:
        checker.observe(message, unix_ms())

    async def run(self, requests: int, rate: float) -> None:
        for at, (relay, checker) in enumerate(zip(self.relays, self.checkers, strict=True)):
            await relay.start()
            tap = functools.partial(self._tap, checker)
            where = relay.address if self.breaks else self.address
            self.clients.append(await Client([where], f"front-{self.seed}-{at}", tap).__aenter__())
        for client in self.clients:
            await client.connected.wait()
        running: set[asyncio.Task[None]] = set()
        start = time.monotonic()
        self.warm = start + WARM_UP
        for number in range(requests):
            begun = start + number / rate
            if (left := begun - time.monotonic()) > 0:
                await asyncio.sleep(left)
            at = number % len(self.clients)
            if self.dice.random() < self.breaks:
                self.relays[at].reset_connections()  # with all that is on it
            task = asyncio.create_task(self.one(at, begun, f"n{self.seed:x}-{number:x}"))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.wait_for(asyncio.gather(*running), 30)
        for client in self.clients:
            await asyncio.wait_for(client.connected.wait(), 10)
            await client.close()
        for relay, lines in zip(self.relays, self.lines, strict=True):
            await relay.stop()
            lines.close()


async def envoy(address: str, requests: int, rate: float, lines: UpstreamConnections, seed: int) -> Seen:
    """Requests by Envoy's service, open loop; 5% are reset before the verdict."""
    dice, seen = random.Random(seed), Seen()

    async def one(channel: Any, begun: float, number: int) -> None:
        stream, name = EnvoyStream(channel), draw_class(dice)
        asked: dict[str, str | bytes] = {
            "x-call-class": name,
            "x-call-deadline-ms": str(LEFT),
            "x-called-number": f"e{number:x}",
        }
        if dice.random() < 0.05:
            task = asyncio.create_task(stream.request(asked))
            await asyncio.sleep(dice.random() * 0.002)
            stream.reset()
            task.cancel()  # a stream reset before it was begun wakes nobody
            await asyncio.gather(task, return_exceptions=True)
            seen.finals["Cancelled"] += 1
            return
        answer = await stream.request(asked)
        seen.direct.record_value(max(1, int((time.monotonic() - begun) * 1e6)))
        if answer.WhichOneof("response") == "immediate_response":
            seen.finals["Refused"] += 1
            return
        if answer.WhichOneof("response") != "request_headers":
            seen.finals["missing"] += 1
            return
        set_to = {o.header.key: o.header.raw_value.decode() for o in
                  answer.request_headers.response.header_mutation.set_headers}  # fmt: skip
        where = set_to["x-envoy-original-dst-host"]
        route = Route(0, 0, "", where, "", float(set_to["x-envoy-upstream-rq-timeout-ms"]), 1000.0)
        work = asyncio.create_task(lines.set_up(route, name, f"e{number:x}".encode()))
        await asyncio.wait((work,), timeout=route.patience / 1000.0)
        if not work.done():
            work.cancel()
            status, call = 504, b""
        else:
            done, call = work.result()
            status = 200 if done.ending is None else 503
        passed = await stream.response(status, x_load_report="x0:400;x1:500;eps:0")
        seen.finals["Standing" if status == 200 else "Failed"] += 1
        if passed.WhichOneof("response") != "response_headers":
            seen.finals["missing"] += 1
        if status == 200:
            await asyncio.sleep(dice.uniform(0.05, 0.4))
            await lines.release(where, call)
        await stream.done()

    async with grpc.aio.insecure_channel(address) as channel:
        running: set[asyncio.Task[None]] = set()
        start = time.monotonic()
        for number in range(requests):
            begun = start + number / rate
            if (left := begun - time.monotonic()) > 0:
                await asyncio.sleep(left)
            task = asyncio.create_task(one(channel, begun, number))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.wait_for(asyncio.gather(*running), 30)
    return seen


# ---- flat out: workers are processes of their own, so that the proxy is what limits -----------------------


async def worker(
    address: str, kind: str, requests: int, beside: int, name: str, rate: float, breaks: float
) -> None:
    """``mixed``: print what was seen as JSON. Else ask ``requests`` questions, ``beside`` at a time; each
    stands at once and is over at once."""
    gc.disable()  # the load's own pauses are none of the proxy's
    sys.setswitchinterval(0.0002)
    left = iter(range(requests))

    async def own(client: Client) -> None:
        for number in left:
            call = await client.ask("status-check", f"{name}{number}", LEFT)
            if isinstance(call.verdict, Route):
                call.begin()
                await call.report(Attempt(None, report="x0:400;x1:500;eps:0"))
                call.over()

    async def other(channel: Any) -> None:
        for number in left:
            stream = EnvoyStream(channel)
            asked: dict[str, str | bytes] = {
                "x-call-class": "status-check",
                "x-call-deadline-ms": str(LEFT),
                "x-called-number": f"{name}{number}",
            }
            answer = await stream.request(asked)
            if answer.WhichOneof("response") == "request_headers":
                await stream.response(200)
            await stream.done()

    if kind == "mixed":
        mixed = Mixed(address, 2, int(name), breaks)
        await mixed.run(requests, rate)
        counts: Counter[str] = Counter()
        for checker in mixed.checkers:
            counts += checker.finish()
        stories = [story for checker in mixed.checkers for story in checker.violations]
        broke = sum(client.breaks for client in mixed.clients)
        print(json.dumps({**mixed.seen.dump(), "counts": counts, "stories": stories[:5], "breaks": broke}))
    elif kind == "own":
        async with Client([address], name) as client:
            await client.connected.wait()
            await asyncio.gather(*(own(client) for _ in range(beside)))
    else:
        async with grpc.aio.insecure_channel(address) as channel:
            await asyncio.gather(*(other(channel) for _ in range(beside)))


async def mixed_by_workers(proxy: ProxyProcess, requests: int, rate: float, workers: int, seed: int) -> Any:
    """The fronts in processes of their own: in one, they would measure each other's work. The first has all
    the breaks, 1% of all requests, and a relay in its path that makes them."""
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.extproc", "--worker", "mixed",
            "--address", proxy.external_processor_address,
            "--requests", str(requests // workers), "--rate", str(rate / workers),
            "--name", str(seed * 10 + at),
            "--breaks", str(0.01 * workers if at == 0 else 0.0),
            stdout=asyncio.subprocess.PIPE, limit=64 * 1024 * 1024,
        )
        for at in range(workers)
    ]  # fmt: skip
    seen, counts, stories, breaks = Seen(), Counter[str](), list[str](), 0
    for process in processes:
        out, _ = await process.communicate()
        if process.returncode:
            raise SystemExit(f"a worker failed: {process.returncode}")
        raw = json.loads(out)
        seen.add(raw)
        counts += Counter(raw["counts"])
        stories += raw["stories"]
        breaks += raw["breaks"]
    return seen, counts, stories, breaks


async def flat_out(proxy: ProxyProcess, kind: str, requests: int, workers: int) -> tuple[float, float]:
    """Decisions a second and the proxy's processor time for each, in ms."""
    cpu, start = proxy.processor_seconds(), time.monotonic()
    each = requests // workers
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.extproc", "--worker", kind,
            "--address", proxy.external_processor_address,
            "--requests", str(each), "--name", f"{kind}-{at}-{os.getpid()}",
        )
        for at in range(workers)
    ]  # fmt: skip
    codes = [await process.wait() for process in processes]
    if any(codes):
        raise SystemExit(f"a worker failed: {codes}")
    taken = time.monotonic() - start
    return each * workers / taken, (proxy.processor_seconds() - cpu) * 1000.0 / (each * workers)


async def measure(requests: int, rate: float, memory: int, seed: int) -> dict[str, Any]:
    site = Site(4, delay=8.0)
    await site.start()
    result: dict[str, Any] = {"requests": requests}
    async with ProxyProcess(site.board, site.servers, EXTRAS) as proxy:
        trouble = asyncio.create_task(site.trouble(min(3.0, requests / rate / 5)))
        seen, counts, stories, breaks = await mixed_by_workers(proxy, requests, rate, WORKERS, seed)
        envoy_lines = UpstreamConnections(99)
        beside = await envoy(proxy.external_processor_address, requests // 5, rate / 5, envoy_lines, seed)
        envoy_lines.close()
        trouble.cancel()
        at_servers, more = check_servers(site.all, site.drained)
        counts += at_servers
        stories += more
        for story in stories[:5]:
            print("BROKEN", story)
        settled = sum(seen.finals.values())
        result.update(
            missing=counts["missing"]
            + (requests - settled)
            + seen.finals["closed"]
            + beside.finals["missing"],
            doubled=counts["doubled"] + counts["unasked"],
            late=counts["late"],
            wrong_server=counts["wrong_server"],
            two_out=counts["two_out"],
            refused_deadline=seen.why["deadline"],
            p50_ms=round(percentile(seen.direct, 50), 2),
            p99_ms=round(percentile(seen.direct, 99), 2),
            inner_p50_ms=round(percentile(seen.inner, 50), 2),
            inner_p99_ms=round(percentile(seen.inner, 99), 2),
            held_p99_ms=round(percentile(seen.held, 99), 1),
            held=seen.held.get_total_count(),
            broken_p99_ms=round(percentile(seen.broken, 99), 1),
            broken=seen.broken.get_total_count(),
            broken_streams=breaks,
            finals=dict(seen.finals),
            why=dict(seen.why),
            envoy_p50_ms=round(percentile(beside.direct, 50), 2),
            envoy_p99_ms=round(percentile(beside.direct, 99), 2),
            envoy_finals=dict(beside.finals),
        )
        for server in site.all:
            server.keep_received_set_ups = False
    async with ProxyProcess(site.board, site.servers, EXTRAS) as proxy:
        await flat_out(proxy, "own", max(3000, memory // 20), 3)
        settled_mb = proxy.resident_memory_mb()
        own_rate, own_cpu = await flat_out(proxy, "own", memory, 3)
        result.update(
            decisions_per_s=round(own_rate),
            cpu_ms_own=round(own_cpu, 3),
            rss_mb=round(proxy.resident_memory_mb(), 1),
            rss_growth_mb=round(proxy.resident_memory_mb() - settled_mb, 1),
        )
        other_rate, other_cpu = await flat_out(proxy, "envoy", max(3000, memory // 20), 3)
        result.update(envoy_decisions_per_s=round(other_rate), cpu_ms_envoy=round(other_cpu, 3))
    for server in site.all:
        await server.stop()
    await site.board.stop()
    return result


def table(result: dict[str, Any]) -> str:
    width = max(map(len, result))
    return "\n".join(f"{name:<{width}}  {value}" for name, value in result.items())


def passed(result: dict[str, Any]) -> bool:
    return not any(result[name] for name in ("missing", "doubled", "late", "wrong_server", "two_out"))


def run(main: Callable[[], Awaitable[Any]]) -> Any:
    return asyncio.run(main())  # type: ignore[arg-type]


@click.command()
@click.option("--requests", default=10_000, show_default=True)
@click.option("--rate", default=500.0, show_default=True, help="requests a second in the mixed part")
@click.option("--memory", default=200_000, show_default=True, help="requests flat out")
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="the form that CI runs")
@click.option("--worker", type=click.Choice(["own", "envoy", "mixed"]), hidden=True)
@click.option("--address", default="", hidden=True)
@click.option("--name", default="w", hidden=True)
@click.option("--breaks", default=0.0, hidden=True)
def main(
    requests: int,
    rate: float,
    memory: int,
    seed: int,
    short: bool,
    worker: str | None,
    address: str,
    name: str,
    breaks: float,
) -> None:
    if worker is not None:
        run(lambda: globals()["worker"](address, worker, requests, 48, name, rate, breaks))
        return
    if short:
        requests, memory = 1500, 6000
    result = run(lambda: measure(requests, rate, memory, seed))
    print(table(result))
    print("RESULT " + json.dumps(result))
    raise SystemExit(0 if passed(result) else 1)


if __name__ == "__main__":
    main()
