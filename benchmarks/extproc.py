"""External processor mode, measured: ``python -m benchmarks.extproc [--requests N] [--short]``.

Four parts against real proxy processes on loopback: *mixed* (open loop at a fixed rate, with servers that
stall, one server that drains and is replaced, requests cancelled before the decision, and broken streams),
*envoy* (a fifth of that rate through Envoy's service), *flat out* (both services, as fast as the proxy
decides) and *memory* (growth over many requests). The rules are checked against the messages on the wire and
the set-ups that the servers received. The last line is ``RESULT {json}``.
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

import martentide.grpc_engine  # noqa: F401  (must be imported before grpc)
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
WORKER_COUNT = 5  # processes in the mixed part; each runs two front proxies
WARM_UP_S = 1.0  # delays are recorded after this time; the rules are checked from the first request on
TIME_LEFT_MS = 3000  # time that a caller waits
EXTRA_SETTINGS = """
external-processor {
    listen "127.0.0.1:0"
    limits rate-each=100000 pending-each=100000 pending-all=100000 open-each=1000000 open-all=1000000
}
"""


def new_histogram() -> HdrHistogram:
    """An empty histogram of durations in microseconds."""
    return HdrHistogram(1, 60_000_000, 3)


def percentile(recorded: HdrHistogram, share: float) -> float:
    """The percentile in ms; 0 if nothing was recorded."""
    return float(recorded.get_value_at_percentile(share)) / 1000.0 if recorded.get_total_count() else 0.0


@dataclass
class Observations:
    """What the front proxies observed; durations in microseconds."""

    # Time from the request to the first verdict: decided at once, and decided after the proxy held it.
    direct: HdrHistogram = field(default_factory=new_histogram)
    held: HdrHistogram = field(default_factory=new_histogram)
    # Decision time of the direct verdicts as the proxy reports it, from request to verdict.
    decision_time: HdrHistogram = field(default_factory=new_histogram)
    # Requests whose stream broke, or was not connected, before the verdict.
    after_break: HdrHistogram = field(default_factory=new_histogram)
    final_counts: Counter[str] = field(default_factory=Counter)
    refusal_reasons: Counter[str] = field(default_factory=Counter)

    def as_dict(self) -> dict[str, Any]:
        """The form that a worker process prints as JSON."""
        return {
            "direct": self.direct.encode().decode("ascii"),
            "held": self.held.encode().decode("ascii"),
            "inner": self.decision_time.encode().decode("ascii"),
            "broken": self.after_break.encode().decode("ascii"),
            "finals": self.final_counts,
            "why": self.refusal_reasons,
        }

    def merge(self, raw: dict[str, Any]) -> None:
        """Adds the observations of a worker process, in the form of ``as_dict``."""
        self.direct.decode_and_add(raw["direct"].encode("ascii"))
        self.held.decode_and_add(raw["held"].encode("ascii"))
        self.decision_time.decode_and_add(raw["inner"].encode("ascii"))
        self.after_break.decode_and_add(raw["broken"].encode("ascii"))
        self.final_counts += Counter(raw["finals"])
        self.refusal_reasons += Counter(raw["why"])

    def record_verdict(self, verdict: Any, started_at: float, now: float, connection_broke: bool) -> None:
        """Records the delay of a first verdict; times in s of the monotonic clock."""
        target = self.held if getattr(verdict, "held", False) else self.direct
        if connection_broke:
            target = self.after_break
        elif target is self.direct:
            self.decision_time.record_value(max(1, int(getattr(verdict, "waited", 0.0) * 1000.0)))
        target.record_value(max(1, int((now - started_at) * 1e6)))


class BenchmarkSite:
    """Session servers and their discovery service."""

    def __init__(self, servers: int, delay: float) -> None:
        self.servers = [SessionServer(number) for number in range(servers)]
        for server in self.servers:
            server.behavior.delay = delay
        self.discovery = DiscoveryServer()
        self.drained_at: dict[str, float] = {}
        self.all_servers = list(self.servers)

    async def start(self) -> None:
        """Starts the servers and the discovery service."""
        for server in self.servers:
            await server.start()
        await self.discovery.start()

    async def inject_faults(self, interval_s: float) -> None:
        """Stalls the servers in turn and replaces the first one once; runs until it is cancelled."""
        step = 0
        while True:
            await asyncio.sleep(interval_s)
            self.servers[step % len(self.servers)].stall(500.0)
            if step == 1:
                await self._replace(0)
            step += 1

    async def _replace(self, index: int) -> None:
        old, new = self.servers[index], SessionServer(len(self.all_servers))
        new.behavior.delay = old.behavior.delay
        await new.start()
        self.drained_at[old.name] = unix_ms()
        self.discovery.publish([(old, DRAINING), (new, READY)], started=int(unix_ms()))
        self.servers[index] = new
        self.all_servers.append(new)
        asyncio.get_running_loop().call_later(4.0, self.discovery.publish, [(old, GONE)])


def draw_class(rng: random.Random) -> str:
    """Draws a class name by the shares of ``CLASSES``."""
    remainder = rng.random()
    for name, share in CLASSES:
        remainder -= share
        if remainder < 0:
            return name
    return CLASSES[0][0]


class MixedFronts:
    """Front proxies on the proxy's own service that send real set-ups to the session servers.

    ``break_probability``: probability per request that the stream of its front proxy is reset.
    """

    def __init__(self, address: str, fronts: int, seed: int, break_probability: float) -> None:
        self.address, self.break_probability, self.warm_up_ends_at = address, break_probability, 0.0
        self.rng, self.seed = random.Random(seed), seed
        self.observations = Observations()
        self.checkers = [ExternalProcessorChecker() for _ in range(fronts)]
        self.relays = [Relay(address) for _ in range(fronts)]
        self.clients: list[Client] = []
        self.connections = [UpstreamConnections(seed * 100 + index + 1) for index in range(fronts)]

    async def place_call(self, index: int, started_at: float, number: str) -> None:
        """Places one call through the front proxy ``index``; 5% are cancelled before the verdict."""
        client, connections = self.clients[index], self.connections[index]
        class_name = draw_class(self.rng)
        call = client.ask_nowait(class_name, number, TIME_LEFT_MS)
        if self.rng.random() < 0.05:
            await asyncio.sleep(self.rng.random() * 0.0003)
            if call.verdict is None:
                call.cancel()
                self.observations.final_counts["Cancelled"] += 1
                return
        try:
            await self._make_attempts(call, connections, class_name, started_at, number)
        except ClientClosed:
            self.observations.final_counts["closed"] += 1

    async def _make_attempts(
        self, call: Call, connections: UpstreamConnections, class_name: str, started_at: float, number: str
    ) -> None:
        """Follows the proxy's verdicts until the call stands or has failed, then releases it."""
        client = call.client
        breaks_before, was_connected = client.breaks, client.connected.is_set()
        verdict = await call.next()
        if started_at >= self.warm_up_ends_at:
            self.observations.record_verdict(
                verdict, started_at, time.monotonic(), not was_connected or client.breaks > breaks_before
            )
        established: list[tuple[str, bytes]] = []

        async def attempt(route: Route) -> Attempt:
            result, call_id = await connections.set_up(route, class_name, number.encode())
            if result.ending is None:
                established.append((route.address, call_id))
            return result

        while isinstance(verdict, Route):
            if call.begin():
                result = await call.client._attempt(call, verdict, attempt)
                verdict = await (call.next() if result is None else call.report(result))
            else:
                verdict = await call.next()
        self.observations.final_counts[type(verdict).__name__] += 1
        if isinstance(verdict, Refused | Failed):
            self.observations.refusal_reasons[verdict.why.value] += 1
        for address, call_id in established:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            await connections.release(address, call_id)
            call.over()

    def _observe(self, checker: ExternalProcessorChecker, message: FromFront | ToFront) -> None:
        checker.observe(message, unix_ms())

    async def run(self, requests: int, rate: float) -> None:
        """Sends ``requests`` requests at ``rate`` a second, open loop, and waits until all have ended."""
        for index, (relay, checker) in enumerate(zip(self.relays, self.checkers, strict=True)):
            await relay.start()
            observe = functools.partial(self._observe, checker)
            address = relay.address if self.break_probability else self.address
            self.clients.append(await Client([address], f"front-{self.seed}-{index}", observe).__aenter__())
        for client in self.clients:
            await client.connected.wait()
        running: set[asyncio.Task[None]] = set()
        start = time.monotonic()
        self.warm_up_ends_at = start + WARM_UP_S
        for number in range(requests):
            started_at = start + number / rate
            if (delay := started_at - time.monotonic()) > 0:
                await asyncio.sleep(delay)
            index = number % len(self.clients)
            if self.rng.random() < self.break_probability:
                self.relays[index].reset_connections()  # with all pending requests
            task = asyncio.create_task(self.place_call(index, started_at, f"n{self.seed:x}-{number:x}"))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.wait_for(asyncio.gather(*running), 30)
        for client in self.clients:
            await asyncio.wait_for(client.connected.wait(), 10)
            await client.close()
        for relay, connections in zip(self.relays, self.connections, strict=True):
            await relay.stop()
            connections.close()


