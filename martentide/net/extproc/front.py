"""The actor of one front: its ledger, its timers and its connection to the dispatcher.

For the dispatcher it is both a Caller and a Carrier. Messages of the ledger go to ``deliver`` in batches and
in order; the owner of the stream sends them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from martentide.attempt_messages import Ended, Order, Stood, Withdraw
from martentide.codec.discovery import Listed
from martentide.extproc.ledger import (
    Carry,
    Decided,
    Due,
    Effect,
    Event,
    FrontError,
    Ledger,
    CallClosed,
    ListChanged,
    NewCall,
    ListedServer,
    Send,
    Stream,
    TakeBack,
    CancelTimer,
    SetTimer,
)
from martentide.extproc.messages import ToFront
from martentide.net.dispatcher import Dispatcher, GiveUp, Offer
from martentide.net.close_reason import LOG
from martentide.net.links import unix_ms

MAX_UNREAD_FRAMES = 16  # frames of one stream in the mailbox; at the limit, the stream is not read
MAX_EVENTS_PER_TURN = 256  # events processed before yielding to the event loop

Deliver = Callable[[list[ToFront]], None]


def list_changed_event(listed: Iterable[Listed]) -> ListChanged:
    """Convert entries of the server list to the ledger's event."""
    return ListChanged(
        tuple(
            ListedServer(listed_server.entry, f"{listed_server.host}:{listed_server.port}")
            for listed_server in listed
        )
    )


def call_id(key: int) -> bytes:
    """Call id of a request: nine bytes, so that it can't equal the eight-byte id of a caller's call."""
    return b"x" + key.to_bytes(8, "big")


class FrontActor:
    """Actor of one front.

    ``on_protocol_error`` is called when the front violates the protocol; it has to close the stream.
    """

    def __init__(
        self,
        ledger: Ledger,
        dispatcher: Dispatcher,
        deliver: Deliver,
        on_protocol_error: Callable[[str], None],
    ) -> None:
        self.ledger, self.dispatcher, self.deliver, self.on_protocol_error = (
            ledger,
            dispatcher,
            deliver,
            on_protocol_error,
        )
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Event | Sequence[Event]] = asyncio.Queue()
        self.timers: dict[tuple[int, str], asyncio.TimerHandle] = {}
        self.unread_credit = asyncio.Semaphore(MAX_UNREAD_FRAMES)
        self.now = 0.0
        self.stopping = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.enqueue(list_changed_event(dispatcher.listed.values()))
        self.task = self.loop.create_task(self._run(), name=f"front {ledger.front}")

    def enqueue(self, item: Event | Sequence[Event]) -> None:
        """Add to the mailbox; a sequence is one frame of a stream, for which its reader holds a credit."""
        self.mailbox.put_nowait(item)

    def stop_when_idle(self) -> None:
        """End the actor as soon as its ledger has no open request."""
        self.stopping = True
        self.enqueue(())

    async def _run(self) -> None:
        while not (self.stopping and self.mailbox.empty() and not self.ledger.requests):
            outgoing: list[ToFront] = []
            item = await self.mailbox.get()
            for _ in range(MAX_EVENTS_PER_TURN):
                if isinstance(item, tuple | list):
                    for event in item:
                        self._handle(event, outgoing)
                    if item:
                        self.unread_credit.release()
                else:
                    self._handle(item, outgoing)  # type: ignore[arg-type]
                if self.mailbox.empty():
                    break
                item = self.mailbox.get_nowait()
            if outgoing:
                self.deliver(outgoing)
            if self.ledger.requests:
                self.idle.clear()
            else:
                self.idle.set()
            if not self.mailbox.empty():
                await asyncio.sleep(0)  # a busy front must not starve the other tasks
        for timer in self.timers.values():
            timer.cancel()

    def _handle(self, event: Event, outgoing: list[ToFront]) -> None:
        self.now = max(self.now, unix_ms())
        try:
            effects: Sequence[Effect] = self.ledger.handle(self.now, event)
        except FrontError as error:
            effects = self.ledger.effects
            self.on_protocol_error(str(error))
        except Exception:
            # On an internal fault, apply the effects produced so far; timers end the remaining requests.
            LOG.exception("internal-error", front=self.ledger.front, item=type(event).__name__)
            effects = self.ledger.effects
        for effect in effects:
            self._apply(effect, outgoing)

    def _apply(self, effect: Effect, outgoing: list[ToFront]) -> None:
        match effect:
            case Send(message):
                outgoing.append(message)
            case SetTimer(key, kind, at):
                old = self.timers.get((key, kind))
                if old is not None:
                    old.cancel()
                delay = max(0.0, at - self.now) / 1000.0
                self.timers[key, kind] = self.loop.call_later(delay, self._due, key, kind)
            case CancelTimer(key, kind):
                timer = self.timers.pop((key, kind), None)
                if timer is not None:
                    timer.cancel()
            case NewCall():
                self.dispatcher.post(
                    Offer(
                        caller=self,
                        call=call_id(effect.key),
                        call_class=effect.call_class.encode("utf-8"),
                        number=effect.number.encode("utf-8", "replace"),
                        description=b"",
                        time_left=effect.time_left,
                        first_choice=effect.first_choice,
                        received_at=effect.at,
                        carrier=self,
                    )
                )
            case CallClosed(key):
                self.dispatcher.post(GiveUp(call_id(key), self))
            case Stood() | Ended():
                self.dispatcher.post(effect)

    def _due(self, key: int, kind: str) -> None:
        self.timers.pop((key, kind), None)
        self.enqueue(Due(key, kind))

    # ---- calls of the dispatcher: Caller and Carrier ------------------------------------------------------

    def answer(self, call: bytes, description: bytes) -> None:
        """Do nothing: the front itself reported that the call stands."""

    def refuse(self, call: bytes, hold_off: float) -> None:
        """Refuse the call; ``hold_off`` in ms."""
        self.enqueue(Decided(int.from_bytes(call[1:], "big"), hold_off, self._held(call)))

    def fail(self, call: bytes) -> None:
        """Fail the call."""
        self.enqueue(Decided(int.from_bytes(call[1:], "big"), None, self._held(call)))

    def release(self, call: bytes, cut: bool) -> None:
        """Do nothing: the ledger itself ended the call."""

    def post(self, item: Order | Withdraw) -> None:
        """Accept an order for an attempt, or its withdrawal."""
        key = int.from_bytes(item.call[1:], "big")
        if isinstance(item, Order):
            held = self._held(item.call)
            self.enqueue(Carry(key, item.ref, item.attempt, item.server, item.patience, held))
        else:
            self.enqueue(TakeBack(key, item.ref, item.attempt, item.hang_up))

    def _held(self, call: bytes) -> bool:
        """Whether the dispatcher answers later than in the event that brought the question."""
        return self.dispatcher.call_being_decided != call

    def stream_changed(self, event: Stream) -> None:
        """Notify the ledger of a change of the stream."""
        self.enqueue(event)
