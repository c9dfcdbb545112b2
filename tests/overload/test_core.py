"""One member: what it hears, what it makes of it, what it says; liars, stops, silence, strange words."""

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
from martentide.overload.core import ALONE, APART, DEPTH, PURSE, REDIAL, REPEAT_SHARE, WOKEN, Overload
from martentide.overload.level import PRESSED, Phase
from martentide.overload.messages import END, MOST_SERVERS, Gift, Load, Pressed, read_load, write_load

WORTHS = {"status": 1.0, "sign": 6.0}
SERVERS = [f"s{at}" for at in range(4)]
LIVING = {f"m{at}": at + 1 for at in range(6)}


def member(name: str = "m0") -> Overload:
    return Overload(name, LIVING[name], WORTHS, 2_000.0, 600.0, seed=1)


def said(hold: float, lasting: float = 1.0, servers: list[str] = SERVERS, **more: object) -> Load:
    pressed = [Pressed(name, round(1_000 * hold), 1) for name in servers]
    return Load(round(1_000 * lasting), 0, 0, 0, {"status": 900, "sign": 100}, pressed, **more)  # type: ignore[arg-type]


class Play:
    """Looks every 250 ms, with words of others."""

    def __init__(self, part: Overload) -> None:
        self.part, self.now, self.counter = part, 0.0, 0
        self.admission: Admission | None = None
        self.tokens = 0.0
        self.words: list[Load] = []

    def look(self, words: dict[str, Load] | None = None, purse: float = PURSE, after: float = 250.0) -> None:
        self.now += after
        self.counter += 1
        heard = [(name, LIVING[name], self.counter, load, 50.0) for name, load in (words or {}).items()]
        outcome = self.part.look(self.now, SERVERS, heard, LIVING, purse)
        for event in outcome.events:
            match event:
                case Admission():
                    self.admission = event
                case RepeatBudget(tokens):
                    self.tokens += tokens
        if outcome.word is not None:
            self.words.append(read_load(outcome.word))

    def see(self, hold: float) -> None:
        """An own report of each server."""
        for name in SERVERS:
            report = Report(None, hold, None)
            self.part.observe(self.now, AttemptEnded(1, 0, name, Ending.DELIVERED, True, False, 5.0, report))


def test_pressure_that_others_see_sheds_here() -> None:
    play = Play(member())
    for _ in range(8):
        play.look({"m1": said(0.6), "m2": said(0.5)})
    assert play.admission is not None and play.part.level.phase is Phase.SHEDDING
    cut = dict(play.admission.shares)
    assert cut["status"] < 0.9 and cut["sign"] == 1.0
    assert play.admission.floor == 1.0  # a late redial of the least class is worth less
    assert 0 < play.admission.return_from <= play.admission.return_to <= 2_000.0


def test_alone_it_sheds_by_what_it_sees_itself_and_says_so() -> None:
    play = Play(member())
    for _ in range(12):
        play.see(0.7)
        play.look()
    assert play.admission is not None and play.admission.admitted < 0.7
    assert play.part.status(play.now)["alone"] is True
    play.look({"m1": said(0.0)})
    assert play.part.status(play.now)["alone"] is False
    for _ in range(int(ALONE / 250.0) + 2):
        play.look()
    assert play.part.status(play.now)["alone"] is True


def test_the_first_answer_of_a_line_is_not_taken_for_one_without() -> None:
    part = member()
    for at, (server, delay) in enumerate([("s0", 20.0), ("s1", 900.0), ("s1", 950.0)]):
        part.observe(100.0 * at, Stands(at, 0, server, delay))
    assert part.own["s0"][0] == 0.0 and part.own["s1"][0] > 0.8
    for at in range(10):  # one that takes so long in calm, as is known after some answers
        part.observe(1_000.0 + at, Stands(10 + at, 0, "s1", 900.0))
    assert part.own["s1"][0] == 0.0


@pytest.mark.parametrize("lie", [0.0, 1.0])
def test_a_liar_moves_what_is_held_of_a_server_by_little(lie: float) -> None:
    truth = 0.4
    play = Play(member())
    for _ in range(20):
        honest = {f"m{at}": said(truth) for at in (1, 2, 3)}
        late = [Pressed(name, round(1_000 * lie), 0) for name in SERVERS]
        liar = Load(round(1_000 * (1.0 - lie)), 0, 0, 0, {}, late)
        play.look({**honest, "m4": liar})
    held = [hold for hold, _ in play.part.known.values()]
    assert held and all(abs(hold - truth) <= APART + 1e-9 for hold in held)


def test_a_claim_that_nobody_bears_out_is_no_others_word() -> None:
    """What is told of servers is what this member saw, so that no lie comes back as a second witness."""
    play = Play(member())
    for _ in range(20):
        play.look({"m4": said(1.0)})
    assert play.words and all(not word.pressed for word in play.words)


def test_without_pressure_nothing_is_shed_and_little_is_said() -> None:
    play = Play(member())
    for _ in range(80):
        play.see(0.0)
        play.look({"m1": said(0.0)})
    assert play.admission is not None and set(dict(play.admission.shares).values()) == {1.0}
    assert play.admission.floor == 0.0 and len(play.words) <= 4


def test_one_that_stood_still_wakes_with_an_empty_purse_and_its_old_share() -> None:
    play = Play(member())
    for _ in range(12):
        play.see(0.9)
        play.look()
    for at in range(40):
        play.part.observe(play.now, SetUpOffered(at, "status", None, f"{at}", 3_000.0, -1, False, False))
    share = play.part.level.lasting
    play.look(after=WOKEN + 1_000.0)
    assert play.tokens <= PURSE and play.part.escrow.tokens == 0.0
    assert play.part.level.lasting == pytest.approx(share, abs=0.2)


