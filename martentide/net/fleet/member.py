"""Fleet membership actor: owns the core and the health-check assignment.

It exchanges messages with the dispatcher. Received datagrams go to its bounded mailbox; those that exceed it
are dropped and counted. One timer drives the core, another one the evaluation of the health-check assignment.
"""

from __future__ import annotations

import asyncio
import json
import math
import secrets
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from martentide.fleet.core import Membership
from martentide.fleet.events import (
    Action,
    Address,
    Changed,
    DatagramReceived,
    Depart,
    Displaced,
    Due,
    Learned,
    PayloadReceived,
    Publish,
    Send,
    SendPayload,
    Stalled,
    TableFull,
)
from martentide.fleet.events import Event as CoreEvent
from martentide.fleet.health_check_assignment import SCHEMA, HealthCheckAssignment, evaluate_assignment
from martentide.fleet.wire import DatagramError, Frame, State
from martentide.interface import AttemptEnded, Event, ProbeEnded, RepeatBudget, Settings, Stands
from martentide.net.close_reason import LOG, log_event, logged_name
from martentide.net.dispatcher import Dispatcher, Probing
from martentide.net.due_timer import DueTimer
from martentide.overload import core as overload
from martentide.overload.level import Phase

if TYPE_CHECKING:
    from martentide.extras import Fleet as FleetPart
    from martentide.net.fleet.agreement_actor import AgreementActor

MAX_MAILBOX_ITEMS = 512  # more are dropped, as by a full socket buffer
ITEMS_PER_TURN = 32  # handled before yielding to other tasks
EVALUATION_INTERVAL_MS = 250.0  # of the health-check assignment
OPEN_ATTEMPTS, OPEN_RETRY_S = 60, 0.05  # attempts to open the endpoint and time between them
FINAL_RETRY_BUDGET, FINAL_RETRY_BUDGET_MS = 3.0, 10_000.0  # retries after leaving the fleet, and their expiry
REJECTED_LOG_INTERVAL_S = 1.0  # between two log lines about rejected datagrams


@dataclass(frozen=True, slots=True)
class Seen:
    """The dispatcher received an event about a watched server."""

    at: float
    event: Event


class Tick:
    """The core's timer is due."""


class EvaluationDue:
    """The health-check assignment is due for evaluation."""

    LOG_NAME: ClassVar[str] = "Look"


Item = bytes | Seen | Tick | EvaluationDue


class Endpoint(asyncio.DatagramProtocol):
    """Passes received datagrams to the member's mailbox."""

    def __init__(self, member: Member) -> None:
        self.member = member

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        """Queue a datagram, or drop it if the mailbox is full."""
        self.member.post(data)

    def error_received(self, error: Exception) -> None:
        """Count an ICMP error; the datagram is treated as lost."""
        self.member.counts["unreachable"] += 1  # no socket at the destination


