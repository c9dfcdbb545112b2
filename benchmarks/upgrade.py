"""Upgrades under load: ``python -m benchmarks.upgrade [--upgrades N] [--short]``.

Callers with persistent connections and callers that open one for each call place calls continuously, while
the proxy is replaced repeatedly: a second process is started next to it, and the first one gets SIGTERM once
the second is in service. The session servers leave a share of the set-ups unanswered, so that attempts last
until their caller's time is over. The counts come from the callers and the session servers, not from the
proxy: ``lost`` calls had no complete answer when their caller's time was over, ``late`` ones got it later.
The last line is ``RESULT {json}``.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections import Counter
from typing import Any

import click

from martentide.codec.messages import (
    Cause,
    Code,
    Message,
    Type,
    read_message,
    split,
    write_message,
    write_release,
)
from martentide_lab.call_ledger import CallFault, CallLedger, read_pending_bytes
from martentide_lab.proxy import ProxyProcess
from martentide_lab.servers import DiscoveryServer, ServerBehavior, SessionServer

TIME_LEFT_S = 2.5  # time that a caller waits for an answer
LATE_WAIT_S = 0.5  # further wait that separates late from missing answers; also for a release acknowledgement
IGNORED_SHARE = 0.1  # share of the set-ups that a session server leaves unanswered
PERSISTENT_CALLERS, RECONNECTING_CALLERS = 6, 4  # with one connection, and with a new one for each call
RELEASE_WAIT_S = 8.0  # for the release of a call that its server ended


class Caller:
    """Places one call at a time; ``persistent``: all on one connection, otherwise each on its own."""

    def __init__(
        self, address: str, number: int, persistent: bool, counts: Counter[str], ledger: CallLedger
    ) -> None:
        self.address, self.persistent, self.counts, self.ledger = address, persistent, counts, ledger
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(number)
        self.number = number
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.receive_buffer = bytearray()
        self.stopping = False

    async def run(self) -> None:
        """Places calls until ``stopping`` is set."""
        call_count = 0
        while not self.stopping:
            call_count += 1
            call = (self.number << 32 | call_count).to_bytes(8, "big")
            try:
                await self._place_call(call)
            except ConnectionRefusedError:
                self._close_failed(call, "refused")
            except (ConnectionResetError, BrokenPipeError):
                self._close_failed(call, "reset")
            except EOFError:
                self._close_failed(call, "unread")
            except TimeoutError:
                self._close_failed(call, "missing")
            if not self.persistent and self.streams is not None:
                self.streams[1].close()
                self.streams = None
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        if self.streams is not None:
            self.streams[1].close()

    def _close_failed(self, call: bytes, outcome: str) -> None:
        """Closes the connection of a failed call and records that the call got no answer in time."""
        self.counts[outcome] += 1
        self.ledger.expire(call)
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def _place_call(self, call: bytes) -> None:
        """Places one call and, if it stands, releases it or waits until the server ends it."""
        if self.streams is None:
            host, _, port = self.address.rpartition(":")
            # Each caller has its own source address, like a separate machine.
            local_address = (f"127.0.1.{self.number}", 0)
            self.streams = await asyncio.open_connection(host, int(port), local_addr=local_address)
            self.receive_buffer.clear()
        reader, writer = self.streams
        self.counts["calls"] += 1
        parameters: dict[int, bytes] = {
            Code.CLASS: b"status-check",
            Code.TIME_LEFT: str(int(TIME_LEFT_S * 1000)).encode(),
            Code.NUMBER: call.hex().encode(),
            Code.FIGURES: f"dest:{self.rng.randrange(2)};width:1;via:-1".encode(),
            Code.DESCRIPTION: call,
        }
        message = write_message(Type.SET_UP, call, parameters)
        split_at = self.rng.randrange(1, len(message))
        writer.write(message[:split_at])  # in two parts, so that some are half received at a handover
        await asyncio.sleep(self.rng.uniform(0.0, 0.005))
        writer.write(message[split_at:])
        self.ledger.record_set_up(call, self.loop.time() * 1000.0)
        answer = await self._receive_final_answer(reader, writer, call)
        if answer.type != Type.ANSWER:
            self.counts["turned_away"] += 1
            return
        if answer.parameters.get(Code.DESCRIPTION) != call:
            self.counts["wrong"] += 1
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        if self.rng.random() < 0.5:
            writer.write(write_release(call, Cause.NORMAL))
            async with asyncio.timeout(LATE_WAIT_S):
                while (await self._receive_message(reader)).type != Type.RELEASE_ACK:
                    pass
        else:
            async with asyncio.timeout(RELEASE_WAIT_S):
                if (await self._receive_call_message(reader, call)).type != Type.RELEASE:
                    self.counts["doubled"] += 1

    async def _receive_final_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, call: bytes
    ) -> Message:
        """The final answer; raises TimeoutError if it was not received within the caller's time."""
        receive_task = self.loop.create_task(self._receive_call_message(reader, call))
        await asyncio.wait({receive_task}, timeout=TIME_LEFT_S)
        if not receive_task.done():
            await read_pending_bytes()
        if receive_task.done():
            answer = receive_task.result()
            self.ledger.record_final_answer(call)
            return answer
        self.ledger.expire(call)
        writer.write(write_release(call, Cause.NORMAL))
        try:
            async with asyncio.timeout(LATE_WAIT_S):
                await receive_task
            self.ledger.record_final_answer(call)
        except EOFError:
            pass
        raise TimeoutError

    async def _receive_call_message(self, reader: asyncio.StreamReader, call: bytes) -> Message:
        """The next answer or release of the call; counts those of earlier calls as doubled."""
        while (message := await self._receive_message(reader)).type not in (Type.ANSWER, Type.RELEASE):
            pass
        if message.call != call:
            self.counts["doubled"] += 1  # a second message on an earlier call
            return await self._receive_call_message(reader, call)
        return message

    async def _receive_message(self, reader: asyncio.StreamReader) -> Message:
        """The next message; raises EOFError if the connection is closed."""
        while (body := next(split(self.receive_buffer), None)) is None:
            data = await reader.read(65536)
            if not data:
                raise EOFError
            self.receive_buffer += data
        return read_message(body)


