"""The fleet never spends more retry tokens than were earned.

A search over all interleavings finds no counterexample, and finds one if a guarding line is removed.
"""

from __future__ import annotations

import inspect
from collections.abc import Iterator
from typing import Any, NamedTuple

import pytest

from martentide.overload import escrow
from martentide.overload.messages import MAX_TRANSFERS, Transfer

STEP_MS = 1_300.0  # time per step of the search: transfers expire after two steps and are settled after four
MEMBERS = ("a", "b", "c")
MAX_PENDING = 2  # messages of one owner that may still arrive, late or repeatedly


class LoadMessage(NamedTuple):
    """A load message as sent."""

    owner: str
    process_id: int
    at: int
    transfers: tuple[Any, ...]
    received: tuple[tuple[str, int, int], ...]


class Fleet(NamedTuple):
    """One state of the search."""

    accounts: tuple[Any, ...]
    messages: tuple[LoadMessage, ...]
    now: int = 0
    earned: int = 0
    spent: int = 0
    crashes: int = 0

    def key(self) -> tuple[Any, ...]:
        """Return what distinguishes two states of the search."""
        accounts = tuple(
            (
                one.process_id, one.tokens, one.last_number,
                tuple((number, sent.transfer, sent.sent_at) for number, sent in sorted(one.outgoing.items())),
                tuple(sorted(one.last_received.items())),
            )
            for one in self.accounts
        )  # fmt: skip
        return (accounts, self.messages, self.now, self.earned, self.spent, self.crashes)


def copy_account(module: Any, account: Any) -> Any:
    """Return a copy of an account whose changes don't affect the original."""
    one = account
    return module.Escrow(
        one.name,
        one.process_id,
        one.max_balance,
        one.tokens,
        one.last_number,
        dict(one.outgoing),
        dict(one.last_received),
    )


def steps(module: Any, fleet: Fleet) -> Iterator[tuple[str, Fleet]]:  # noqa: C901
    """Yield every possible next step with the resulting state."""
    now = fleet.now * STEP_MS

    def with_account(at: int, account: Any, **more: Any) -> Fleet:
        accounts = (*fleet.accounts[:at], account, *fleet.accounts[at + 1 :])
        return fleet._replace(accounts=accounts, **more)

    if fleet.now < 5:
        yield "time", fleet._replace(now=fleet.now + 1)
    for at, name in enumerate(MEMBERS):
        held = fleet.accounts[at]
        received = tuple(
            (sender, process_id, number)
            for sender, (process_id, number) in sorted(held.last_received.items())
        )
        if held.tokens >= 1:
            one = copy_account(module, held)
            if one.withdraw(1):
                yield f"{name} spends", with_account(at, one, spent=fleet.spent + 1)
            for other, recipient in enumerate(MEMBERS):
                if other != at and not held.outgoing:
                    one = copy_account(module, held)
                    if one.send(now, recipient, fleet.accounts[other].process_id, 1):
                        published = LoadMessage(
                            name, one.process_id, fleet.now, tuple(one.pending_transfers(now)), received
                        )
                        yield (
                            f"{name} sends to {recipient}",
                            with_account(at, one, messages=with_message(fleet.messages, published)),
                        )
        if held.last_received or any(
            message.transfers and message.owner != name for message in fleet.messages
        ):
            published = LoadMessage(
                name, held.process_id, fleet.now, tuple(held.pending_transfers(now)), received
            )
            if published not in fleet.messages:
                yield f"{name} publishes", fleet._replace(messages=with_message(fleet.messages, published))
        for message in fleet.messages:
            if message.owner != name:
                one, age = copy_account(module, held), (fleet.now - message.at) * STEP_MS
                for transfer in message.transfers:
                    one.receive(message.owner, message.process_id, transfer, age)
                last = {
                    process_id: number for sender, process_id, number in message.received if sender == name
                }
                one.settle(now, message.owner, message.process_id, age, last.get(one.process_id, 0))
                yield f"{name} receives {message.owner} of {message.at}", with_account(at, one)
        if not fleet.crashes and held.last_received:
            yield (
                f"{name} restarts",
                with_account(at, module.Escrow(name, held.process_id + 10, held.max_balance), crashes=1),
            )


