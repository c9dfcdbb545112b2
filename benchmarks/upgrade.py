"""Upgrades under load: ``python -m benchmarks.upgrade [--upgrades N] [--short]``.

Callers on kept connections and callers that open one for each call offer calls without a pause, while the
process is replaced again and again: a second one is started beside it, and the first gets SIGTERM once the
second is in service. The session servers leave a share of the set-ups without an answer, so that attempts run
into the end of their caller's time. Counted is what callers and session servers saw, not what the program
says: ``lost`` calls had no whole answer when their caller's time was over, ``late`` ones got it afterwards.
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

TIME_LEFT = 2.5  # s a caller waits
LATE = 0.5  # s beyond it in which an answer is still waited for, to tell a late one from none
MUTE_SHARE = 0.1  # of the set-ups that a session server leaves without an answer
KEPT, FRESH = 6, 4  # callers on kept connections, and callers that open one for each call
ENDS = 8.0  # s for a call that is over to be released to its caller


class Caller:
    """One caller, one call at a time; ``kept``: on one connection for good."""

    def __init__(
        self, address: str, number: int, kept: bool, counts: Counter[str], ledger: CallLedger
    ) -> None:
        self.address, self.kept, self.counts, self.ledger = address, kept, counts, ledger
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(number)
        self.number = number
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.begun = bytearray()
        self.stopping = False

    async def run(self) -> None:
        made = 0
        while not self.stopping:
            made += 1
            call = (self.number << 32 | made).to_bytes(8, "big")
            try:
                await self._one(call)
            except ConnectionRefusedError:
                self._broke_off(call, "refused")
            except (ConnectionResetError, BrokenPipeError):
                self._broke_off(call, "reset")
            except EOFError:
                self._broke_off(call, "unread")
            except TimeoutError:
                self._broke_off(call, "missing")
            if not self.kept and self.streams is not None:
                self.streams[1].close()
                self.streams = None
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        if self.streams is not None:
            self.streams[1].close()

    def _broke_off(self, call: bytes, how: str) -> None:
        """The call's connection is of no more use; without its answer the call is lost."""
        self.counts[how] += 1
        self.ledger.expire(call)
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def _one(self, call: bytes) -> None:
        if self.streams is None:
            host, _, port = self.address.rpartition(":")
            # Each caller is a machine of its own.
            local = (f"127.0.1.{self.number}", 0)
            self.streams = await asyncio.open_connection(host, int(port), local_addr=local)
            self.begun.clear()
        reader, writer = self.streams
        self.counts["calls"] += 1
        parameters: dict[int, bytes] = {
            Code.CLASS: b"status-check",
            Code.TIME_LEFT: str(int(TIME_LEFT * 1000)).encode(),
            Code.NUMBER: call.hex().encode(),
            Code.FIGURES: f"dest:{self.rng.randrange(2)};width:1;via:-1".encode(),
            Code.DESCRIPTION: call,
        }
        message = write_message(Type.SET_UP, call, parameters)
        cut = self.rng.randrange(1, len(message))
        writer.write(message[:cut])  # in two pieces, so that some are half read as a connection moves
        await asyncio.sleep(self.rng.uniform(0.0, 0.005))
        writer.write(message[cut:])
        self.ledger.record_set_up(call, self.loop.time() * 1000.0)
        answer = await self._answer(reader, writer, call)
        if answer.type != Type.ANSWER:
            self.counts["turned_away"] += 1
            return
        if answer.parameters.get(Code.DESCRIPTION) != call:
            self.counts["wrong"] += 1
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        if self.rng.random() < 0.5:
            writer.write(write_release(call, Cause.NORMAL))
            async with asyncio.timeout(LATE):
                while (await self._next(reader)).type != Type.RELEASE_ACK:
                    pass
        else:
            async with asyncio.timeout(ENDS):
                if (await self._hear(reader, call)).type != Type.RELEASE:
                    self.counts["doubled"] += 1

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, call: bytes
    ) -> Message:
        """The final answer; raises TimeoutError where the caller's time was over before it came."""
        hearing = self.loop.create_task(self._hear(reader, call))
        await asyncio.wait({hearing}, timeout=TIME_LEFT)
        if not hearing.done():
            await read_pending_bytes()
        if hearing.done():
            answer = hearing.result()
            self.ledger.record_final_answer(call)
            return answer
        self.ledger.expire(call)
        writer.write(write_release(call, Cause.NORMAL))
        try:
            async with asyncio.timeout(LATE):
                await hearing
            self.ledger.record_final_answer(call)
        except EOFError:
            pass
        raise TimeoutError

    async def _hear(self, reader: asyncio.StreamReader, call: bytes) -> Message:
        while (message := await self._next(reader)).type not in (Type.ANSWER, Type.RELEASE):
            pass
        if message.call != call:
            self.counts["doubled"] += 1  # a second message on an earlier call
            return await self._hear(reader, call)
        return message

    async def _next(self, reader: asyncio.StreamReader) -> Message:
        while (body := next(split(self.begun), None)) is None:
            data = await reader.read(65536)
            if not data:
                raise EOFError
            self.begun += data
        return read_message(body)


