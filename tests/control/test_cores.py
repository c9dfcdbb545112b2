"""State machines of control node and client in isolation: leases, limits, updates, resync, bad input."""

from __future__ import annotations

import pytest

from martentide.control import client, node
from martentide.control.client import Attached, ControlClient, FromNode, Isolated, ProxyInfo, SendToNode
from martentide.control.messages import (
    Heartbeat,
    Join,
    LeaseGranted,
    LeaseRefused,
    Leave,
    MemberState,
    SnapshotRequest,
    StateEntry,
    Summary,
    Update,
    decode_control,
    encode_control,
)
from martentide.control.node import (
    GAP_TIMEOUT_MS,
    ControlNode,
    FromPeer,
    FromProxy,
    PeerUp,
    SendToPeer,
    SendToProxy,
)
from martentide.control.placement import NodeInfo, preference
from martentide.control.service_table import ServiceTable, digest
from martentide.control.terms import ControlTerms
from martentide.control.token_bucket import TokenBucket
from martentide.fleet.wire import DatagramError

TERMS = ControlTerms()
NODES = (NodeInfo("n0", "r0"), NodeInfo("n1", "r0"), NodeInfo("n2", "r1"))


def join(name: str, epoch: int = 1, region: str = "r0", **held: int) -> Join:
    """Return a proxy's request for a lease."""
    return Join(name, 7, epoch, region, "z0", "s0", 100, 0, held or {"s0": 0})


class SimulatedNode:
    """A control node whose clock the test advances."""

    def __init__(self, terms: ControlTerms = TERMS) -> None:
        self.now = 0.0
        self.core = ControlNode("n0", NODES, terms, self.now)

    def receive(self, message: Join | Heartbeat | Leave) -> list[node.Action]:
        """Deliver a proxy's message; return the node's actions."""
        return self.core.handle(self.now, FromProxy(message, message.name))

    def advance(self, span: float) -> list[node.Action]:
        """Advance the clock by ``span`` ms; return the node's actions."""
        actions: list[node.Action] = []
        end = self.now + span
        while self.now < end:
            self.now += TERMS.flush
            actions += self.core.handle(self.now, node.Due())
        return actions


def updates(actions: list[node.Action], name: str) -> list[Update]:
    """Return the updates that were sent to a proxy."""
    return [
        one.message
        for one in actions
        if isinstance(one, SendToProxy) and one.address == name and isinstance(one.message, Update)
    ]


# ---- placement ------------------------------------------------------------------------------------------


def test_own_region_is_preferred_and_a_lost_node_moves_only_its_own_proxies() -> None:
    nodes = [NodeInfo(f"n{at}", f"r{at % 2}") for at in range(6)]
    for at in range(50):
        order = preference(f"p{at}", "r1", nodes)
        assert {int(name[1:]) % 2 for name in order[:3]} == {1}
        remaining = preference(f"p{at}", "r1", [one for one in nodes if one.name != order[0]])
        assert remaining == order[1:]


def test_proxies_are_distributed_by_the_weights_of_nodes() -> None:
    nodes = [NodeInfo("light", "r0", 1.0), NodeInfo("heavy", "r0", 3.0)]
    first = [preference(f"p{at}", "r0", nodes)[0] for at in range(2_000)]
    assert 0.7 < first.count("heavy") / len(first) < 0.8


# ---- leases ---------------------------------------------------------------------------------------------


def test_a_lease_is_granted_renewed_and_ends() -> None:
    control_node = SimulatedNode()
    (granted,) = control_node.receive(join("p0"))
    assert isinstance(granted, SendToProxy) and granted.message == LeaseGranted("n0", 1, [])
    control_node.advance(TERMS.lease - 200)
    control_node.receive(Heartbeat("p0", 1, 1, 100, 0, 0, []))
    control_node.advance(TERMS.lease - 200)
    assert "p0" in control_node.core.leases
    control_node.advance(800)
    assert (
        not control_node.core.leases
        and not control_node.core.by_service
        and not control_node.core.service_table.members
    )
    (answer,) = control_node.receive(Heartbeat("p0", 1, 1, 100, 0, 0, []))
    assert isinstance(answer, SendToProxy) and answer.message == LeaseRefused("n0", 1, False, 0, True)


def test_joins_are_rate_limited_with_a_retry_time() -> None:
    control_node = SimulatedNode()
    answers = [control_node.receive(join(f"p{at}"))[0] for at in range(int(TERMS.joins_burst) + 5)]
    messages = [answer.message for answer in answers if isinstance(answer, SendToProxy)]
    granted = [message for message in messages if isinstance(message, LeaseGranted)]
    rate_limited = [message for message in messages if isinstance(message, LeaseRefused)]
    assert len(granted) == TERMS.joins_burst and all(not m.full and m.retry_after > 0 for m in rate_limited)


