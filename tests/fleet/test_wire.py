"""Datagrams: what is written is read unchanged, and anything else is rejected with a reason."""

from __future__ import annotations

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.extras import ExtrasError, read_extras
from martentide.fleet.wire import (
    Datagram,
    DatagramError,
    DatagramFault,
    Frame,
    HeldVersions,
    Kind,
    MemberRecord,
    StateEntry,
)
from martentide.settings import settings_from
from martentide_lab.fleet.scenario import ScenarioError, parse_scenario
from martentide_lab.proxy import site_settings

FRAME = Frame("f")
RECORD = MemberRecord("a", 1, 7, 1, 0, "z", "127.0.0.1", 7_000)
ENTRY = StateEntry("a", 1, 7, 3, 1, 1, 20, 5_000, b"body")
DATAGRAM = Datagram(
    Kind.GOSSIP, RECORD, 0, 5, members=[RECORD], entries=[ENTRY], held=[HeldVersions("a", 1, 7, 1, 0, {3: 1})]
)


def seal(body: object, head: bytes = FRAME.head) -> bytes:
    """Frame a body with a valid check."""
    data = head + msgspec.msgpack.encode(body)
    return data + FRAME._check(data)


def changed(**fields: object) -> bytes:
    """Return a sealed datagram that differs from DATAGRAM in these fields."""
    return seal(msgspec.structs.replace(DATAGRAM, **fields))


VALID = FRAME.write(DATAGRAM)


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", DatagramFault.STRANGE),
        (b"GET / HTTP/1.1\r\n\r\n", DatagramFault.STRANGE),
        (VALID[:14], DatagramFault.STRANGE),
        (b"mt\x02" + VALID[3:], DatagramFault.OTHER_VERSION),
        (Frame("g").write(DATAGRAM), DatagramFault.OTHER_FLEET),
        (Frame("f", "secret").write(DATAGRAM), DatagramFault.DAMAGED),
        (VALID[:-1], DatagramFault.DAMAGED),
        (VALID[:20] + bytes((VALID[20] ^ 1,)) + VALID[21:], DatagramFault.DAMAGED),
        (VALID + bytes(1_400), DatagramFault.OVERSIZED),
        (seal([1]), DatagramFault.MALFORMED),
        (seal({"kind": 1}), DatagramFault.MALFORMED),
        (changed(echo_delay=-1), DatagramFault.MALFORMED),
        (changed(sender=msgspec.structs.replace(RECORD, port=0)), DatagramFault.MALFORMED),
        (changed(sender=msgspec.structs.replace(RECORD, name="")), DatagramFault.MALFORMED),
        (changed(members=[msgspec.structs.replace(RECORD, state=9)]), DatagramFault.MALFORMED),
        (changed(members=[msgspec.structs.replace(RECORD, name="x" * 65)]), DatagramFault.MALFORMED),
        (changed(entries=[msgspec.structs.replace(ENTRY, age=-5)]), DatagramFault.MALFORMED),
        (changed(entries=[msgspec.structs.replace(ENTRY, max_age=10**9)]), DatagramFault.MALFORMED),
    ],
)
def test_an_invalid_datagram_is_rejected_with_its_reason(data: bytes, why: DatagramFault) -> None:
    with pytest.raises(DatagramError) as caught:
        FRAME.read(data)
    assert caught.value.why is why


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=1_500))
def test_arbitrary_bytes_raise_no_other_error(noise: bytes) -> None:
    sealed = FRAME.head + noise
    for data in (noise, sealed, sealed + FRAME._check(sealed)):
        with contextlib.suppress(DatagramError):
            FRAME.read(data)


def test_a_written_datagram_is_read_unchanged_also_with_a_shared_secret() -> None:
    assert FRAME.read(VALID) == DATAGRAM
    assert Frame("f", "s").read(Frame("f", "s").write(DATAGRAM)) == DATAGRAM


PEERS_ALLOWED = settings_from(site_settings(1, peers=True))
PEERS_FORBIDDEN = settings_from(site_settings(1))


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('fleet { listen "127.0.0.1:1" }', "x.kdl: fleet: expected a node name, found none"),
        ('fleet { name "f" }', "x.kdl: fleet: expected a node listen, found none"),
        ('fleet { name "f"; listen "host:1" }', "fleet/listen: expected an IPv4 address, found 'host'"),
        ('fleet { name "f"; listen "0.0.0.0:1" }', "expected an address that others can reach (advertise)"),
        ('fleet { name "f"; listen "127.0.0.1:1"; seeds "a" }', "seeds: expected HOST:PORT, found 'a'"),
        ('fleet { name "f"; listen "127.0.0.1:1"; sedes "a:1" }', "unknown node; did you mean seeds?"),
        (
            'fleet { name "f"; listen "127.0.0.1:1"; overload "on" }',
            "overload: expected #true or #false, found 'on'",
        ),
        ('fleet { name ""; listen "127.0.0.1:1" }', "name: expected 1 to 64 bytes, found ''"),
        (
            'fleet { name "f"; listen "127.0.0.1:1"; times period-ms=80 }',
            "expected probe-timeout-ms below period-ms",
        ),
        ('fleet { name "f"; listen "127.0.0.1:1"; limits bytes-s=3 }', "bytes-s: expected `float` >= 1000"),
    ],
)
def test_an_invalid_fleet_node_is_rejected_with_a_one_line_error(text: str, message: str) -> None:
    with pytest.raises(ExtrasError) as caught:
        read_extras(text, "x.kdl", PEERS_ALLOWED)
    assert message in str(caught.value) and "\n" not in str(caught.value)


def test_a_fleet_node_is_rejected_where_the_settings_forbid_peers() -> None:
    text = 'fleet { name "f"; listen "127.0.0.1:1"; seeds "127.0.0.1:2"; secret "s" }'
    fleet = read_extras(text, "x.kdl", PEERS_ALLOWED).fleet
    assert fleet is not None and fleet.seeds == (("127.0.0.1", 2),)
    with pytest.raises(ExtrasError, match=r"fleet: the settings forbid messages between proxies"):
        read_extras(text, "x.kdl", PEERS_FORBIDDEN)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('at 1 "kil" "n0"', "expected one of kill"),
        ('at 1 "kill" "n9"', "no such member or server: n9"),
        ('at 1 "split" "n0"', "split takes NAMES NAMES"),
        ('at "x" "heal"', "expected seconds and a verb"),
        ("fleet proxies=-1", "expected a number"),
        ('at 1 "server" "s0" "ill"', "expected one of hung"),
    ],
)
def test_an_invalid_script_is_rejected_and_a_valid_one_reads_back_unchanged(text: str, message: str) -> None:
    with pytest.raises(ScenarioError, match=message):
        parse_scenario(text, "x")
    valid = parse_scenario('fleet proxies=4 seed=3\nat 2.5 "split" "n0,n1" "n2"\nat 1 "loss" 0.1', "x")
    assert parse_scenario(valid.text(), "x") == valid and [step.verb for step in valid.steps] == [
        "loss",
        "split",
    ]
