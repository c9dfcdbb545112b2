"""Agreement on versions in simulated time: real cores on the simulated fleet's clocks and network, disks that
are kept over kills, and a checker of what members act on."""

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
    """A small one; two of them contradict each other where the figures differ."""
    data = {
        "attempts": attempts,
        "classes": {"sign": {"repeat": repeat, "deadline_ms": 6000, "pools": None}},
        "servers": {"s-1@0": state},
    }
    return encode_rules(rules_from(data, "simulated"))


@dataclass
class ProposalResult:
    """What one proposer heard."""

    request: str
    done: bool
    number: int
    at: float


class SimulatedAgreementFleet(SimulatedFleet):
    """Each member has an agreement core beside the fleet's; the first ``voters`` vote."""

    def __init__(
        self,
        members: int,
        seed: int,
        voters: int = 3,
        terms: LeaseTimings | None = None,
        base: Link | None = None,
        kind: type[Agreement] = Agreement,
    ) -> None:
        super().__init__(members, seed, base=base, encode_datagrams=False)
        self.agreement_terms, self.core_type = terms or LeaseTimings(), kind
        self.voters = [f"n{at}" for at in range(voters)]
        self.agreements: dict[str, Agreement] = {}
        self.disks: dict[str, VoterState] = {}
        self.queued_messages: dict[
            str, list[tuple[str, bytes]]
        ] = {}  # that lie in the sockets of stopped processes
        self.results: list[ProposalResult] = []
        self.requests_in_force: dict[int, str] = {}  # by version, what it holds, by whoever acted on it first
        self.violations: list[str] = []
        self.rejections: dict[str, str] = {}  # members that turn versions down, and why
        self.safe_ms: dict[str, float] = dict.fromkeys(self.members, 0.0)
        self.sent_messages: dict[str, tuple[int, int]] = {}  # and their bytes, by who said them
        self.checked_at = 0.0
        self.request_numbers = itertools.count(1)
        self.timers: dict[str, float] = {}
        self.verdicts: dict[tuple[bytes, bytes], list[str]] = {}

    # ---- processes --------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        fresh = self.members[name].core is None
        super().start(name)
        if not fresh:
            return
        node = self.members[name]
        assert node.core is not None
        self.queued_messages[name] = []
        self.agreements[name] = self.core_type(
            name, node.core.me.process_id, self.voters, self.agreement_terms, self.rng.getrandbits(48),
            node.own_time(self.now), self.disks.get(name),
        )  # fmt: skip
        self._wake_later(name)

    def lose_disk(self, name: str) -> None:
        self.disks.pop(name, None)
        self._log("disk-lost", name, name)

    def kill(self, name: str) -> None:
        super().kill(name)
        self.agreements.pop(name, None)

    def term(self, name: str) -> None:
        super().term(name)
        self.agreements.pop(name, None)

    def _run_on(self, node: SimulatedMember) -> None:
        super()._run_on(node)
        words, self.queued_messages[node.name] = self.queued_messages.get(node.name, []), []
        for sender, body in words:
            self.handle_agreement_event(node.name, Received(sender, body))
        self._wake_later(node.name)

    # ---- events -----------------------------------------------------------------------------------------

    def handle_agreement_event(self, name: str, event: AgreementEvent) -> None:
        one, node = self.agreements.get(name), self.members[name]
        if one is None or node.core is None or node.stopped:
            return
        for action in one.handle(node.own_time(self.now), event):
            match action:
                case Send(to, word):
                    body = encode(word)
                    said, size = self.sent_messages.get(name, (0, 0))
                    self.sent_messages[name] = (said + 1, size + len(body))
                    self._carry_word(name, to, body)
                case Persist(kept):
                    self.disks[name] = kept
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
                case LogEvent(what, detail):
                    self._log(what, name, name, detail=detail)
        self._look()
        self._wake_later(name)

    def propose(self, name: str, rules: bytes, base: int = -1) -> str:
        one = self.agreements.get(name)
        number = str(next(self.request_numbers))
        if one is None or self.members[name].stopped:
            return ""
        self.handle_agreement_event(name, Propose(number, base, rules, "somebody", "a test"))
        return f"{name}/{one.process_id}/{number}"

    def propose_and_forget(self, name: str, rules: bytes) -> None:
        self.propose(name, rules)

    def _wake_later(self, name: str) -> None:
        one, node = self.agreements.get(name), self.members[name]
        if one is None:
            return
        due = max(self.now, node.true_time(one.next_deadline)) + 0.01
        if not self.now < self.timers.get(name, 0.0) <= due:
            self.timers[name] = due
            self.schedule(due - self.now, lambda: self._turn(name, one, due))

    def _turn(self, name: str, one: Agreement, due: float) -> None:
        if self.agreements.get(name) is one and self.timers.get(name) == due:
            self.timers[name] = 0.0
            self.handle_agreement_event(name, TimerExpired())

    def _carry_word(self, source: str, target: str, body: bytes) -> None:
        if target not in self.members:
            return
        for fate in self.network.deliveries((source, target), self.rng):
            if not fate.corrupted:
                self.schedule(fate.delay, lambda: self._arrive_word(source, target, body))

    def _arrive_word(self, source: str, target: str, body: bytes) -> None:
        node = self.members[target]
        if node.core is not None and node.stopped:
            self.queued_messages.setdefault(target, []).append((source, body))
            del self.queued_messages[target][256:]
        else:
            self.handle_agreement_event(target, Received(source, body))

    # ---- what must hold -----------------------------------------------------------------------------------

    def acting(self) -> dict[str, RuleSet]:
        """By what each acts that runs and whose lease holds; none on safe rules, which contradict nothing."""
        found = {}
        for name, one in self.agreements.items():
            node = self.members[name]
            if node.core is not None and not node.stopped and one.lease_valid(node.own_time(self.now)):
                rules = one.rules()
                if rules is not None:
                    found[name] = rules
        return found

    def _look(self) -> None:
        acting = self.acting()
        span, self.checked_at = self.now - self.checked_at, self.now
        for name in self.agreements:
            if name not in acting and not self.members[name].stopped:
                self.safe_ms[name] += span
        known = {encode_rules(rules): (name, rules) for name, rules in acting.items()}
        for (one, (name, mine)), (other, (peer, theirs)) in itertools.combinations(known.items(), 2):
            key = (one, other)
            if key not in self.verdicts:
                self.verdicts[key] = contradictions(mine, theirs)
            if self.verdicts[key]:
                self.violations.append(
                    f"no-contradiction: {self.now:.0f} ms: {name} and {peer}: {self.verdicts[key][0]}"
                )
        for name in acting:
            version = self.agreements[name].known_state.in_force
            held = self.requests_in_force.setdefault(version.number, version.request)
            if held != version.request:
                self.violations.append(f"one-order: {self.now:.0f} ms: {name}: two versions {version.number}")

    def finish(self) -> list[str]:
        """Also that no version is lost of which a proposer heard that it is in force."""
        newest = max((one.known_state.in_force.number for one in self.agreements.values()), default=0)
        for one in self.results:
            if (
                one.done
                and one.number
                and (
                    one.number > newest or self.requests_in_force.get(one.number, one.request) != one.request
                )
            ):
                self.violations.append(
                    f"not-lost: version {one.number} of {one.request}, the newest is {newest}"
                )
        return self.violations