async def end_calls(server: SessionServer, rng: random.Random) -> None:
    """Ends random standing calls of the server until cancelled."""
    while True:
        await asyncio.sleep(0.05)
        for call in list(server.standing):
            if rng.random() < 0.1:
                server.end_call(call)


def count_overlapping_attempts(servers: list[SessionServer]) -> int:
    """Calls that had a second attempt pending while the first one was not over."""
    spans_by_call: dict[bytes, list[tuple[float, float]]] = {}
    for server in servers:
        for set_up in server.received_set_ups:
            spans_by_call.setdefault(set_up.call, []).append(
                (set_up.received_at, set_up.ended_at if set_up.ended_at is not None else set_up.received_at)
            )
    return sum(
        any(
            later[0] < earlier[1]
            for earlier, later in zip(sorted(call_spans), sorted(call_spans)[1:], strict=False)
        )
        for call_spans in spans_by_call.values()
    )


async def measure(upgrades: int, seed: int, shared: bool) -> dict[str, Any]:
    """Replaces the proxy ``upgrades`` times under load; ``shared``: without a directory for the handover."""
    rng = random.Random(seed)
    servers = [SessionServer(number, ServerBehavior(ignored_share=IGNORED_SHARE)) for number in (0, 1)]
    discovery, ledger = DiscoveryServer(), CallLedger()
    for server in servers:
        await server.start()
    await discovery.start()
    counts: Counter[str] = Counter()
    proxy = ProxyProcess(discovery, servers, None, with_operator=True, with_temporary_directory=not shared)
    await proxy.start()
    callers = [
        Caller(proxy.caller_address, index + 1, index < PERSISTENT_CALLERS, counts, ledger)
        for index in range(PERSISTENT_CALLERS + RECONNECTING_CALLERS)
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    end_tasks = [asyncio.create_task(end_calls(server, rng)) for server in servers]
    peak_descriptors, peak_rss_mb, failed_ends = 0, 0.0, 0
    for _ in range(upgrades):
        await asyncio.sleep(rng.uniform(0.2, 0.6))
        successor = await proxy.start_successor()
        await asyncio.sleep(rng.uniform(0.0, 0.1))
        peak_descriptors = max(peak_descriptors, proxy.open_descriptors() + successor.open_descriptors())
        peak_rss_mb = max(peak_rss_mb, proxy.resident_memory_mb() + successor.resident_memory_mb())
        proxy.send_signal(signal.SIGTERM)
        failed_ends += await proxy.wait_until_ended() != 0
        await proxy.kill()
        proxy = successor
    await asyncio.sleep(0.3)
    for caller in callers:
        caller.stopping = True
    await asyncio.gather(*tasks)
    for task in end_tasks:
        task.cancel()
    await proxy.kill()
    for server in servers:
        await server.stop()
    await discovery.stop()
    count_keys = ("refused", "reset", "unread", "missing", "wrong", "turned_away")
    faults, overlapping = ledger.counts(), count_overlapping_attempts(servers)
    return {
        "upgrades": upgrades,
        "requests": counts["calls"],
        "lost": faults[CallFault.LOST] + faults[CallFault.LATE],
        "late": faults[CallFault.LATE],
        "doubled": faults[CallFault.DOUBLED] + counts["doubled"],
        "rules_broken": overlapping + counts["wrong"] + failed_ends,
        **{name: counts[name] for name in count_keys},
        "two_out": overlapping,
        "failed_ends": failed_ends,
        "peak_descriptors": peak_descriptors,
        "peak_rss_mb": round(peak_rss_mb, 1),
    }


FAULT_KEYS = ("lost", "late", "doubled", "rules_broken", "refused", "reset", "unread", "missing")


@click.command()
@click.option("--upgrades", default=40, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="the short run of CI")
@click.option("--shared", is_flag=True, help="without $TMPDIR: both listen by SO_REUSEPORT, for comparison")
def main(upgrades: int, seed: int, short: bool, shared: bool) -> None:
    """Measures the calls that fail while the proxy is upgraded."""
    result = asyncio.run(measure(4 if short else upgrades, seed, shared))
    for name, value in result.items():
        print(f"{name:<16} {value}")
    print("RESULT " + json.dumps(result))
    raise SystemExit(1 if any(result[name] for name in FAULT_KEYS) else 0)


if __name__ == "__main__":
    main()