def test_a_node_over_its_limit_refuses_joins_and_sheds_leases() -> None:
    terms = ControlTerms(min_bound=4, joins_burst=100.0)
    control_node = SimulatedNode(terms)
    for name in ("n1", "n2"):
        control_node.core.handle(0.0, PeerUp(name))
    control_node.core.handle(0.0, FromPeer(Summary("n1", "r0", 10, 1, 1, [])))
    granted = 0
    for at in range(30):
        (answer,) = control_node.receive(join(f"p{at}"))
        assert isinstance(answer, SendToProxy)
        granted += isinstance(answer.message, LeaseGranted)
    assert granted == control_node.core.lease_limit(0.0) == len(control_node.core.leases) < 30
    control_node.core.handle(
        0.0, FromPeer(Summary("n1", "r0", 0, 1, 2, []))
    )  # the other node has restarted without leases
    shed = [
        a
        for a in control_node.advance(200)
        if isinstance(a, SendToProxy) and isinstance(a.message, LeaseRefused)
    ]
    assert shed and all(a.message.full for a in shed if isinstance(a.message, LeaseRefused))


def test_a_delayed_old_join_is_ignored() -> None:
    control_node = SimulatedNode()
    control_node.receive(join("p0", epoch=2))
    assert control_node.receive(join("p0", epoch=1)) == []
    control_node.receive(Leave("p0", 1))
    assert control_node.core.leases["p0"].epoch == 2


# ---- state ----------------------------------------------------------------------------------------------


def test_a_subscriber_receives_only_its_services_and_their_changes() -> None:
    control_node = SimulatedNode()
    control_node.receive(join("p0", s0=0, s1=0))
    control_node.receive(Join("p1", 8, 1, "r0", "z1", "s9", 100, 0, {"s9": 0}))
    received = updates(control_node.advance(1_000), "p0")
    assert {entry.service for update in received for entry in update.entries} == {"s0"}
    answer = control_node.receive(Heartbeat("p0", 1, 1, 100, 400, received[-1].number, []))
    later = updates(answer + control_node.advance(600), "p0")
    assert [entry.pressure for update in later for entry in update.entries] == [400]


def test_small_pressure_changes_are_not_published() -> None:
    control_node = SimulatedNode()
    control_node.receive(join("p0"))
    control_node.advance(1_000)
    answer = control_node.receive(Heartbeat("p0", 1, 1, 100, TERMS.pressure_step - 1, 1, []))
    assert not any(update.entries for update in updates(answer + control_node.advance(600), "p0"))


def test_a_lost_update_is_sent_again() -> None:
    control_node = SimulatedNode()
    control_node.receive(join("p0"))
    first = updates(control_node.advance(1_000), "p0")
    assert any(update.entries for update in first)
    again = updates(
        control_node.receive(Heartbeat("p0", 1, 1, 100, 0, first[-1].number, [first[0].number])), "p0"
    )
    assert any(update.entries for update in again)


def test_the_queue_of_an_unresponsive_subscriber_is_bounded() -> None:
    control_node = SimulatedNode()
    control_node.receive(join("p0"))
    for at in range(200):
        control_node.receive(Join("p1", 8, at + 1, "r0", "z1", "s0", 100, at * 5 % 1_000, {"s0": 0}))
        control_node.advance(200)
        # Alive, but its heartbeats acknowledge nothing.
        control_node.core.leases["p0"].last_received_at = control_node.now
    subscriber = control_node.core.leases["p0"]
    assert len(subscriber.unacknowledged) <= TERMS.window and len(subscriber.pending) <= 3


def test_a_matching_digest_avoids_the_resync() -> None:
    control_node = SimulatedNode()
    control_node.receive(join("p0"))
    keys = control_node.core.service_table.keys("s0", "r0")
    held = digest(control_node.core.service_table.entry(key, "r0").entry for key in keys)
    control_node.advance(1_000)
    (granted,) = control_node.receive(Join("p1", 8, 1, "r0", "z1", "s9", 100, 0, {"s0": held}))
    assert isinstance(granted, SendToProxy) and granted.message == LeaseGranted("n0", 1, ["s0"])
    assert not any(update.entries for update in updates(control_node.advance(1_000), "p1"))


def test_a_member_with_leases_at_two_nodes_counts_once_by_the_later_lease() -> None:
    table = ServiceTable("n0")
    key = ("s0", "r0", "z0")
    table.set_member(key, MemberState("p0", 1, 100, 700))
    table.set_entry("n1", StateEntry(*key, 1, 100, 0, [MemberState("p0", 2, 100, 0)]))
    entry = table.entry(key, "r0").entry
    assert (entry.up, entry.capacity, entry.pressure) == (1, 100, 0)
    assert table.drop_source("n1") == [key]
    assert table.entry(key, "r0").entry.pressure == 700


