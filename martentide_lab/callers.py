"""A stand-in caller: offers calls on the platform's protocol, evenly spaced, and releases what stands.

Each call is entered in a ledger that checks the first rule: one final answer, while the caller waits. A
caller whose time is over gives its call up, as the platform's callers do.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from martentide.codec.messages import Cause, Code, Type, read_message, split, write_message, write_release
from martentide_lab.call_ledger import EXPIRY_LOOP_TURNS, MAX_REMEMBERED_CALLS, CallFault, CallLedger
from martentide_lab.load_model import HOLD_OFF_COMPLIANCE, redial_delay

TIME_LEFT_MS = 2_500.0  # ms


@dataclass(slots=True)
class RedialedCall:
    """A call and its redials, for one worth; times in ms of the loop's clock."""

    class_name: str
    number: bytes
    started_at: float
    dials: int = 0
    stood_at: float | None = None


@dataclass(slots=True)
class OfferedCall:
    """One call; times in ms of the loop's clock."""

    final_at: float = 0.0
    stood: bool = False
    redialed_call: RedialedCall | None = None


class LoadGenerator:
    """``rate`` calls a second over one connection, until stopped or cut off. ``answer_counts`` counts the
    answers.

    ``redials``: times a caller that was refused or failed dials again; ``shares`` of the classes;
    ``poisson``: first tries come by chance, not evenly."""

    def __init__(
        self,
        address: str,
        classes: Sequence[str],
        rate: float,
        seed: int,
        redials: int = 0,
        shares: Sequence[float] | None = None,
        poisson: bool = False,
    ) -> None:
        self.redials, self.shares, self.poisson = redials, shares, poisson
        self.redialed_calls: list[RedialedCall] = []
        self.hold_off_compliance = HOLD_OFF_COMPLIANCE
        self.address, self.classes, self.rate = address, classes, rate
        self.rng = random.Random(seed)
        self.answer_counts: Counter[str] = Counter()
        self.calls: OrderedDict[bytes, OfferedCall] = OrderedDict()
        self.ledger = CallLedger()
        self.closed_at: float | None = None  # the other side ended the connection
        self.writer: asyncio.StreamWriter | None = None
        self.loop = asyncio.get_running_loop()

    async def run(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            reader, self.writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        hearing = self.loop.create_task(self._hear(reader, self.writer))
        try:
            for number in itertools.count(1):
                call = (self.rng.getrandbits(32) << 24 | number).to_bytes(8, "big")
                kind = self.rng.choices(self.classes, self.shares)[0]
                number_called = f"{self.rng.getrandbits(40):x}".encode()
                story = RedialedCall(kind, number_called, self.loop.time() * 1000.0)
                if self.redials:
                    self.redialed_calls.append(story)
                self._set_up(self.writer, call, story)
                gap = 1.0 / self.rate
                await asyncio.sleep(self.rng.expovariate(1.0 / gap) if self.poisson else gap)
        finally:
            hearing.cancel()

    def _set_up(self, writer: asyncio.StreamWriter, call: bytes, story: RedialedCall) -> None:
        if writer.is_closing():
            return
        story.dials += 1
        parameters: dict[int, bytes] = {
            Code.CLASS: story.class_name.encode(),
            Code.TIME_LEFT: b"%d" % TIME_LEFT_MS,
            Code.NUMBER: story.number,
            Code.FIGURES: f"dest:{self.rng.randrange(4)};width:1;via:-1".encode(),
            Code.DESCRIPTION: call,
        }
        writer.write(write_message(Type.SET_UP, call, parameters))
        self.calls[call] = OfferedCall(redialed_call=story)
        self.ledger.record_set_up(call, self.loop.time() * 1000.0)
        self.loop.call_later(TIME_LEFT_MS / 1000.0, self._expire, call, EXPIRY_LOOP_TURNS)
        if len(self.calls) > MAX_REMEMBERED_CALLS:
            self.calls.popitem(last=False)

    def _expire(self, call: bytes, turns: int) -> None:
        """The caller waits no longer; what lies here by now is read first."""
        if turns:
            self.loop.call_soon(self._expire, call, turns - 1)
        elif self.ledger.expire(call) and self.writer is not None and not self.writer.is_closing():
            self.writer.write(write_release(call, Cause.NORMAL))

    def _final(self, call: bytes, stood: bool, hold_off: float = 0.0) -> None:
        one = self.calls.get(call)
        if one is None or (one.stood and not stood):  # the release of a call that stood is no answer
            return
        self.ledger.record_final_answer(call)
        one.final_at, one.stood = self.loop.time() * 1000.0, stood
        story = one.redialed_call
        if story is None:
            return
        if stood:
            story.stood_at = one.final_at
        elif story.dials <= self.redials:
            wait = redial_delay(story.dials, hold_off, self.hold_off_compliance, self.rng)
            self.loop.call_later(wait / 1000.0, self._redial, story)

    def _redial(self, story: RedialedCall) -> None:
        if self.writer is not None:
            self._set_up(self.writer, self.rng.getrandbits(63).to_bytes(8, "big"), story)

    def faults(self) -> list[tuple[CallFault, float]]:
        """Calls with no final answer in time, or two; each with when it was offered."""
        return self.ledger.faults()

    async def _hear(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        begun = bytearray()
        try:
            while data := await reader.read(65536):
                begun += data
                for body in split(begun):
                    message = read_message(body)
                    if message.type == Type.ANSWER:
                        self.answer_counts["answer"] += 1
                        self._final(message.call, True)
                        delay = self.rng.uniform(0.05, 0.3)
                        self.loop.call_later(delay, self._release, writer, message.call)
                    elif message.type == Type.RELEASE:
                        self.answer_counts["release"] += 1
                        hold_off = message.parameters.get(Code.HOLD_OFF, b"0")
                        self._final(message.call, False, float(hold_off))
        except OSError:
            pass
        self.closed_at = self.loop.time() * 1000.0

    def _release(self, writer: asyncio.StreamWriter, call: bytes) -> None:
        if not writer.is_closing():
            writer.write(write_release(call, Cause.NORMAL))

    async def stop(self, task: asyncio.Task[None]) -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if self.writer is not None:
            self.writer.close()
