"""Overload control of one member: messages, faulty members, suspension, isolation, malformed messages."""

from __future__ import annotations

import random

import msgspec
import pytest

from martentide.interface import (
    Admission,
    AttemptEnded,
    Ending,
    RepeatBudget,
    Report,
    SetUpOffered,
    Stands,
)
from martentide.overload.core import (
    ALLOTMENT,
    ISOLATION_TIMEOUT,
    MAX_BALANCE,
    MAX_CLAIM_DEVIATION,
    MAX_POLL_GAP,
    REDIAL_WINDOW,
    RETRY_RATIO,
    Overload,
)
from martentide.overload.level import PRESSURE_THRESHOLD, Phase
from martentide.overload.messages import (
    LOAD_EXPIRY,
    MAX_SERVERS,
    Load,
    ServerPressure,
    Transfer,
    read_load,
    write_load,
)

WORTHS = {"status": 1.0, "sign": 6.0}
SERVERS = [f"s{at}" for at in range(4)]
LIVING = {f"m{at}": at + 1 for at in range(6)}


def member(name: str = "m0") -> Overload:
    """Return the overload control of one of the LIVING members."""
    return Overload(name, LIVING[name], WORTHS, 2_000.0, 600.0, seed=1)


def load_message(hold: float, baseline: float = 1.0, servers: list[str] = SERVERS, **more: object) -> Load:
    """Return another member's message in which each server requests ``hold`` to be held back."""
    pressed = [ServerPressure(name, round(1_000 * hold), 1) for name in servers]
    return Load(round(1_000 * baseline), 0, 0, 0, {"status": 900, "sign": 100}, pressed, **more)  # type: ignore[arg-type]


class Driver:
    """Polls one member every 250 ms with messages of others."""

    def __init__(self, overload: Overload) -> None:
        self.overload, self.now, self.counter = overload, 0.0, 0
        self.admission: Admission | None = None
        self.tokens = 0.0
        self.messages: list[Load] = []

    def poll(
        self, messages: dict[str, Load] | None = None, allotment: float = ALLOTMENT, after: float = 250.0
    ) -> None:
        """Advance the clock by ``after`` ms and poll with these messages by sender."""
        self.now += after
        self.counter += 1
        received = [(name, LIVING[name], self.counter, load, 50.0) for name, load in (messages or {}).items()]
        outcome = self.overload.poll(self.now, SERVERS, received, LIVING, allotment)
        for event in outcome.events:
            match event:
                case Admission():
                    self.admission = event
                case RepeatBudget(tokens):
                    self.tokens += tokens
        if outcome.message is not None:
            self.messages.append(read_load(outcome.message))

    def report_hold_back(self, hold: float) -> None:
        """Give the member a report of each server that asks for a share to be held back."""
        for name in SERVERS:
            report = Report(None, hold, None)
            self.overload.observe(
                self.now, AttemptEnded(1, 0, name, Ending.DELIVERED, True, False, 5.0, report)
            )


def test_pressure_reported_by_others_causes_shedding() -> None:
    driver = Driver(member())
    for _ in range(8):
        driver.poll({"m1": load_message(0.6), "m2": load_message(0.5)})
    assert driver.admission is not None and driver.overload.level.phase is Phase.SHEDDING
    shares = dict(driver.admission.shares)
    assert shares["status"] < 0.9 and shares["sign"] == 1.0
    assert driver.admission.floor == 1.0  # a late redial of the lowest class is worth less
    assert 0 < driver.admission.return_from <= driver.admission.return_to <= 2_000.0


def test_isolated_member_sheds_by_own_observations_and_reports_isolation() -> None:
    driver = Driver(member())
    for _ in range(12):
        driver.report_hold_back(0.7)
        driver.poll()
    assert driver.admission is not None and driver.admission.admitted < 0.7
    assert driver.overload.status(driver.now)["alone"] is True
    driver.poll({"m1": load_message(0.0)})
    assert driver.overload.status(driver.now)["alone"] is False
    for _ in range(int(ISOLATION_TIMEOUT / 250.0) + 2):
        driver.poll()
    assert driver.overload.status(driver.now)["alone"] is True