def test_other_regions_receive_sums_and_a_missed_summary_causes_a_snapshot_request() -> None:
    control_node = SimulatedNode()
    for name in ("n1", "n2"):
        control_node.core.handle(0.0, PeerUp(name))
    control_node.receive(join("p0"))
    sent = [action for action in control_node.advance(200) if isinstance(action, SendToPeer)]
    by_peer = {one.to: one.message for one in sent if isinstance(one.message, Summary)}
    assert by_peer["n1"].entries[0].members and by_peer["n1"].entries[0].zone == "z0"
    assert by_peer["n2"].entries[0] == StateEntry("s0", "r0", "", 1, 100, 0)
    first = Summary("n2", "r1", 3, 1, 1, [])
    late = Summary("n2", "r1", 3, 1, 2, [StateEntry("s0", "r1", "", 3, 300, 0)])
    early = Summary("n2", "r1", 3, 1, 3, [StateEntry("s0", "r1", "", 4, 400, 0)])
    for summary in (first, early, late):  # reordered: both are applied, in their order
        assert control_node.core.handle(control_node.now, FromPeer(summary)) == []
    assert control_node.core.service_table.entry(("s0", "r1", ""), "r0").entry.up == 4
    for number in (5, 6):
        control_node.now += GAP_TIMEOUT_MS
        asked = control_node.core.handle(
            control_node.now + number, FromPeer(Summary("n2", "r1", 3, 1, number, []))
        )
    assert asked == [SendToPeer("n2", SnapshotRequest("n0"))]


def test_entries_of_a_silent_region_stay_while_those_of_a_silent_node_are_dropped() -> None:
    control_node = SimulatedNode()
    for name, region in (("n1", "r0"), ("n2", "r1")):
        control_node.core.handle(0.0, PeerUp(name))
        key = ("s0", region, "z5" if region == "r0" else "")
        members = [MemberState("p9", 1, 100, 0)] if region == "r0" else []
        entry = StateEntry(*key, 1, 100, 0, members)
        control_node.core.handle(0.0, FromPeer(Summary(name, region, 1, 1, 1, [entry])))
    control_node.advance(TERMS.peer_timeout + 400)
    keys = control_node.core.service_table.keys("s0", "r0")
    assert keys == [("s0", "r1", "")] and control_node.core.region_ages["r1"] > TERMS.peer_timeout


# ---- client ---------------------------------------------------------------------------------------------


class SimulatedProxy:
    """A client whose clock the test advances."""

    def __init__(self) -> None:
        info = ProxyInfo("p0", "r0", "z0", "s0", frozenset({"s0", "s1"}))
        self.core = ControlClient(info, NODES, TERMS, 1, 0.0)
        self.now = 0.0

    def due(self) -> list[client.Action]:
        """Advance the clock to the next due time; return the client's actions."""
        self.now = self.core.due
        return self.core.handle(self.now, client.Due())

    def receive(self, message: LeaseGranted | LeaseRefused | Update) -> list[client.Action]:
        """Deliver a node's message; return the client's actions."""
        return self.core.handle(self.now, FromNode(message))

    def attach(self) -> None:
        """Obtain a lease."""
        self.due()
        assert self.receive(LeaseGranted(self.core.node, self.core.epoch, [])) == [Attached(self.core.node)]

    def update(self, number: int, behind: int = 0, **pressure: int) -> list[client.Action]:
        """Deliver an update with the pressure of each service."""
        entries = [StateEntry(service, "r0", "z0", 1, 100, one) for service, one in pressure.items()]
        return self.receive(
            Update(self.core.node, self.core.epoch, self.core.beat, number, behind, {"r0": 0}, entries)
        )


def test_state_is_usable_until_it_expires_and_confirmed_by_a_complete_update() -> None:
    proxy = SimulatedProxy()
    proxy.attach()
    proxy.update(1, s0=300)
    proxy.now += TERMS.entry_ttl - 1
    assert [entry.pressure for entry in proxy.core.state("s0", proxy.now)] == [300]
    proxy.update(2)
    proxy.now += TERMS.entry_ttl - 1
    assert proxy.core.state("s0", proxy.now)
    proxy.now += 1
    assert not proxy.core.state("s0", proxy.now)