async def end_calls(server: SessionServer, rng: random.Random) -> None:
    """The server ends each call that has stood for a moment, but for those that its caller ends before."""
    while True:
        await asyncio.sleep(0.05)
        for call in list(server.standing):
            if rng.random() < 0.1:
                server.end_call(call)


def two_out(servers: list[SessionServer]) -> int:
    """Calls that had a second attempt out while the first was not over."""
    spans: dict[bytes, list[tuple[float, float]]] = {}
    for server in servers:
        for one in server.received_set_ups:
            spans.setdefault(one.call, []).append(
                (one.received_at, one.ended_at if one.ended_at is not None else one.received_at)
            )
    return sum(
        any(later[0] < earlier[1] for earlier, later in zip(sorted(times), sorted(times)[1:], strict=False))
        for times in spans.values()
    )


async def measure(upgrades: int, seed: int, shared: bool) -> dict[str, Any]:
    rng = random.Random(seed)
    servers = [SessionServer(number, ServerBehavior(ignored_share=MUTE_SHARE)) for number in (0, 1)]
    board, ledger = DiscoveryServer(), CallLedger()
    for server in servers:
        await server.start()
    await board.start()
    counts: Counter[str] = Counter()
    proxy = ProxyProcess(board, servers, None, with_operator=True, with_temporary_directory=not shared)
    await proxy.start()
    callers = [Caller(proxy.caller_address, at + 1, at < KEPT, counts, ledger) for at in range(KEPT + FRESH)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    ending = [asyncio.create_task(end_calls(server, rng)) for server in servers]
    descriptors, resident, failed = 0, 0.0, 0
    for _ in range(upgrades):
        await asyncio.sleep(rng.uniform(0.2, 0.6))
        new = await proxy.start_successor()
        await asyncio.sleep(rng.uniform(0.0, 0.1))
        descriptors = max(descriptors, proxy.open_descriptors() + new.open_descriptors())
        resident = max(resident, proxy.resident_memory_mb() + new.resident_memory_mb())
        proxy.send_signal(signal.SIGTERM)
        failed += await proxy.wait_until_ended() != 0
        await proxy.kill()
        proxy = new
    await asyncio.sleep(0.3)
    for caller in callers:
        caller.stopping = True
    await asyncio.gather(*tasks)
    for task in ending:
        task.cancel()
    await proxy.kill()
    for server in servers:
        await server.stop()
    await board.stop()
    names = ("refused", "reset", "unread", "missing", "wrong", "turned_away")
    faults, two = ledger.counts(), two_out(servers)
    return {
        "upgrades": upgrades,
        "requests": counts["calls"],
        "lost": faults[CallFault.LOST] + faults[CallFault.LATE],
        "late": faults[CallFault.LATE],
        "doubled": faults[CallFault.DOUBLED] + counts["doubled"],
        "rules_broken": two + counts["wrong"] + failed,
        **{name: counts[name] for name in names},
        "two_out": two,
        "failed_ends": failed,
        "peak_descriptors": descriptors,
        "peak_rss_mb": round(resident, 1),
    }


FAULTS = ("lost", "late", "doubled", "rules_broken", "refused", "reset", "unread", "missing")


@click.command()
@click.option("--upgrades", default=40, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--short", is_flag=True, help="the form that CI runs")
@click.option("--shared", is_flag=True, help="without $TMPDIR: both listen by SO_REUSEPORT, for comparison")
def main(upgrades: int, seed: int, short: bool, shared: bool) -> None:
    result = asyncio.run(measure(4 if short else upgrades, seed, shared))
    for name, value in result.items():
        print(f"{name:<16} {value}")
    print("RESULT " + json.dumps(result))
    raise SystemExit(1 if any(result[name] for name in FAULTS) else 0)


if __name__ == "__main__":
    main()
