"""Agreement on versions in simulated time: real cores on the simulated fleet's clocks and network, disks that
survive kills, and a checker of the rules that members act on."""

from __future__ import annotations

import functools
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass

from martentide.agreement.core import (
    Agreement,
    ApplyRules,
    Check,
    Checked,
    LeaseTimings,
    LogEvent,
    Persist,
    ProposalResolved,
    Propose,
    Received,
    Send,
    TimerExpired,
    VoterState,
)
from martentide.agreement.core import (
    Event as AgreementEvent,
)
from martentide.agreement.messages import encode
from martentide.agreement.ruleset import RuleSet, contradictions, encode_rules, rules_from
from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.scenario import Step
from martentide_lab.fleet.search import random_steps
from martentide_lab.fleet.simulated import SimulatedFleet, SimulatedMember


def rule_set(attempts: int, repeat: str = "keyed", state: str = "ready") -> bytes:
    """A small rule set, encoded; two with different arguments contradict each other."""
    data = {
        "attempts": attempts,
        "classes": {"sign": {"repeat": repeat, "deadline_ms": 6000, "pools": None}},
        "servers": {"s-1@0": state},
    }
    return encode_rules(rules_from(data, "simulated"))


@dataclass
class ProposalResult:
    """The result of a proposal as its proposer received it, at ``at`` ms."""

    request: str
    done: bool  # whether the proposal succeeded
    number: int  # of the version
    at: float


class SimulatedAgreementFleet(SimulatedFleet):
    """A fleet with an agreement core beside each membership core; the first ``voters`` members vote."""

    def __init__(
        self,
        members: int,
        seed: int,
        voters: int = 3,
        timings: LeaseTimings | None = None,
        base: Link | None = None,
        core_type: type[Agreement] = Agreement,
    ) -> None:
        super().__init__(members, seed, base=base, encode_datagrams=False)
        self.lease_timings, self.core_type = timings or LeaseTimings(), core_type
        self.voters = [f"n{number}" for number in range(voters)]
        self.agreements: dict[str, Agreement] = {}
        self.disks: dict[str, VoterState] = {}
        # Sender and body of the messages in the sockets of stopped processes.
        self.queued_messages: dict[str, list[tuple[str, bytes]]] = {}
        self.results: list[ProposalResult] = []
        # By version number: the request of the version that a member acted on first.
        self.requests_in_force: dict[int, str] = {}
        self.violations: list[str] = []
        self.rejections: dict[str, str] = {}  # members that reject every version, and their reason
        self.safe_ms: dict[str, float] = dict.fromkeys(self.members, 0.0)  # ms on the safe rules, by member
        self.sent_messages: dict[str, tuple[int, int]] = {}  # count and bytes, by sender
        self.checked_at = 0.0  # simulated time (ms) of the last check of the rules
        self.request_numbers = itertools.count(1)
        self.timers: dict[str, float] = {}  # by member: simulated time (ms) of its next timer; 0: none
        self.conflicts: dict[tuple[bytes, bytes], list[str]] = {}  # by pair of rule sets: how they contradict

    # ---- processes --------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start both cores unless the process runs; the agreement core reads its disk."""
        starting = self.members[name].core is None
        super().start(name)
        if not starting:
            return
        member = self.members[name]
        assert member.core is not None
        self.queued_messages[name] = []
        self.agreements[name] = self.core_type(
            name, member.core.me.process_id, self.voters, self.lease_timings, self.rng.getrandbits(48),
            member.local_time(self.now), self.disks.get(name),
        )  # fmt: skip
        self._schedule_agreement_timer(name)

    def lose_disk(self, name: str) -> None:
        """Erase what the member's agreement core has stored."""
        self.disks.pop(name, None)
        self._log("disk-lost", name, name)

    def kill(self, name: str) -> None:
        """End the process without notice; its disk stays."""
        super().kill(name)
        self.agreements.pop(name, None)

    def term(self, name: str) -> None:
        """End the process after it has left the fleet; its disk stays."""
        super().term(name)
        self.agreements.pop(name, None)

    def _resume_process(self, member: SimulatedMember) -> None:
        super()._resume_process(member)
        messages, self.queued_messages[member.name] = self.queued_messages.get(member.name, []), []
        for sender, body in messages:
            self.handle_agreement_event(member.name, Received(sender, body))
        self._schedule_agreement_timer(member.name)

    # ---- events -----------------------------------------------------------------------------------------

    def handle_agreement_event(self, name: str, event: AgreementEvent) -> None:
        """Pass an event to the member's agreement core if it runs; carry out its actions, check the rules."""
        agreement, member = self.agreements.get(name), self.members[name]
        if agreement is None or member.core is None or member.stopped:
            return
        for action in agreement.handle(member.local_time(self.now), event):
            match action:
                case Send(target, message):
                    body = encode(message)
                    count, size = self.sent_messages.get(name, (0, 0))
                    self.sent_messages[name] = (count + 1, size + len(body))
                    self._transmit_message(name, target, body)
                case Persist(state):
                    self.disks[name] = state
                case Check(version):
                    checked = Checked(version.number, self.rejections.get(name, ""))
                    self.schedule(
                        self.rng.uniform(1.0, 40.0),
                        functools.partial(self.handle_agreement_event, name, checked),
                    )
                case ApplyRules(rules, number, joint, _):
                    self._log("act", name, name, number=number, joint=joint, safe=rules is None)
                case ProposalResolved(request, done, number, text):
                    self._log("answered", name, name, request=request, done=done, number=number, text=text)
                    self.results.append(ProposalResult(request, done, number, self.now))
                case LogEvent(kind, detail):
                    self._log(kind, name, name, detail=detail)
        self._check_rules()
        self._schedule_agreement_timer(name)

    def propose(self, name: str, rules: bytes, base: int = -1) -> str:
        """Propose rules at a member; returns the request, or "" if the member doesn't run or is suspended."""
        agreement = self.agreements.get(name)
        number = str(next(self.request_numbers))
        if agreement is None or self.members[name].stopped:
            return ""
        self.handle_agreement_event(name, Propose(number, base, rules, "somebody", "a test"))
        return f"{name}/{agreement.process_id}/{number}"

    def propose_and_forget(self, name: str, rules: bytes) -> None:
        """As ``propose``, for a scheduled call."""
        self.propose(name, rules)

    def _schedule_agreement_timer(self, name: str) -> None:
        agreement, member = self.agreements.get(name), self.members[name]
        if agreement is None:
            return
        due = max(self.now, member.simulated_time(agreement.next_deadline)) + 0.01
        if not self.now < self.timers.get(name, 0.0) <= due:
            self.timers[name] = due
            self.schedule(due - self.now, lambda: self._agreement_timer_expired(name, agreement, due))

    def _agreement_timer_expired(self, name: str, agreement: Agreement, due: float) -> None:
        if self.agreements.get(name) is agreement and self.timers.get(name) == due:
            self.timers[name] = 0.0
            self.handle_agreement_event(name, TimerExpired())

    def _transmit_message(self, source: str, target: str, body: bytes) -> None:
        if target not in self.members:
            return
        for delivery in self.network.deliveries((source, target), self.rng):
            if not delivery.corrupted:
                self.schedule(delivery.delay, lambda: self._deliver_message(source, target, body))

    def _deliver_message(self, source: str, target: str, body: bytes) -> None:
        member = self.members[target]
        if member.core is not None and member.stopped:
            self.queued_messages.setdefault(target, []).append((source, body))
            del self.queued_messages[target][256:]
        else:
            self.handle_agreement_event(target, Received(source, body))

    # ---- invariants ---------------------------------------------------------------------------------------

    def acting_rules(self) -> dict[str, RuleSet]:
        """The rules that running members with a valid lease act on, by member.

        Members on the safe rules are left out, because the safe rules contradict no others.
        """
        acting = {}
        for name, agreement in self.agreements.items():
            member = self.members[name]
            if (
                member.core is not None
                and not member.stopped
                and agreement.lease_valid(member.local_time(self.now))
            ):
                rules = agreement.rules()
                if rules is not None:
                    acting[name] = rules
        return acting

    def _check_rules(self) -> None:
        acting = self.acting_rules()
        span, self.checked_at = self.now - self.checked_at, self.now
        for name in self.agreements:
            if name not in acting and not self.members[name].stopped:
                self.safe_ms[name] += span
        distinct_rules = {encode_rules(rules): (name, rules) for name, rules in acting.items()}
        for (encoded, (name, rules)), (peer_encoded, (peer, peer_rules)) in itertools.combinations(
            distinct_rules.items(), 2
        ):
            key = (encoded, peer_encoded)
            if key not in self.conflicts:
                self.conflicts[key] = contradictions(rules, peer_rules)
            if self.conflicts[key]:
                self.violations.append(
                    f"no-contradiction: {self.now:.0f} ms: {name} and {peer}: {self.conflicts[key][0]}"
                )
        for name in acting:
            version = self.agreements[name].known_state.in_force
            first_request = self.requests_in_force.setdefault(version.number, version.request)
            if first_request != version.request:
                self.violations.append(f"one-order: {self.now:.0f} ms: {name}: two versions {version.number}")

    def finish(self) -> list[str]:
        """Check that no version is lost that a proposer was notified of as in force; returns violations."""
        newest = max(
            (agreement.known_state.in_force.number for agreement in self.agreements.values()), default=0
        )
        for result in self.results:
            if (
                result.done
                and result.number
                and (
                    result.number > newest
                    or self.requests_in_force.get(result.number, result.request) != result.request
                )
            ):
                self.violations.append(
                    f"not-lost: version {result.number} of {result.request}, the newest is {newest}"
                )
        return self.violations