def test_a_missing_update_is_reported_and_confirms_nothing() -> None:
    proxy = SimulatedProxy()
    proxy.attach()
    proxy.update(1, s0=300)
    as_of = dict(proxy.core.confirmed_as_of)
    proxy.now += 500
    proxy.update(3)
    assert proxy.core.confirmed_as_of == as_of
    (beat,) = proxy.due()
    assert isinstance(beat, SendToNode) and isinstance(beat.message, Heartbeat)
    assert (beat.message.received, beat.message.missing) == (3, [2])
    (beat,) = proxy.due()  # reported again, as the first heartbeat may have been lost
    assert (
        isinstance(beat, SendToNode) and isinstance(beat.message, Heartbeat) and beat.message.missing == [2]
    )
    proxy.update(4, s1=200)  # the node has received the heartbeat and sent the lost entries again
    assert proxy.core.confirmed_as_of != as_of and not proxy.core.missing


def test_entries_unknown_to_a_new_node_are_dropped_with_its_first_complete_update() -> None:
    proxy = SimulatedProxy()
    proxy.attach()
    proxy.update(1, s0=300, s1=100)
    proxy.now += TERMS.node_timeout + 1
    proxy.core.due = proxy.now
    proxy.due()
    proxy.due()  # joins the next node
    proxy.receive(LeaseGranted(proxy.core.node, proxy.core.epoch, ["s1"]))
    assert len(proxy.core.entries) == 2
    proxy.update(1)
    assert {key[0] for key in proxy.core.entries} == {"s1"}


def test_without_any_node_isolation_is_reported_once_and_joins_slow_down() -> None:
    proxy = SimulatedProxy()
    actions = [action for _ in range(20) for action in proxy.due()]
    assert actions.count(Isolated()) == 1
    asked = [action.node for action in actions if isinstance(action, SendToNode)]
    assert set(asked) == {"n0", "n1", "n2"}
    assert proxy.core.due - proxy.now >= TERMS.join_retry * 0.5


def test_a_former_node_that_still_sends_updates_gets_a_leave() -> None:
    proxy = SimulatedProxy()
    proxy.attach()
    former, epoch = proxy.core.node, proxy.core.epoch
    proxy.receive(LeaseRefused(former, epoch, True, 0))
    proxy.due()
    (action,) = proxy.receive(Update(former, epoch, 0, 9, 0, {}, []))
    assert action == SendToNode(former, Leave("p0", epoch))


def test_a_proxy_returns_to_its_region_once_that_is_reachable() -> None:
    proxy = SimulatedProxy()
    while proxy.core.node != "n2":
        proxy.due()
    proxy.receive(LeaseGranted("n2", proxy.core.epoch, []))
    proxy.receive(Update("n2", proxy.core.epoch, 0, 1, 0, {"r1": 0}, []))
    assert proxy.core.home_return_at is None
    proxy.receive(Update("n2", proxy.core.epoch, 0, 2, 0, {"r1": 0, "r0": 100}, []))
    assert proxy.core.home_return_at is not None
    proxy.now = proxy.core.home_return_at
    proxy.core.due, proxy.core.last_received_at = proxy.now, proxy.now
    leave, asked = proxy.due()
    assert isinstance(leave, SendToNode) and leave.node == "n2"
    assert isinstance(asked, SendToNode) and asked.node in proxy.core.home_nodes


# ---- messages and bounds --------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "body",
    [
        b"", b"\x00", b"\x93\x01\x02\x03", b"\xff" * 40,
        encode_control(Join("", 1, 1, "r", "z", "s", 1, 0, {})),
        encode_control(Join("p", 1, 1, "r", "z", "s", 1, 1_001, {})),
        encode_control(Heartbeat("p", 1, 1, -1, 0, 0, [])),
        encode_control(Heartbeat("p", 1, 1, 1, 0, 0, list(range(65)))),
        encode_control(Update("n", 1, 0, 1, 0, {}, [StateEntry("s", "r", "z", -1, 0, 0)])),
    ],
)  # fmt: skip
def test_malformed_messages_are_rejected(body: bytes) -> None:
    with pytest.raises(DatagramError):
        decode_control(body)


def test_messages_survive_a_round_trip() -> None:
    entry = StateEntry("s", "r", "z", 1, 100, 50, [MemberState("p", 1, 100, 50)])
    for message in (join("p"), LeaseGranted("n", 1, ["s"]), Update("n", 1, 0, 2, 0, {"r": 5}, [entry])):
        assert decode_control(encode_control(message)) == message


def test_a_token_bucket_grants_at_most_rate_plus_burst_in_any_second() -> None:
    bucket = TokenBucket(800.0, 700.0, 0.0)
    spent = [at for at in range(0, 5_000, 10) if bucket.take(float(at), 100.0)]
    assert max(sum(at < other <= at + 1_000 for other in spent) for at in spent) <= 15
