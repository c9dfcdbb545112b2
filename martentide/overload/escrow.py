"""One budget for further attempts, held in parts that sum to no more than was earned (O'Neil's escrow method,
1986, with parts that move as in Barbará-Millá and Garcia-Molina, "The demarcation protocol", 1994).

Each first try earns its proxy a share of a token; a further attempt spends one. Tokens move by gifts to one
process of one member: the giver is debited before the gift is told, the taker credits it once, and only while
it is younger than ``GIFT_END`` by ages that are never too low. So whatever is lost, doubled, late, split or
stopped, what is spent in the fleet is no more than what was earned. A gift goes back to its giver only when
the taker itself has said, later than the gift's end, that it never took it; one to a dead member does not.
Invariant, searched exhaustively in the tests: spent + held + given and not yet settled <= earned.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from martentide.overload.messages import MOST_GIFTS, Gift

GIFT_END = 2_500.0  # ms from which a gift is taken by nobody
SETTLE_AFTER = 4_000.0  # ms after which word that it was not taken counts: the end, and clocks' drift
MOST_GIVERS = 256


@dataclass(slots=True)
class Given:
    gift: Gift
    at: float


@dataclass
class Escrow:
    """The account of one process. Whole tokens are given and spent; parts of one are earned."""

    name: str
    life: int
    depth: float  # tokens kept at most; what is earned beyond is lost
    tokens: float = 0.0
    number: int = 0
    given: dict[int, Given] = field(default_factory=dict)
    taken: dict[str, tuple[int, int]] = field(default_factory=dict)  # by giver: its life, the last number

    def earn(self, tokens: float) -> None:
        self.tokens = min(self.depth, self.tokens + max(0.0, tokens))

    def draw(self, most: float) -> int:
        """Take out whole tokens, to be spent by the decisions; they do not come back."""
        tokens = int(max(0.0, min(most, self.tokens)))
        self.tokens -= tokens
        return tokens

    def give(self, now: float, to: str, life: int, tokens: int) -> bool:
        """Set tokens aside for another; whether that was possible."""
        if tokens <= 0 or tokens > self.tokens or len(self.given) >= MOST_GIFTS or to == self.name:
            return False
        self.tokens -= tokens
        self.number += 1
        self.given[self.number] = Given(Gift(to, life, self.number, tokens, 0), now)
        return True

    def gifts(self, now: float) -> list[Gift]:
        """What is to be told: gifts that may still be taken, with their age rounded up."""
        return [
            Gift(one.gift.to, one.gift.life, one.gift.number, one.gift.tokens, int(now - one.at) + 1)
            for one in self.given.values()
            if now - one.at < GIFT_END
        ]

    def take(self, giver: str, giver_life: int, gift: Gift, age: float) -> int:
        """Tokens credited from one gift that was told ``age`` ms ago at most."""
        if gift.to != self.name or gift.life != self.life or age + gift.ago >= GIFT_END:
            return 0
        last_life, last = self.taken.get(giver, (0, 0))
        if giver_life == last_life and gift.number <= last:
            return 0  # doubled or overtaken by a later one: that one's giver may have it back
        if giver not in self.taken and len(self.taken) >= MOST_GIVERS:
            return 0
        self.taken[giver] = (giver_life, gift.number)
        self.tokens += gift.tokens  # beyond the depth, else a gift would be lost to the full
        return gift.tokens

    def settle(self, now: float, taker: str, taker_life: int, age: float, last: int) -> None:
        """Word of a taker, ``age`` ms old at most: the last gift that it took from this process."""
        for number, one in list(self.given.items()):
            gift = one.gift
            if gift.to != taker or gift.life != taker_life:
                continue
            if last >= number:
                del self.given[number]  # taken, or passed over for a later one: spent, for all that is known
            elif now - age - one.at >= SETTLE_AFTER:
                del self.given[number]
                self.tokens += gift.tokens

    def forget(self, now: float, living: set[str]) -> None:
        """Gifts whose taker says nothing more are gone; so is the book on givers that are gone."""
        for number, one in list(self.given.items()):
            if now - one.at >= 4.0 * SETTLE_AFTER:
                del self.given[number]
        if len(self.taken) >= MOST_GIVERS:
            for giver in [giver for giver in self.taken if giver not in living]:
                del self.taken[giver]