def test_slow_first_answers_count_as_a_wait_until_the_lag_proves_usual() -> None:
    overload = member()
    for at, (server, delay) in enumerate([("s0", 20.0), ("s1", 900.0), ("s1", 950.0)]):
        overload.observe(100.0 * at, Stands(at, 0, server, delay))
    assert overload.own_claims["s0"][0] == 0.0 and overload.own_claims["s1"][0] > 0.8
    for at in range(10):  # after some answers, this lag is known to be the one without load
        overload.observe(1_000.0 + at, Stands(10 + at, 0, "s1", 900.0))
    assert overload.own_claims["s1"][0] == 0.0


@pytest.mark.parametrize("false_claim", [0.0, 1.0])
def test_false_claim_shifts_hold_back_by_a_bounded_amount(false_claim: float) -> None:
    true_share = 0.4
    driver = Driver(member())
    for _ in range(20):
        others = {f"m{at}": load_message(true_share) for at in (1, 2, 3)}
        newest_claims = [ServerPressure(name, round(1_000 * false_claim), 0) for name in SERVERS]
        faulty = Load(round(1_000 * (1.0 - false_claim)), 0, 0, 0, {}, newest_claims)
        driver.poll({**others, "m4": faulty})
    held = [hold for hold, _ in driver.overload.hold_backs.values()]
    assert held and all(abs(hold - true_share) <= MAX_CLAIM_DEVIATION + 1e-9 for hold in held)


def test_received_claims_are_not_republished() -> None:
    """Only own observations are published, so that a false claim does not return as a second one."""
    driver = Driver(member())
    for _ in range(20):
        driver.poll({"m4": load_message(1.0)})
    assert driver.messages and all(not message.pressed for message in driver.messages)


def test_without_pressure_nothing_is_shed_and_few_messages_are_sent() -> None:
    driver = Driver(member())
    for _ in range(80):
        driver.report_hold_back(0.0)
        driver.poll({"m1": load_message(0.0)})
    assert driver.admission is not None and set(dict(driver.admission.shares).values()) == {1.0}
    assert driver.admission.floor == 0.0 and len(driver.messages) <= 4


def test_suspended_process_resumes_without_tokens_and_with_its_last_share() -> None:
    driver = Driver(member())
    for _ in range(12):
        driver.report_hold_back(0.9)
        driver.poll()
    for at in range(40):
        driver.overload.observe(
            driver.now, SetUpOffered(at, "status", None, f"{at}", 3_000.0, -1, False, False)
        )
    share = driver.overload.level.baseline
    driver.poll(after=MAX_POLL_GAP + 1_000.0)
    assert driver.tokens <= ALLOTMENT and driver.overload.escrow.tokens == 0.0
    assert driver.overload.level.baseline == pytest.approx(share, abs=0.2)


def test_first_tries_earn_tokens_and_redials_do_not() -> None:
    driver = Driver(member())
    for at in range(10):
        driver.overload.observe(0.0, SetUpOffered(at, "status", None, f"{at}", 3_000.0, -1, False, False))
    earned = driver.overload.escrow.tokens
    for at in range(10, 60):
        driver.overload.observe(
            0.0, SetUpOffered(at, "status", None, f"{at % 10}", 3_000.0, -1, False, False)
        )
    assert 0 < driver.overload.escrow.tokens == earned <= MAX_BALANCE
    later = SetUpOffered(61, "status", None, "1", 3_000.0, -1, False, False)
    driver.overload.observe(REDIAL_WINDOW + 1.0, later)  # by then called for another reason: a new call
    assert driver.overload.escrow.tokens > earned


def test_tokens_are_transferred_to_members_in_need_and_credited_once() -> None:
    sender, recipient = Driver(member("m0")), Driver(member("m1"))
    sender.overload.escrow.tokens = MAX_BALANCE
    for _ in range(4):
        sender.poll({"m1": load_message(0.0, tokens_wanted=2)})
    transfers_sent = sender.overload.escrow.pending_transfers(sender.now)
    assert transfers_sent and transfers_sent[0].to == "m1" and transfers_sent[0].process_id == LIVING["m1"]
    message = load_message(0.0, transfers=transfers_sent)
    for _ in range(3):
        recipient.poll({"m0": message}, allotment=0.0)
    assert recipient.tokens == transfers_sent[0].tokens


