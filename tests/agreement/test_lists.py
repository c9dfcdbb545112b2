"""Lists of servers are joined: in whatever order and however often word of them comes."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.agreement.lists import MOST_GONE, MOST_TOLD, Book, Record
from martentide.agreement.messages import MOST_FACET, Told, read_told, write_told


def record(name: str, start: int = 0, state: int = 0, port: int = 1) -> Record:
    return Record(name, start, state, 1, "sofia", 1.0, "127.0.0.1", port)


RECORDS = st.lists(
    st.builds(record, st.sampled_from("abc"), st.integers(0, 2), st.integers(0, 2)), max_size=10
)


def book_of(records: list[Record]) -> Book:
    book = Book()
    for one in records:
        book.hear(one)
    return book


@settings(max_examples=300, deadline=None)
@given(RECORDS, st.randoms())
def test_the_same_records_in_any_order_make_the_same_list(records: list[Record], dice: st.Random) -> None:  # type: ignore[name-defined]
    mixed = [*records, *records]
    dice.shuffle(mixed)
    assert book_of(records).servers == book_of(mixed).servers
    assert book_of(records).digest() == book_of(mixed).digest()


@settings(max_examples=200, deadline=None)
@given(RECORDS, RECORDS)
def test_two_that_exchange_their_lists_hold_the_same(one: list[Record], other: list[Record]) -> None:
    a, b = book_of(one), book_of(other)
    for _ in range(2):
        for record_ in a.all():
            b.hear(record_)
        for record_ in b.all():
            a.hear(record_)
    assert a.servers == b.servers


def test_a_state_never_goes_back_but_by_a_new_start() -> None:
    book = book_of([record("a", 5, 1)])
    assert book.hear(record("a", 5, 0)) is None and book.servers["a"].state == 1
    assert book.hear(record("a", 4, 2)) is None
    assert book.hear(record("a", 5, 2)) is not None and "a" not in book.servers
    assert book.hear(record("a", 5, 0)) is None
    assert book.hear(record("a", 6, 0)) is not None and book.servers["a"].start == 6


def test_a_whole_list_takes_away_only_what_the_same_board_told_of() -> None:
    book = book_of([record("mine"), record("others")])
    new = book.whole([record("new")], ["mine"])
    assert {(one.name, one.state) for one in new} == {("new", 0), ("mine", 2)}
    assert set(book.servers) == {"others", "new"}


def test_what_is_no_record_is_passed_over_and_books_are_bounded() -> None:
    book = Book()
    assert book.hear(record("", 0)) is None and book.hear(record("a", 0, 7)) is None
    for at in range(MOST_GONE + 50):
        book.hear(record(f"s{at}", 0, 2))
    assert len(book.gone) == MOST_GONE and len(book.changes) == MOST_TOLD
    told = Told(1, 0, 2, 3, "x" * 80, book.digest(), book.told())
    body = write_told(told)
    assert len(body) <= MOST_FACET and 0 < len(read_told(body).changes) <= MOST_TOLD
    raw = msgspec.msgpack.decode(body)
    assert read_told(msgspec.msgpack.encode([*raw, "of a later version"])).version == 1