def play_random(
    seed: int, members: int = 5, kind: type[Agreement] = Agreement, steps: Sequence[Step] | None = None
) -> SimulatedAgreementFleet:
    """Random faults and random proposals; in the end all is mended and one more has to come into force."""
    dice = random.Random(seed)
    fleet = SimulatedAgreementFleet(members, seed, base=Link(delay=2.0, jitter=8.0, loss=0.02), kind=kind)
    chosen = random_steps(seed, members, 24_000.0) if steps is None else steps
    for step in chosen:
        fleet.schedule(step.at, functools.partial(fleet.execute_step, step))
    names = list(fleet.members)
    when = 1_500.0
    while (when := when + dice.expovariate(1 / 700.0)) < 24_000.0:
        rules = rule_set(
            dice.randint(1, 3), dice.choice(["keyed", "once-only"]), dice.choice(["ready", "gone"])
        )
        name = dice.choice(names)
        fleet.schedule(when, functools.partial(fleet.propose_and_forget, name, rules))
    for name in names:
        fleet.start(name)
    fleet.run(24_000.0)
    for name in names:
        fleet.start(name)
    for at in range(4):  # one may be turned down, where another is being brought into force
        fleet.run(34_000.0 + 1_000.0 * at)
        fleet.propose(names[-1], rule_set(9))
    fleet.run(40_000.0)
    if not any(one.done and one.at > 34_000.0 for one in fleet.results):
        fleet.violations.append("live: nothing came into force after all was mended")
    fleet.finish()
    return fleet