def test_first_tries_earn_and_redials_do_not() -> None:
    play = Play(member())
    for at in range(10):
        play.part.observe(0.0, SetUpOffered(at, "status", None, f"{at}", 3_000.0, -1, False, False))
    earned = play.part.escrow.tokens
    for at in range(10, 60):
        play.part.observe(0.0, SetUpOffered(at, "status", None, f"{at % 10}", 3_000.0, -1, False, False))
    assert 0 < play.part.escrow.tokens == earned <= DEPTH
    later = SetUpOffered(61, "status", None, "1", 3_000.0, -1, False, False)
    play.part.observe(REDIAL + 1.0, later)  # the number is dialled for something else by then
    assert play.part.escrow.tokens > earned


def test_tokens_go_to_those_that_are_short_and_are_taken_once() -> None:
    rich, poor = Play(member("m0")), Play(member("m1"))
    rich.part.escrow.tokens = DEPTH
    for _ in range(4):
        rich.look({"m1": said(0.0, wants=2)})
    given = rich.part.escrow.gifts(rich.now)
    assert given and given[0].to == "m1" and given[0].life == LIVING["m1"]
    word = said(0.0, gifts=given)
    for _ in range(3):
        poor.look({"m0": word}, purse=0.0)
    assert poor.tokens == given[0].tokens


def test_words_of_many_servers_with_long_names_fit_a_facet() -> None:
    names = [f"s-{at:08x}.a.rather.long.name" for at in range(60)]
    part = member()
    now = 0.0
    words = []
    for _ in range(40):
        now += 250.0
        for at, name in enumerate(names):
            report = Report(None, 0.5, None)
            part.observe(now, AttemptEnded(at, 0, name, Ending.DELIVERED, True, False, 5.0, report))
        outcome = part.look(now, names, [], LIVING, 0.0)
        words += [outcome.word] if outcome.word is not None else []
    assert words and all(len(word) <= 480 for word in words)
    assert any(read_load(word).pressed for word in words)


def test_a_wait_that_is_over_tells_of_the_time_it_began() -> None:
    part = member()
    part.observe(0.0, Stands(1, 0, "s0", 10.0))
    part.observe(2_000.0, Stands(2, 0, "s0", 500.0))
    share, at = part.own["s0"]
    assert share > PRESSED and at == pytest.approx(2_000.0 - (500.0 - 10.0 * 1.3))


@pytest.mark.parametrize(
    "word",
    [
        Load(1_001, 0, 0, 0, {}, []),
        Load(-1, 0, 0, 0, {}, []),
        Load(0, -1, 0, 0, {}, []),
        Load(0, 0, 0, 0, {}, [Pressed("s", 1_001, 0)]),
        Load(0, 0, 0, 0, {}, [Pressed("s", 0, -1)]),
        Load(0, 0, 0, 0, {}, [Pressed(f"s{at}", 0, 0) for at in range(MOST_SERVERS + 1)]),
        Load(0, 0, 0, 0, {f"c{at}": 1 for at in range(99)}, []),
        Load(0, 0, 0, 0, {"c": -1}, []),
        Load(0, 0, 0, 0, {}, [], wants=-1),
        Load(0, 0, 0, 0, {}, [], gifts=[Gift("m", 1, 0, 1, 0)]),
        Load(0, 0, 0, 0, {}, [], gifts=[Gift("m", 1, 1, -5, 0)]),
    ],
)
def test_words_that_no_member_could_mean_are_turned_down(word: Load) -> None:
    with pytest.raises(msgspec.ValidationError):
        read_load(write_load(word))


def test_a_word_of_a_later_version_is_read_as_far_as_it_is_known() -> None:
    later = msgspec.msgpack.encode([500, 1, 2, 0, {"status": 5}, [["s0", 1, 2, "more"]], 0, [], [], "new"])
    assert read_load(later).pressed == [Pressed("s0", 1, 2)]
    with pytest.raises(msgspec.DecodeError):
        read_load(b"\xc1")


@pytest.mark.parametrize("seed", range(40))
def test_tokens_handed_to_the_decisions_are_never_more_than_first_tries_earned(seed: int) -> None:
    """Four members; words lost, doubled, late, reordered; stops; members that begin anew."""
    dice = random.Random(seed)
    parts = [Overload(name, life, WORTHS, 2_000.0, 600.0, seed) for name, life in list(LIVING.items())[:4]]
    lives = dict(list(LIVING.items())[:4])
    said: list[tuple[float, str, int, int, Load]] = []
    now, tries, handed, counter = 0.0, 0, 0.0, 0
    for _ in range(400):
        now += dice.choice([0.0, 50.0, 250.0, 250.0, 3_000.0])
        at = dice.randrange(4)
        part = parts[at]
        if dice.random() < 0.02:
            lives[part.name] += 100
            part = parts[at] = Overload(part.name, lives[part.name], WORTHS, 2_000.0, 600.0, seed)
        for _ in range(dice.choice([0, 0, 5, 30])):
            number = f"{dice.getrandbits(40)}"
            part.observe(now, SetUpOffered(1, "status", None, number, 3_000.0, -1, False, False))
            tries += 1
        heard = [
            (owner, life, number, load, now - when)
            for when, owner, life, number, load in dice.sample(said, min(len(said), dice.randrange(4)))
            if owner != part.name and now - when < END
        ]
        outcome = part.look(now, SERVERS, heard, lives, float(dice.choice([0, 0, PURSE])))
        handed += sum(event.tokens for event in outcome.events if isinstance(event, RepeatBudget))
        if outcome.word is not None:
            counter += 1
            said = [*said[-20:], (now, part.name, lives[part.name], counter, read_load(outcome.word))]
        assert handed <= REPEAT_SHARE * tries + 1e-9
    assert handed > 0
