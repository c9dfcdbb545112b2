"""Server lists merge to the same result, in any order and with duplicates."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.agreement.lists import MAX_CHANGES, MAX_GONE, ServerList, ServerRecord
from martentide.agreement.messages import MAX_STATE_ENTRY_BYTES, MemberStatus, decode_status, encode_status


def record(name: str, start: int = 0, state: int = 0, port: int = 1) -> ServerRecord:
    """Return a record of a server whose current process started at ``start``."""
    return ServerRecord(name, start, state, 1, "sofia", 1.0, "127.0.0.1", port)


RECORDS = st.lists(
    st.builds(record, st.sampled_from("abc"), st.integers(0, 2), st.integers(0, 2)), max_size=10
)


def list_of(records: list[ServerRecord]) -> ServerList:
    """Return a server list into which the records were merged."""
    server_list = ServerList()
    for one in records:
        server_list.merge(one)
    return server_list


@settings(max_examples=300, deadline=None)
@given(RECORDS, st.randoms())
def test_the_same_records_in_any_order_give_the_same_list(
    records: list[ServerRecord],
    rng: st.Random,  # type: ignore[name-defined]
) -> None:
    shuffled = [*records, *records]
    rng.shuffle(shuffled)
    assert list_of(records).servers == list_of(shuffled).servers
    assert list_of(records).digest() == list_of(shuffled).digest()


@settings(max_examples=200, deadline=None)
@given(RECORDS, RECORDS)
def test_two_members_that_exchange_their_lists_converge(
    one: list[ServerRecord], other: list[ServerRecord]
) -> None:
    a, b = list_of(one), list_of(other)
    for _ in range(2):
        for record_ in a.all_records():
            b.merge(record_)
        for record_ in b.all_records():
            a.merge(record_)
    assert a.servers == b.servers


def test_a_state_moves_backwards_only_with_a_new_start() -> None:
    server_list = list_of([record("a", 5, 1)])
    assert server_list.merge(record("a", 5, 0)) is None and server_list.servers["a"].state == 1
    assert server_list.merge(record("a", 4, 2)) is None
    assert server_list.merge(record("a", 5, 2)) is not None and "a" not in server_list.servers
    assert server_list.merge(record("a", 5, 0)) is None
    assert server_list.merge(record("a", 6, 0)) is not None and server_list.servers["a"].start == 6


def test_a_full_list_removes_only_servers_of_the_same_discovery_service() -> None:
    server_list = list_of([record("mine"), record("others")])
    new = server_list.merge_full_list([record("new")], ["mine"])
    assert {(one.name, one.state) for one in new} == {("new", 0), ("mine", 2)}
    assert set(server_list.servers) == {"others", "new"}


def test_invalid_records_are_ignored_and_lists_are_bounded() -> None:
    server_list = ServerList()
    assert server_list.merge(record("", 0)) is None and server_list.merge(record("a", 0, 7)) is None
    for at in range(MAX_GONE + 50):
        server_list.merge(record(f"s{at}", 0, 2))
    assert len(server_list.gone) == MAX_GONE and len(server_list.changes) == MAX_CHANGES
    status = MemberStatus(1, 0, 2, 3, "x" * 80, server_list.digest(), server_list.recent_changes())
    body = encode_status(status)
    assert len(body) <= MAX_STATE_ENTRY_BYTES and 0 < len(decode_status(body).changes) <= MAX_CHANGES
    raw = msgspec.msgpack.decode(body)
    assert decode_status(msgspec.msgpack.encode([*raw, "of a later version"])).version == 1