def play_random(
    seed: int, members: int = 5, core_type: type[Agreement] = Agreement, steps: Sequence[Step] | None = None
) -> SimulatedAgreementFleet:
    """Run random faults and random proposals; all faults end, then one more proposal must come into force."""
    rng = random.Random(seed)
    fleet = SimulatedAgreementFleet(
        members, seed, base=Link(delay=2.0, jitter=8.0, loss=0.02), core_type=core_type
    )
    chosen = random_steps(seed, members, 24_000.0) if steps is None else steps
    for step in chosen:
        fleet.schedule(step.at, functools.partial(fleet.execute_step, step))
    names = list(fleet.members)
    when = 1_500.0
    while (when := when + rng.expovariate(1 / 700.0)) < 24_000.0:
        rules = rule_set(rng.randint(1, 3), rng.choice(["keyed", "once-only"]), rng.choice(["ready", "gone"]))
        name = rng.choice(names)
        fleet.schedule(when, functools.partial(fleet.propose_and_forget, name, rules))
    for name in names:
        fleet.start(name)
    fleet.run(24_000.0)
    for name in names:
        fleet.start(name)
    for attempt in range(4):  # a proposal may be rejected while another one is being brought into force
        fleet.run(34_000.0 + 1_000.0 * attempt)
        fleet.propose(names[-1], rule_set(9))
    fleet.run(40_000.0)
    if not any(result.done and result.at > 34_000.0 for result in fleet.results):
        fleet.violations.append("live: no version came into force after all faults ended")
    fleet.finish()
    return fleet