class Member:
    """This proxy's membership of its fleet; it can ``join`` again after ``retire``."""

    def __init__(self, part: FleetPart, name: str, dispatcher: Dispatcher, seed: int) -> None:
        self.part, self.name, self.dispatcher, self.seed = part, name, dispatcher, seed
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Item] = asyncio.Queue(MAX_MAILBOX_ITEMS)
        self.counts: Counter[str] = Counter()
        self.logged_counts: Counter[str] = Counter()  # ``counts`` at the last log line
        self.counts_logged_at = 0.0
        self.frame = Frame(part.name, part.secret)
        self.health_checks = HealthCheckAssignment(name, part.zone)
        self.overload: overload.Overload | None = None
        self.settings: Settings | None = None  # those passed to ``overload``
        self.phase = Phase.NORMAL  # at the last log line
        self.core: Membership | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.timer = DueTimer(lambda: self.post(Tick()))
        self.evaluation_timer: asyncio.TimerHandle | None = None
        self.agreement: AgreementActor | None = None
        self.join_count = 0
        self.wanted = False  # whether to be a member: after ``join`` and before ``retire``
        dispatcher.event_observers.append(self._observe_event)

    # ---- joining and leaving ----------------------------------------------------------------------------

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    async def join(self) -> None:
        """Open the endpoint and join the fleet.

        If its address stays in use for all attempts, the proxy runs without a fleet.
        """
        self.wanted = True
        transport: asyncio.DatagramTransport | None = None
        for attempt in range(OPEN_ATTEMPTS):
            try:  # a predecessor process may still hold the address
                transport, _ = await self.loop.create_datagram_endpoint(
                    lambda: Endpoint(self), self.part.listen
                )
                break
            except OSError as error:
                if attempt == OPEN_ATTEMPTS - 1:
                    LOG.error("fleet-not-joined", detail=repr(error.strerror or str(error)))
                    return
                await asyncio.sleep(OPEN_RETRY_S)
        assert transport is not None
        if not self.wanted or self.core is not None:
            transport.close()  # retired in the meantime
            return
        self.transport = transport
        endpoint = transport.get_extra_info("sockname")
        self.join_count += 1
        address: Address = self.part.advertise or (endpoint[0], endpoint[1])
        seed = self.seed ^ (self.join_count << 64) ^ int(self.loop.time() * 1e9)
        self.core = Membership(
            self.name,
            self.part.zone,
            address,
            self.part.seeds,
            self.part.terms(),
            seed,
            self._now(),
            secrets.randbits(62) + 1,
        )
        if self.part.overload:
            self.settings = self.dispatcher.controller.settings
            self.phase = Phase.NORMAL
            self.overload = overload.Overload(
                self.name, self.core.me.process_id, *self._overload_terms(self.settings), seed=seed
            )
        log_event(
            "fleet-joining", fleet=self.part.name, address=f"{endpoint[0]}:{endpoint[1]}",
            advertise=f"{address[0]}:{address[1]}", life=self.core.me.process_id, zone=self.part.zone,
        )  # fmt: skip
        if self.part.agreement is not None:
            from martentide.net.fleet.agreement_actor import AgreementActor

            self.agreement = AgreementActor(
                self.part.agreement, self.name, self.dispatcher, self._send_payload, lambda: self.core
            )
            await self.agreement.begin(self.core.me.process_id, seed)
            if self.core is None or self.agreement is None:
                return  # retired while it read its persistent state
        self._arm()
        self.evaluation_timer = self.loop.call_later(EVALUATION_INTERVAL_MS / 1000.0, self._post_evaluation)

    def retire(self) -> None:
        """Leave without notifying the other members, as a successor process takes over the name."""
        self.wanted = False
        self.timer.cancel()
        if self.evaluation_timer is not None:
            self.evaluation_timer.cancel()
        if self.transport is not None:
            self.transport.close()
        if self.agreement is not None:
            self.agreement.end()
            self.agreement = None
        if self.core is not None:
            log_event("fleet-retired")
        if self.overload is not None:
            self.dispatcher.post(RepeatBudget(FINAL_RETRY_BUDGET, FINAL_RETRY_BUDGET_MS))
            self.overload = None
        self.core = self.transport = self.evaluation_timer = None

    def depart(self) -> None:
        """Notify the other members, then leave."""
        if self.core is not None:
            self._feed(Depart())
            log_event("fleet-left")
        self.retire()

    async def run(self) -> None:
        """Handle mailbox items until cancelled."""
        handled = 0
        while True:
            item = await self.mailbox.get()
            handled += 1
            if handled % ITEMS_PER_TURN == 0:
                await asyncio.sleep(0)
            try:
                self._handle_item(item)
            except Exception:  # a fault in one message must not end the membership
                LOG.exception("internal-error fleet", item=logged_name(item))
            if self.core is not None:
                self._arm()

    def post(self, item: Item) -> bool:
        """Queue an item; return False if the mailbox is full."""
        if self.mailbox.full():
            self.counts["overrun"] += 1
            return False
        self.mailbox.put_nowait(item)
        return True

    # ---- items ------------------------------------------------------------------------------------------

    def _handle_item(self, item: Item) -> None:
        if self.core is None:
            return
        match item:
            case bytes():
                self._receive_datagram(item)
            case Tick():
                self._feed(Due())
            case EvaluationDue():
                self._evaluate()
                self.evaluation_timer = self.loop.call_later(
                    EVALUATION_INTERVAL_MS / 1000.0, self._post_evaluation
                )
            case Seen(at, event):
                self.health_checks.observe(at, event)

    def _arm(self) -> None:
        assert self.core is not None
        self.timer.arm(self.core.due / 1000.0)

    def _post_evaluation(self) -> None:
        if self.mailbox.full():
            self.evaluation_timer = self.loop.call_later(
                EVALUATION_INTERVAL_MS / 1000.0, self._post_evaluation
            )
        else:
            self.post(EvaluationDue())

    def _receive_datagram(self, data: bytes) -> None:
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        try:
            datagram = self.frame.read(data)
        except DatagramError as error:
            self._count_rejected(error.why.value)
            return
        self._feed(DatagramReceived(datagram))

    def _count_rejected(self, reason: str) -> None:
        self.counts[reason] += 1
        now = self.loop.time()
        if now - self.counts_logged_at >= REJECTED_LOG_INTERVAL_S:
            self.counts_logged_at = now
            kinds = (
                "strange",
                "other-fleet",
                "other-version",
                "damaged",
                "malformed",
                "oversized",
                "overrun",
            )
            increase = {kind: self.counts[kind] - self.logged_counts[kind] for kind in kinds}
            self.logged_counts = Counter(self.counts)
            log_event(
                "fleet-passed-over",
                **{kind.replace("-", "_"): count for kind, count in increase.items() if count},
            )

    def _feed(self, event: CoreEvent) -> None:
        assert self.core is not None
        for action in self.core.handle(self._now(), event):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case Send(address, datagram):
                data = self.frame.write(datagram)
                self.counts["sent"] += 1
                self.counts["sent_bytes"] += len(data) + 28
                if self.transport is not None:
                    self.transport.sendto(data, address)
            case Changed(record, old, by, evidence):
                log_event(
                    "fleet-member", member=record.name, state=State(record.state).name.lower(),
                    was="unknown" if old is None else old.name.lower(), by=by, evidence=repr(evidence),
                    generation=record.generation, life=record.process_id, zone=record.zone,
                )  # fmt: skip
            case Learned():
                self.counts["facets"] += 1
            case PayloadReceived(sender, body):
                if self.agreement is not None:
                    self.agreement.receive(sender.name, body)
            case Displaced(by):
                LOG.error(
                    "fleet-displaced", member=by.name, address=f"{by.host}:{by.port}", life=by.process_id,
                    detail=repr("a newer process uses this name; this one continues without the fleet"),
                )  # fmt: skip
            case TableFull(most):
                LOG.warning("fleet-full", most_members=most)
            case Stalled(span):
                self.counts["late"] += 1
                log_event("fleet-late", ms=round(span))

    def handle_sighup(self) -> None:
        """On SIGHUP, propose the rules named in the extras file."""
        if self.agreement is not None:
            self.agreement.propose_file()

    def _send_payload(self, to: str, body: bytes) -> None:
        """Send a fragment of an agreement message to a member."""
        if self.core is not None:
            self._feed(SendPayload(to, body))
            self._arm()

    # ---- health-check assignment and overload -----------------------------------------------------------

    def _observe_event(self, at: float, event: Event) -> None:
        """Observe an event in the dispatcher's task: only count it, or post it if the server is watched."""
        if self.overload is not None:
            self.overload.observe(self._now(), event)
        if isinstance(event, (ProbeEnded, Stands, AttemptEnded)) and (
            event.server in self.health_checks.watched and self.core is not None
        ):
            self.post(Seen(self._now(), event))

    def _evaluate(self) -> None:
        core = self.core
        assert core is not None
        now = self._now()
        result, undecodable = evaluate_assignment(
            core, self.health_checks, now, self.dispatcher.controller.servers
        )
        if undecodable:
            self._count_rejected("malformed")
        for kind, max_age, body in result.entries:
            self._feed(Publish(kind, SCHEMA, max_age, body))
        for event in result.events:
            self.dispatcher.post(event)
        for name in result.health_checks:
            if (actor := self.dispatcher.servers.get(name)) is not None:
                actor.post(Probing())
        if self.overload is not None:
            self._handle_overload(core, self.overload, now)
        if self.agreement is not None:
            for entry in self.agreement.poll(core):
                self._feed(entry)

    def _overload_terms(self, settings: Settings) -> tuple[dict[str, float], float, float]:
        priorities = {kind.name: kind.worth for kind in settings.classes}
        return priorities, settings.max_hold_off, self.dispatcher.controller.tolerable_wait

    def _handle_overload(self, core: Membership, overload_core: overload.Overload, now: float) -> None:
        controller = self.dispatcher.controller
        if controller.settings is not self.settings:
            self.settings = controller.settings
            overload_core.apply_settings(*self._overload_terms(self.settings))
        limited = self.dispatcher.now < controller.retry_tokens_expire_at < math.inf
        token_allotment = controller.retry_tokens if limited else 0.0
        outcome, undecodable = overload.poll(core, overload_core, now, controller.servers, token_allotment)
        if undecodable:
            self._count_rejected("malformed")
        for event in outcome.events:
            self.dispatcher.post(event)
        if outcome.message is not None and not core.displaced:
            self._feed(Publish(overload.LOAD_KIND, overload.SCHEMA, overload.LOAD_EXPIRY, outcome.message))
        if overload_core.level.phase is not self.phase:
            self.phase = overload_core.level.phase
            log_event(
                "fleet-overload", phase=self.phase.name.lower(),
                admitted=round(overload_core.level.admitted, 3),
                pressure=round(overload_core.level.pressure, 3),
                storms=overload_core.level.storms, alone=overload_core.is_isolated(now),
            )  # fmt: skip

    # ---- status -----------------------------------------------------------------------------------------

    def status(self) -> str:
        """This member, the others and their state entries as JSON; ages in ms."""
        core, now = self.core, self._now()
        if core is None:
            return json.dumps({"fleet": self.part.name, "name": self.name, "state": "retired", "members": []})
        members = []
        for member in core.members.values():
            entries = [
                {"kind": kind, "schema": stored.entry.schema, "counter": stored.entry.counter,
                 "age": round(stored.age(now)), "end": stored.entry.max_age, "bytes": len(stored.entry.body)}
                for kind, stored in sorted(member.entries.items())
            ]  # fmt: skip
            members.append(
                {"name": member.record.name, "zone": member.record.zone, "state": member.state.name.lower(),
                 "address": f"{member.record.host}:{member.record.port}",
                 "generation": member.record.generation,
                 "incarnation": member.record.incarnation,
                 "heard": round(core.running_now - member.last_received_at),
                 "since": round(core.running_now - member.since), "accusers": sorted(member.accusers),
                 "facets": entries}
            )  # fmt: skip
        state = "displaced" if core.displaced else "joining" if core.joining else "alive"
        return json.dumps(
            {"fleet": self.part.name, "name": self.name, "zone": self.part.zone, "state": state,
             "generation": core.me.generation, "incarnation": core.me.incarnation,
             "health": core.health_multiplier,
             "counts": dict(self.counts + core.counts),
             "overload": None if self.overload is None else self.overload.status(now),
             "members": sorted(members, key=lambda m: str(m["name"])),
             "tests_left_to_others": sorted(self.health_checks.last_assignment.no_tests),
             "trials_left_to_others": sorted(self.health_checks.last_assignment.no_trials)}
        )  # fmt: skip