async def run_envoy_load(
    address: str, requests: int, rate: float, connections: UpstreamConnections, seed: int
) -> Observations:
    """Sends requests through Envoy's service, open loop; 5% are reset before the verdict."""
    rng, observations = random.Random(seed), Observations()

    async def place_call(channel: Any, started_at: float, number: int) -> None:
        stream, class_name = EnvoyStream(channel), draw_class(rng)
        headers: dict[str, str | bytes] = {
            "x-call-class": class_name,
            "x-call-deadline-ms": str(TIME_LEFT_MS),
            "x-called-number": f"e{number:x}",
        }
        if rng.random() < 0.05:
            task = asyncio.create_task(stream.request(headers))
            await asyncio.sleep(rng.random() * 0.002)
            stream.reset()
            task.cancel()  # resetting a stream that has not started doesn't wake the task that waits on it
            await asyncio.gather(task, return_exceptions=True)
            observations.final_counts["Cancelled"] += 1
            return
        response = await stream.request(headers)
        observations.direct.record_value(max(1, int((time.monotonic() - started_at) * 1e6)))
        if response.WhichOneof("response") == "immediate_response":
            observations.final_counts["Refused"] += 1
            return
        if response.WhichOneof("response") != "request_headers":
            observations.final_counts["missing"] += 1
            return
        mutated = {option.header.key: option.header.raw_value.decode() for option in
                  response.request_headers.response.header_mutation.set_headers}  # fmt: skip
        upstream = mutated["x-envoy-original-dst-host"]
        route = Route(0, 0, "", upstream, "", float(mutated["x-envoy-upstream-rq-timeout-ms"]), 1000.0)
        set_up_task = asyncio.create_task(connections.set_up(route, class_name, f"e{number:x}".encode()))
        await asyncio.wait((set_up_task,), timeout=route.patience / 1000.0)
        if not set_up_task.done():
            set_up_task.cancel()
            status, call_id = 504, b""
        else:
            result, call_id = set_up_task.result()
            status = 200 if result.ending is None else 503
        response_answer = await stream.response(status, x_load_report="x0:400;x1:500;eps:0")
        observations.final_counts["Standing" if status == 200 else "Failed"] += 1
        if response_answer.WhichOneof("response") != "response_headers":
            observations.final_counts["missing"] += 1
        if status == 200:
            await asyncio.sleep(rng.uniform(0.05, 0.4))
            await connections.release(upstream, call_id)
        await stream.done()

    async with grpc.aio.insecure_channel(address) as channel:
        running: set[asyncio.Task[None]] = set()
        start = time.monotonic()
        for number in range(requests):
            started_at = start + number / rate
            if (delay := started_at - time.monotonic()) > 0:
                await asyncio.sleep(delay)
            task = asyncio.create_task(place_call(channel, started_at, number))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.wait_for(asyncio.gather(*running), 30)
    return observations