def with_message(messages: tuple[LoadMessage, ...], new: LoadMessage) -> tuple[LoadMessage, ...]:
    """Add a message; of each owner only the last MAX_PENDING are kept."""
    mine = [message for message in messages if message.owner == new.owner][-(MAX_PENDING - 1) :]
    rest = [message for message in messages if message.owner != new.owner]
    return tuple(sorted([*rest, *mine, new], key=lambda message: (message.owner, message.at, repr(message))))


def search(module: Any, depth: int, max_states: int) -> tuple[int, list[str] | None]:
    """Return the number of visited states and the steps to the first that can overspend, or None."""
    initial = Fleet(tuple(module.Escrow(name, at + 1, 3.0) for at, name in enumerate(MEMBERS)), (), earned=1)
    initial.accounts[0].earn(1.0)
    seen = {initial.key()}
    frontier: list[tuple[Fleet, list[str]]] = [(initial, [])]
    for _ in range(depth):
        following = []
        for fleet, path in frontier:
            for step_name, after in steps(module, fleet):
                if after.spent + sum(one.tokens for one in after.accounts) > after.earned:
                    return len(seen), [*path, step_name]
                key = after.key()
                if key not in seen and len(seen) < max_states:
                    seen.add(key)
                    following.append((after, [*path, step_name]))
        frontier = following
    return len(seen), None


def mutate(old: str, new: str) -> Any:
    """Return the escrow module with one line changed."""
    text = inspect.getsource(escrow)
    assert text.count(old) == 1, old
    module = type(escrow)("mutated_escrow")
    module.__dict__["__name__"] = "martentide.overload.escrow"
    exec(compile(text.replace(old, new), "mutated", "exec"), module.__dict__)
    return module


def test_no_interleaving_spends_more_than_was_earned() -> None:
    states, path = search(escrow, depth=8, max_states=30_000)
    assert path is None and states > 5_000, (states, path)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("        self.tokens -= tokens\n        self.last_number", "        self.last_number"),
        ("if sender_process_id == last_process_id and transfer.number <= last:", "if False:"),
        ("or age + transfer.age >= TRANSFER_EXPIRY", "or False"),
        ("elif now - age - one.sent_at >= SETTLE_AFTER:", "elif now - one.sent_at >= SETTLE_AFTER:"),
        ("elif now - age - one.sent_at >= SETTLE_AFTER:", "else:"),
        ("            if last >= number:\n", "            if False:\n"),
        ("            or transfer.process_id != self.process_id\n", ""),
    ],
    ids=["not-debited", "credited-twice", "credited-late", "settled-by-old-report", "settled-at-once",
         "settled-though-credited", "credited-by-the-next-life"],
)  # fmt: skip
def test_removing_any_guard_allows_overspending(old: str, new: str) -> None:
    states, path = search(mutate(old, new), depth=11, max_states=60_000)
    assert path is not None, states


def test_full_account_loses_earnings_but_no_transfer() -> None:
    one = escrow.Escrow("a", 1, max_balance=2.0)
    one.earn(5.0)
    assert one.tokens == 2.0
    assert one.receive("b", 7, Transfer("a", 1, 1, 3, 0), 0.0) == 3 and one.tokens == 5.0


def test_transfers_and_senders_are_bounded_and_expire() -> None:
    one = escrow.Escrow("a", 1, max_balance=100.0, tokens=100.0)
    assert sum(one.send(0.0, f"m{at}", 1, 1) for at in range(50)) == MAX_TRANSFERS
    one.expire(5.0 * escrow.SETTLE_AFTER, set())
    assert not one.outgoing
    for at in range(2 * escrow.MAX_SENDERS):
        one.receive(f"m{at}", 1, Transfer("a", 1, 1, 1, 0), 0.0)
    assert len(one.last_received) <= escrow.MAX_SENDERS
    one.expire(0.0, {"m0"})
    assert set(one.last_received) == {"m0"}
