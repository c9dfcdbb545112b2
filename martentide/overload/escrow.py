"""A retry budget shared by the fleet, with one account per process; the sum never exceeds what was earned.

Follows O'Neil's escrow method (1986) with movable shares as in Barbará-Millá and Garcia-Molina, "The
demarcation protocol" (1994). Each first try earns its proxy a fraction of a token; a retry spends one token.
Tokens move by transfers to one process of one member: the sender is debited before the transfer is published;
the recipient credits it once, and only while it is younger than ``TRANSFER_EXPIRY``, by ages that are never
underestimated. Messages may be lost, duplicated or late, and processes may stop or be partitioned: the fleet
never spends more than was earned. A transfer returns to its sender only after the recipient has reported,
later than the expiry, that it did not credit it; a transfer to a dead member does not return.
Invariant, searched exhaustively in the tests: spent + held + sent and not yet settled <= earned.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from martentide.overload.messages import MAX_TRANSFERS, Transfer

TRANSFER_EXPIRY = 2_500.0  # ms after which no recipient credits a transfer
SETTLE_AFTER = 4_000.0  # ms from which a report of no credit counts: the expiry plus clock drift
MAX_SENDERS = 256  # senders whose last transfer is remembered


@dataclass(slots=True)
class OutgoingTransfer:
    """A transfer that is not settled yet, sent at ``sent_at`` (ms)."""

    transfer: Transfer
    sent_at: float


@dataclass
class Escrow:
    """The account of one process. Tokens are earned in fractions, but transferred and spent whole."""

    name: str
    process_id: int
    max_balance: float  # tokens; earnings beyond it are lost
    tokens: float = 0.0
    last_number: int = 0
    outgoing: dict[int, OutgoingTransfer] = field(default_factory=dict)
    last_received: dict[str, tuple[int, int]] = field(default_factory=dict)  # by sender: process id, number

    def earn(self, tokens: float) -> None:
        """Credit earned tokens, up to ``max_balance``."""
        self.tokens = min(self.max_balance, self.tokens + max(0.0, tokens))

    def withdraw(self, most: float) -> int:
        """Debit up to ``most`` whole tokens for the decision module; return their number. None comes back."""
        tokens = int(max(0.0, min(most, self.tokens)))
        self.tokens -= tokens
        return tokens

    def send(self, now: float, recipient: str, process_id: int, tokens: int) -> bool:
        """Debit a transfer to another member; return whether that was possible."""
        if (
            tokens <= 0
            or tokens > self.tokens
            or len(self.outgoing) >= MAX_TRANSFERS
            or recipient == self.name
        ):
            return False
        self.tokens -= tokens
        self.last_number += 1
        self.outgoing[self.last_number] = OutgoingTransfer(
            Transfer(recipient, process_id, self.last_number, tokens, 0), now
        )
        return True

    def pending_transfers(self, now: float) -> list[Transfer]:
        """Return the transfers to publish: those not expired, with their ages in ms rounded up."""
        return [
            Transfer(
                one.transfer.to,
                one.transfer.process_id,
                one.transfer.number,
                one.transfer.tokens,
                int(now - one.sent_at) + 1,
            )
            for one in self.outgoing.values()
            if now - one.sent_at < TRANSFER_EXPIRY
        ]

    def receive(self, sender: str, sender_process_id: int, transfer: Transfer, age: float) -> int:
        """Credit a transfer published at most ``age`` ms ago, if it is valid; return the tokens credited."""
        if (
            transfer.to != self.name
            or transfer.process_id != self.process_id
            or age + transfer.age >= TRANSFER_EXPIRY
        ):
            return 0
        last_process_id, last = self.last_received.get(sender, (0, 0))
        if sender_process_id == last_process_id and transfer.number <= last:
            return 0  # a duplicate, or older than the last one credited: its sender may have settled it
        if sender not in self.last_received and len(self.last_received) >= MAX_SENDERS:
            return 0
        self.last_received[sender] = (sender_process_id, transfer.number)
        self.tokens += transfer.tokens  # may exceed max_balance: a full account would lose the transfer
        return transfer.tokens

    def settle(self, now: float, recipient: str, recipient_process_id: int, age: float, last: int) -> None:
        """Settle transfers by a recipient's report, at most ``age`` ms old, of the last one it credited."""
        for number, one in list(self.outgoing.items()):
            transfer = one.transfer
            if transfer.to != recipient or transfer.process_id != recipient_process_id:
                continue
            if last >= number:
                del self.outgoing[number]  # credited, or skipped for a later one: counts as spent
            elif now - age - one.sent_at >= SETTLE_AFTER:
                del self.outgoing[number]
                self.tokens += transfer.tokens

    def expire(self, now: float, living: set[str]) -> None:
        """Drop transfers to silent recipients, and last-received records of members that are gone."""
        for number, one in list(self.outgoing.items()):
            if now - one.sent_at >= 4.0 * SETTLE_AFTER:
                del self.outgoing[number]
        if len(self.last_received) >= MAX_SENDERS:
            for sender in [sender for sender in self.last_received if sender not in living]:
                del self.last_received[sender]