# ---- worker processes: with the load in other processes, the proxy is the limit of the throughput ---------


async def run_worker(
    address: str, kind: str, requests: int, concurrency: int, name: str, rate: float, break_probability: float
) -> None:
    """Generates load in a worker process.

    The kind ``mixed`` runs two front proxies and prints their observations as JSON. The other kinds send
    ``requests`` requests, ``concurrency`` at a time; each call stands and is over immediately.
    """
    gc.disable()  # collector pauses of the load generator would count as delay of the proxy
    sys.setswitchinterval(0.0002)
    remaining = iter(range(requests))

    async def ask_own_service(client: Client) -> None:
        for number in remaining:
            call = await client.ask("status-check", f"{name}{number}", TIME_LEFT_MS)
            if isinstance(call.verdict, Route):
                call.begin()
                await call.report(Attempt(None, report="x0:400;x1:500;eps:0"))
                call.over()

    async def ask_envoy_service(channel: Any) -> None:
        for number in remaining:
            stream = EnvoyStream(channel)
            headers: dict[str, str | bytes] = {
                "x-call-class": "status-check",
                "x-call-deadline-ms": str(TIME_LEFT_MS),
                "x-called-number": f"{name}{number}",
            }
            response = await stream.request(headers)
            if response.WhichOneof("response") == "request_headers":
                await stream.response(200)
            await stream.done()

    if kind == "mixed":
        mixed = MixedFronts(address, 2, int(name), break_probability)
        await mixed.run(requests, rate)
        counts: Counter[str] = Counter()
        for checker in mixed.checkers:
            counts += checker.finish()
        violations = [violation for checker in mixed.checkers for violation in checker.violations]
        broken_streams = sum(client.breaks for client in mixed.clients)
        print(
            json.dumps(
                {
                    **mixed.observations.as_dict(),
                    "counts": counts,
                    "stories": violations[:5],
                    "breaks": broken_streams,
                }
            )
        )
    elif kind == "own":
        async with Client([address], name) as client:
            await client.connected.wait()
            await asyncio.gather(*(ask_own_service(client) for _ in range(concurrency)))
    else:
        async with grpc.aio.insecure_channel(address) as channel:
            await asyncio.gather(*(ask_envoy_service(channel) for _ in range(concurrency)))


