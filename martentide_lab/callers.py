"""A load generator in the role of callers: offers calls by the platform's protocol, releases standing ones.

Each call is recorded in a ledger, which checks that it gets one final answer while the caller waits. When
its time is over, the caller gives up the call, as the platform's callers do.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from martentide.codec.messages import Cause, Code, Type, read_message, split, write_message, write_release
from martentide_lab.call_ledger import EXPIRY_LOOP_ITERATIONS, MAX_REMEMBERED_CALLS, CallFault, CallLedger
from martentide_lab.load_model import HOLD_OFF_COMPLIANCE, redial_delay

TIME_LEFT_MS = 2_500.0  # how long a caller waits for the final answer


@dataclass(slots=True)
class RedialedCall:
    """A call with its redials, counted once for its worth; times in ms of the event loop's clock."""

    class_name: str
    number: bytes
    started_at: float
    dials: int = 0
    stood_at: float | None = None


@dataclass(slots=True)
class OfferedCall:
    """One dialled call; times in ms of the event loop's clock."""

    final_at: float = 0.0  # final answer; 0: none yet
    stood: bool = False
    redialed_call: RedialedCall | None = None


class LoadGenerator:
    """Offers ``rate`` calls a second over one connection until it is stopped or disconnected.

    ``redials`` is the number of times that a caller dials again after a refusal or failure, ``shares`` the
    relative frequency of each class. First tries are evenly spaced, or a Poisson process with ``poisson``.
    ``answer_counts`` counts the received answers and releases.
    """

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
        self.closed_at: float | None = None  # ms; when the connection ended or was closed by the proxy
        self.writer: asyncio.StreamWriter | None = None
        self.loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Connect and offer calls until cancelled; return at once if the connection cannot be opened."""
        host, _, port = self.address.rpartition(":")
        try:
            reader, self.writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        receive_task = self.loop.create_task(self._receive(reader, self.writer))
        try:
            for sequence_number in itertools.count(1):
                call = (self.rng.getrandbits(32) << 24 | sequence_number).to_bytes(8, "big")
                class_name = self.rng.choices(self.classes, self.shares)[0]
                called_number = f"{self.rng.getrandbits(40):x}".encode()
                redialed_call = RedialedCall(class_name, called_number, self.loop.time() * 1000.0)
                if self.redials:
                    self.redialed_calls.append(redialed_call)
                self._set_up(self.writer, call, redialed_call)
                interval = 1.0 / self.rate
                await asyncio.sleep(self.rng.expovariate(1.0 / interval) if self.poisson else interval)
        finally:
            receive_task.cancel()

    def _set_up(self, writer: asyncio.StreamWriter, call: bytes, redialed_call: RedialedCall) -> None:
        if writer.is_closing():
            return
        redialed_call.dials += 1
        parameters: dict[int, bytes] = {
            Code.CLASS: redialed_call.class_name.encode(),
            Code.TIME_LEFT: b"%d" % TIME_LEFT_MS,
            Code.NUMBER: redialed_call.number,
            Code.FIGURES: f"dest:{self.rng.randrange(4)};width:1;via:-1".encode(),
            Code.DESCRIPTION: call,
        }
        writer.write(write_message(Type.SET_UP, call, parameters))
        self.calls[call] = OfferedCall(redialed_call=redialed_call)
        self.ledger.record_set_up(call, self.loop.time() * 1000.0)
        self.loop.call_later(TIME_LEFT_MS / 1000.0, self._expire, call, EXPIRY_LOOP_ITERATIONS)
        if len(self.calls) > MAX_REMEMBERED_CALLS:
            self.calls.popitem(last=False)

    def _expire(self, call: bytes, iterations_left: int) -> None:
        """Expire the call after bytes already received have been read, and give it up if it is unanswered."""
        if iterations_left:
            self.loop.call_soon(self._expire, call, iterations_left - 1)
        elif self.ledger.expire(call) and self.writer is not None and not self.writer.is_closing():
            self.writer.write(write_release(call, Cause.NORMAL))

    def _record_final_answer(self, call: bytes, stood: bool, hold_off: float = 0.0) -> None:
        offered_call = self.calls.get(call)
        # The release of a standing call is no final answer.
        if offered_call is None or (offered_call.stood and not stood):
            return
        self.ledger.record_final_answer(call)
        offered_call.final_at, offered_call.stood = self.loop.time() * 1000.0, stood
        redialed_call = offered_call.redialed_call
        if redialed_call is None:
            return
        if stood:
            redialed_call.stood_at = offered_call.final_at
        elif redialed_call.dials <= self.redials:
            delay = redial_delay(redialed_call.dials, hold_off, self.hold_off_compliance, self.rng)
            self.loop.call_later(delay / 1000.0, self._redial, redialed_call)

    def _redial(self, redialed_call: RedialedCall) -> None:
        if self.writer is not None:
            self._set_up(self.writer, self.rng.getrandbits(63).to_bytes(8, "big"), redialed_call)

    def faults(self) -> list[tuple[CallFault, float]]:
        """Return calls with no final answer in time or with two, each with the time in ms of its set-up."""
        return self.ledger.faults()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        buffer = bytearray()
        try:
            while data := await reader.read(65536):
                buffer += data
                for body in split(buffer):
                    message = read_message(body)
                    if message.type == Type.ANSWER:
                        self.answer_counts["answer"] += 1
                        self._record_final_answer(message.call, True)
                        delay = self.rng.uniform(0.05, 0.3)
                        self.loop.call_later(delay, self._release, writer, message.call)
                    elif message.type == Type.RELEASE:
                        self.answer_counts["release"] += 1
                        hold_off = message.parameters.get(Code.HOLD_OFF, b"0")
                        self._record_final_answer(message.call, False, float(hold_off))
        except OSError:
            pass
        self.closed_at = self.loop.time() * 1000.0

    def _release(self, writer: asyncio.StreamWriter, call: bytes) -> None:
        if not writer.is_closing():
            writer.write(write_release(call, Cause.NORMAL))

    async def stop(self, task: asyncio.Task[None]) -> None:
        """Cancel ``task``, which executes ``run``, and close the connection."""
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if self.writer is not None:
            self.writer.close()