def test_message_about_many_servers_with_long_names_fits_a_state_entry() -> None:
    names = [f"s-{at:08x}.a.rather.long.name" for at in range(60)]
    overload = member()
    now = 0.0
    messages = []
    for _ in range(40):
        now += 250.0
        for at, name in enumerate(names):
            report = Report(None, 0.5, None)
            overload.observe(now, AttemptEnded(at, 0, name, Ending.DELIVERED, True, False, 5.0, report))
        outcome = overload.poll(now, names, [], LIVING, 0.0)
        messages += [outcome.message] if outcome.message is not None else []
    assert messages and all(len(message) <= 480 for message in messages)
    assert any(read_load(message).pressed for message in messages)


def test_claim_from_an_answer_is_dated_to_the_start_of_the_wait() -> None:
    overload = member()
    overload.observe(0.0, Stands(1, 0, "s0", 10.0))
    overload.observe(2_000.0, Stands(2, 0, "s0", 500.0))
    share, at = overload.own_claims["s0"]
    assert share > PRESSURE_THRESHOLD and at == pytest.approx(2_000.0 - (500.0 - 10.0 * 1.3))


@pytest.mark.parametrize(
    "message",
    [
        Load(1_001, 0, 0, 0, {}, []),
        Load(-1, 0, 0, 0, {}, []),
        Load(0, -1, 0, 0, {}, []),
        Load(0, 0, 0, 0, {}, [ServerPressure("s", 1_001, 0)]),
        Load(0, 0, 0, 0, {}, [ServerPressure("s", 0, -1)]),
        Load(0, 0, 0, 0, {}, [ServerPressure(f"s{at}", 0, 0) for at in range(MAX_SERVERS + 1)]),
        Load(0, 0, 0, 0, {f"c{at}": 1 for at in range(99)}, []),
        Load(0, 0, 0, 0, {"c": -1}, []),
        Load(0, 0, 0, 0, {}, [], tokens_wanted=-1),
        Load(0, 0, 0, 0, {}, [], transfers=[Transfer("m", 1, 0, 1, 0)]),
        Load(0, 0, 0, 0, {}, [], transfers=[Transfer("m", 1, 1, -5, 0)]),
    ],
)
def test_out_of_range_messages_are_rejected(message: Load) -> None:
    with pytest.raises(msgspec.ValidationError):
        read_load(write_load(message))


def test_message_of_a_later_version_is_decoded_as_far_as_known() -> None:
    later = msgspec.msgpack.encode([500, 1, 2, 0, {"status": 5}, [["s0", 1, 2, "more"]], 0, [], [], "new"])
    assert read_load(later).pressed == [ServerPressure("s0", 1, 2)]
    with pytest.raises(msgspec.DecodeError):
        read_load(b"\xc1")


@pytest.mark.parametrize("seed", range(40))
def test_decisions_never_get_more_tokens_than_first_tries_earned(seed: int) -> None:
    """Four members with lost, duplicated, late and reordered messages, suspensions and restarts."""
    rng = random.Random(seed)
    members = [
        Overload(name, process_id, WORTHS, 2_000.0, 600.0, seed)
        for name, process_id in list(LIVING.items())[:4]
    ]
    process_ids = dict(list(LIVING.items())[:4])
    history: list[tuple[float, str, int, int, Load]] = []
    now, tries, granted, counter = 0.0, 0, 0.0, 0
    for _ in range(400):
        now += rng.choice([0.0, 50.0, 250.0, 250.0, 3_000.0])
        at = rng.randrange(4)
        overload = members[at]
        if rng.random() < 0.02:
            process_ids[overload.name] += 100
            overload = members[at] = Overload(
                overload.name, process_ids[overload.name], WORTHS, 2_000.0, 600.0, seed
            )
        for _ in range(rng.choice([0, 0, 5, 30])):
            number = f"{rng.getrandbits(40)}"
            overload.observe(now, SetUpOffered(1, "status", None, number, 3_000.0, -1, False, False))
            tries += 1
        received = [
            (owner, process_id, number, load, now - when)
            for when, owner, process_id, number, load in rng.sample(
                history, min(len(history), rng.randrange(4))
            )
            if owner != overload.name and now - when < LOAD_EXPIRY
        ]
        outcome = overload.poll(now, SERVERS, received, process_ids, float(rng.choice([0, 0, ALLOTMENT])))
        granted += sum(event.tokens for event in outcome.events if isinstance(event, RepeatBudget))
        if outcome.message is not None:
            counter += 1
            history = [
                *history[-20:],
                (now, overload.name, process_ids[overload.name], counter, read_load(outcome.message)),
            ]
        assert granted <= RETRY_RATIO * tries + 1e-9
    assert granted > 0