async def run_mixed_workers(proxy: ProxyProcess, requests: int, rate: float, workers: int, seed: int) -> Any:
    """Runs the mixed part in worker processes and adds up their observations.

    In one process the front proxies would measure each other's work. Only the first worker breaks streams,
    for 1% of all requests, with a relay between its front proxies and the proxy.
    """
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.extproc", "--worker", "mixed",
            "--address", proxy.external_processor_address,
            "--requests", str(requests // workers), "--rate", str(rate / workers),
            "--name", str(seed * 10 + index),
            "--breaks", str(0.01 * workers if index == 0 else 0.0),
            stdout=asyncio.subprocess.PIPE, limit=64 * 1024 * 1024,
        )
        for index in range(workers)
    ]  # fmt: skip
    observations, counts, violations, broken_streams = Observations(), Counter[str](), list[str](), 0
    for process in processes:
        output, _ = await process.communicate()
        if process.returncode:
            raise SystemExit(f"a worker failed: {process.returncode}")
        raw = json.loads(output)
        observations.merge(raw)
        counts += Counter(raw["counts"])
        violations += raw["stories"]
        broken_streams += raw["breaks"]
    return observations, counts, violations, broken_streams


async def measure_throughput(
    proxy: ProxyProcess, kind: str, requests: int, workers: int
) -> tuple[float, float]:
    """Decisions a second, and the proxy's processor time for each decision in ms."""
    cpu_before, start = proxy.cpu_seconds(), time.monotonic()
    requests_each = requests // workers
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.extproc", "--worker", kind,
            "--address", proxy.external_processor_address,
            "--requests", str(requests_each), "--name", f"{kind}-{index}-{os.getpid()}",
        )
        for index in range(workers)
    ]  # fmt: skip
    exit_codes = [await process.wait() for process in processes]
    if any(exit_codes):
        raise SystemExit(f"a worker failed: {exit_codes}")
    elapsed = time.monotonic() - start
    return requests_each * workers / elapsed, (proxy.cpu_seconds() - cpu_before) * 1000.0 / (
        requests_each * workers
    )


async def measure(requests: int, rate: float, memory: int, seed: int) -> dict[str, Any]:
    """Runs all parts.

    ``requests`` and ``rate`` (a second) are those of the mixed part, ``memory`` those of the memory part.
    """
    site = BenchmarkSite(4, delay=8.0)
    await site.start()
    result: dict[str, Any] = {"requests": requests}
    async with ProxyProcess(site.discovery, site.servers, EXTRA_SETTINGS) as proxy:
        fault_task = asyncio.create_task(site.inject_faults(min(3.0, requests / rate / 5)))
        observations, counts, violations, broken_streams = await run_mixed_workers(
            proxy, requests, rate, WORKER_COUNT, seed
        )
        envoy_connections = UpstreamConnections(99)
        envoy_observations = await run_envoy_load(
            proxy.external_processor_address, requests // 5, rate / 5, envoy_connections, seed
        )
        envoy_connections.close()
        fault_task.cancel()
        server_counts, server_violations = check_servers(site.all_servers, site.drained_at)
        counts += server_counts
        violations += server_violations
        for violation in violations[:5]:
            print("BROKEN", violation)
        ended = sum(observations.final_counts.values())
        result.update(
            missing=counts["missing"]
            + (requests - ended)
            + observations.final_counts["closed"]
            + envoy_observations.final_counts["missing"],
            doubled=counts["doubled"] + counts["unasked"],
            late=counts["late"],
            wrong_server=counts["wrong_server"],
            two_out=counts["two_out"],
            refused_deadline=observations.refusal_reasons["deadline"],
            p50_ms=round(percentile(observations.direct, 50), 2),
            p99_ms=round(percentile(observations.direct, 99), 2),
            inner_p50_ms=round(percentile(observations.decision_time, 50), 2),
            inner_p99_ms=round(percentile(observations.decision_time, 99), 2),
            held_p99_ms=round(percentile(observations.held, 99), 1),
            held=observations.held.get_total_count(),
            broken_p99_ms=round(percentile(observations.after_break, 99), 1),
            broken=observations.after_break.get_total_count(),
            broken_streams=broken_streams,
            finals=dict(observations.final_counts),
            why=dict(observations.refusal_reasons),
            envoy_p50_ms=round(percentile(envoy_observations.direct, 50), 2),
            envoy_p99_ms=round(percentile(envoy_observations.direct, 99), 2),
            envoy_finals=dict(envoy_observations.final_counts),
        )
        for server in site.all_servers:
            server.keep_received_set_ups = False
    async with ProxyProcess(site.discovery, site.servers, EXTRA_SETTINGS) as proxy:
        await measure_throughput(proxy, "own", max(3000, memory // 20), 3)
        warm_mb = proxy.resident_memory_mb()
        own_rate, own_cpu = await measure_throughput(proxy, "own", memory, 3)
        result.update(
            decisions_per_s=round(own_rate),
            cpu_ms_own=round(own_cpu, 3),
            rss_mb=round(proxy.resident_memory_mb(), 1),
            rss_growth_mb=round(proxy.resident_memory_mb() - warm_mb, 1),
        )
        envoy_rate, envoy_cpu = await measure_throughput(proxy, "envoy", max(3000, memory // 20), 3)
        result.update(envoy_decisions_per_s=round(envoy_rate), cpu_ms_envoy=round(envoy_cpu, 3))
    for server in site.all_servers:
        await server.stop()
    await site.discovery.stop()
    return result


def format_table(result: dict[str, Any]) -> str:
    """One line per figure."""
    width = max(map(len, result))
    return "\n".join(f"{name:<{width}}  {value}" for name, value in result.items())


def passed(result: dict[str, Any]) -> bool:
    """Whether no rule was violated."""
    return not any(result[name] for name in ("missing", "doubled", "late", "wrong_server", "two_out"))


def run_async(coroutine_function: Callable[[], Awaitable[Any]]) -> Any:
    """Runs the coroutine that the function returns in a new event loop."""
    return asyncio.run(coroutine_function())  # type: ignore[arg-type]


@click.command()
@click.option("--requests", default=10_000, show_default=True)
@click.option("--rate", default=500.0, show_default=True, help="requests a second in the mixed part")
@click.option("--memory", default=200_000, show_default=True, help="requests of the memory part")
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="the short run of CI")
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
    """Measures the external processor mode."""
    if worker is not None:
        run_async(lambda: globals()["run_worker"](address, worker, requests, 48, name, rate, breaks))
        return
    if short:
        requests, memory = 1500, 6000
    result = run_async(lambda: measure(requests, rate, memory, seed))
    print(format_table(result))
    print("RESULT " + json.dumps(result))
    raise SystemExit(0 if passed(result) else 1)


if __name__ == "__main__":
    main()
