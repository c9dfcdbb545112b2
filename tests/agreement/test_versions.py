"""Agreement on versions in simulated time: random faults and proposals, single hard cases, and injected
faults that the invariants must catch."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from martentide.agreement.core import Agreement, LeaseTimings, Propose, ReplaceVoter, VoterState
from martentide.agreement.fragments import MAX_FRAGMENT_BYTES, MAX_FRAGMENTS, Fragmenter, Reassembler
from martentide.agreement.messages import BeginJointPhase, EndJointPhase, LeaseGrant, LeaseRequest
from martentide.agreement.raft import initial_state
from martentide.agreement.store import decode_voter_state, encode_voter_state, recover
from martentide.learned.recovery import StateFile
from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.scenario import Step
from martentide_lab.fleet.simulated_agreement import SimulatedAgreementFleet, play_random, rule_set


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_faults_and_proposals_leave_no_contradiction(seed: int) -> None:
    fleet = play_random(seed)
    assert not fleet.violations
    assert sum(one.done for one in fleet.results) >= 3


class GrantsBeforeCommit(Agreement):
    """Fault: a leader grants leases before its newest entry is committed."""

    def _append_command(self, command: BeginJointPhase | EndJointPhase) -> None:
        super()._append_command(command)
        self.deciding_index = 0


class IgnoresLeases(Agreement):
    """Fault: a joint phase advances without regard to the leases that were granted."""

    def _advance_joint_phase(self) -> None:
        self.leases.clear()
        super()._advance_joint_phase()


class CountsLeaseFromArrival(Agreement):
    """Fault: a lease counts from the arrival of its grant, and for twice its length."""

    def _on_lease_grant(self, sender: str, grant: LeaseGrant) -> None:
        super()._on_lease_grant(sender, grant)
        if grant.lease > 0.0:
            self.lease_expiry = max(self.lease_expiry, self.now + 2.0 * grant.lease)


class ActsOnJointVersionAlone(Agreement):
    """Fault: in a joint phase a member acts on the new version instead of the meet of both."""

    def rules(self) -> Any:
        """The rules that the member acts on."""
        joint = self.known_state.joint
        if self.acting_on is not None and self.acting_on[1] and joint is not None:
            return self._decoded(joint)  # instead of the meet of both versions
        return super().rules()


class NewLeaderDoesNotWait(Agreement):
    """Fault: a new leader does not wait for leases that an earlier leader may have granted."""

    def _advance_joint_phase(self) -> None:
        if self.leading_since is not None:
            self.leading_since = -1e12
        super()._advance_joint_phase()


FAULTS = (
    GrantsBeforeCommit,
    IgnoresLeases,
    CountsLeaseFromArrival,
    ActsOnJointVersionAlone,
    NewLeaderDoesNotWait,
)


@pytest.mark.parametrize("fault", FAULTS)
def test_an_injected_fault_is_found(fault: type[Agreement]) -> None:
    for seed in range(1, 60):
        broken = play_random(seed, core_type=fault).violations
        if any(one.startswith("no-contradiction") for one in broken):
            return
    pytest.fail("not found")


# ---- hard cases -----------------------------------------------------------------------------------------


def running_fleet(members: int = 5, voters: int = 3) -> SimulatedAgreementFleet:
    """Return a simulated fleet that has run for 3 s."""
    fleet = SimulatedAgreementFleet(members, 7, voters, base=Link(delay=2.0, jitter=4.0))
    for name in fleet.members:
        fleet.start(name)
    fleet.run(3_000.0)
    return fleet


def run_step(fleet: SimulatedAgreementFleet, verb: str, *arguments: object, lasts: float = 0.0) -> None:
    """Execute one step of a scenario and run the fleet for ``lasts`` ms."""
    fleet.execute_step(Step(0.0, verb, arguments))
    fleet.run(fleet.now + lasts)


def propose_and_wait(
    fleet: SimulatedAgreementFleet, name: str, rules: bytes, base: int = -1, lasts: float = 4_000.0
) -> Any:
    """Whether a proposal was accepted and after how many ms; None: no verdict within ``lasts`` ms."""
    request, since = fleet.propose(name, rules, base), fleet.now
    fleet.run(fleet.now + lasts)
    found = [one for one in fleet.results if one.request == request]
    return (found[0].done, found[0].at - since) if found else None


def leader(fleet: SimulatedAgreementFleet) -> str:
    """Return the name of the leader."""
    return next(
        name for name, one in fleet.agreements.items()
        if one.raft is not None and not fleet.members[name].stopped
        and one.raft.has_leader_lease(fleet.members[name].local_time(fleet.now))
    )  # fmt: skip


def test_a_contradicting_version_is_in_force_at_all_members_soon() -> None:
    fleet = running_fleet()
    for attempts in (3, 2, 1):
        done, took = propose_and_wait(fleet, "n4", rule_set(attempts))
        assert done and took < 1_500.0
    assert {one.known_state.in_force.number for one in fleet.agreements.values()} == {3}
    assert not fleet.finish()


def test_of_two_concurrent_proposals_one_comes_into_force() -> None:
    fleet = running_fleet()
    fleet.propose("n3", rule_set(2), base=0)
    fleet.propose("n4", rule_set(3), base=0)
    fleet.run(6_000.0)
    assert sorted(one.done for one in fleet.results) == [False, True]
    assert propose_and_wait(fleet, "n3", rule_set(2), base=0)[0] is False  # its base is no longer in force


def test_a_member_that_rejects_a_version_ends_it_for_all() -> None:
    fleet = running_fleet()
    fleet.rejections["n4"] = "classes: expected voice, found none"
    assert propose_and_wait(fleet, "n0", rule_set(2))[0] is False
    assert "turned down by n4" in fleet.agreements["n0"].state.history[-1][3]
    fleet.rejections.clear()
    assert propose_and_wait(fleet, "n0", rule_set(2))[0] is True


def test_a_partitioned_member_delays_a_version_no_longer_than_its_lease() -> None:
    fleet = running_fleet()
    assert propose_and_wait(fleet, "n0", rule_set(2))[0]
    run_step(fleet, "split", "n4", "n0,n1,n2,n3")
    done, took = propose_and_wait(fleet, "n0", rule_set(1))
    assert done and took < LeaseTimings().bound
    assert "n4" not in fleet.acting_rules()  # it is on safe rules
    run_step(fleet, "heal", lasts=2_000.0)
    assert fleet.agreements["n4"].known_state.in_force.number == 2 and "n4" in fleet.acting_rules()


@pytest.mark.parametrize("after", [20.0, 60.0, 120.0, 200.0, 300.0, 400.0])
def test_a_version_comes_into_force_although_the_leader_is_killed_in_any_phase(after: float) -> None:
    fleet = running_fleet()
    assert propose_and_wait(fleet, "n4", rule_set(3))[0]
    fleet.propose("n4", rule_set(1))
    fleet.run(fleet.now + after)
    run_step(fleet, "kill", leader(fleet), lasts=8_000.0)
    assert fleet.results[-1].done and not fleet.finish()
    assert len({one.known_state.in_force.number for one in fleet.agreements.values()}) == 1


def test_without_a_majority_nothing_new_comes_into_force_and_all_fall_back_to_safe_rules() -> None:
    fleet = running_fleet()
    assert propose_and_wait(fleet, "n4", rule_set(3))[0]
    run_step(fleet, "kill", "n0,n1", lasts=LeaseTimings().bound)
    assert not fleet.acting_rules()
    assert propose_and_wait(fleet, "n4", rule_set(1)) is None
    run_step(fleet, "start", "n0", lasts=6_000.0)
    assert len(fleet.acting_rules()) == 4 and not fleet.finish()


def test_the_version_in_force_survives_a_restart_of_all_voters() -> None:
    fleet = running_fleet()
    assert propose_and_wait(fleet, "n4", rule_set(3))[0]
    run_step(fleet, "kill", "n0,n1,n2", lasts=3_000.0)
    run_step(fleet, "start", "n0,n1,n2", lasts=6_000.0)
    assert propose_and_wait(fleet, "n4", rule_set(2), base=1)[0]
    assert not fleet.finish()


def test_a_voter_whose_disk_was_lost_follows_without_a_vote() -> None:
    fleet = running_fleet()
    run_step(fleet, "kill", "n1")
    fleet.lose_disk("n1")
    run_step(fleet, "start", "n1", lasts=3_000.0)
    assert not fleet.agreements["n1"].is_voter and "n1" not in fleet.disks
    assert propose_and_wait(fleet, "n4", rule_set(3))[0] and "n1" in fleet.acting_rules()


@pytest.mark.parametrize("new", ["n1", "n4"])
def test_a_voter_whose_disk_was_lost_is_replaced(new: str) -> None:
    fleet = running_fleet()
    assert propose_and_wait(fleet, "n4", rule_set(3))[0]
    lost = "n1" if leader(fleet) != "n1" else "n2"
    new = lost if new == "n1" else new
    run_step(fleet, "kill", lost)
    fleet.lose_disk(lost)
    run_step(fleet, "start", lost, lasts=2_000.0)
    fleet.handle_agreement_event("n3", ReplaceVoter("r", lost, new))
    fleet.run(fleet.now + 3_000.0)
    assert [one.done for one in fleet.results] == [True, True]
    votes = [one.raft.voters for one in fleet.agreements.values() if one.raft is not None]
    assert len(votes) == 3 and len(set(votes)) == 1 and any(one.startswith(f"{new}#") for one in votes[0])
    other = next(one for one in ("n0", "n1", "n2") if one not in (lost, leader(fleet)))
    run_step(fleet, "kill", other, lasts=3_000.0)  # the majority now needs the new voter
    assert propose_and_wait(fleet, "n4", rule_set(1))[0]
    run_step(fleet, "kill", new)
    run_step(fleet, "start", f"{new},{other}", lasts=4_000.0)
    assert propose_and_wait(fleet, "n3", rule_set(2))[0] and not fleet.finish()


def test_a_member_suspended_for_5_s_resumes_safely_in_the_joint_phase() -> None:
    fleet = running_fleet()
    assert propose_and_wait(fleet, "n4", rule_set(3))[0]
    run_step(fleet, "stop", "n3", lasts=5_000.0)
    fleet.propose("n4", rule_set(1))
    fleet.run(fleet.now + 60.0)
    run_step(fleet, "continue", "n3", lasts=5_000.0)
    assert not fleet.finish() and fleet.agreements["n3"].known_state.in_force.number == 2


# ---- fragments and stored state -------------------------------------------------------------------------


def test_a_long_message_is_reassembled_from_fragments_in_any_order() -> None:
    fragmenter, reassembler = Fragmenter(), Reassembler()
    message = bytes(range(256)) * 20
    fragments = fragmenter.split(message)
    assert all(len(one) <= MAX_FRAGMENT_BYTES + 6 for one in fragments)
    found = [reassembler.add(0.0, "a", one) for one in [*reversed(fragments), fragments[0]]]
    assert [one for one in found if one is not None] == [message]
    assert reassembler.add(0.0, "a", b"\0\0\0\1\7\3x") is None  # index beyond the count
    with pytest.raises(ValueError):
        fragmenter.split(bytes(MAX_FRAGMENT_BYTES * MAX_FRAGMENTS + 1))


def test_damaged_state_is_not_replaced_by_the_previous_generation() -> None:
    kept = VoterState(initial_state("n0", ("n0",)), ("n1",))
    data = encode_voter_state(kept)
    assert decode_voter_state(data) == kept
    damaged = data[:-1] + bytes((data[-1] ^ 1,))
    none = StateFile("state", None)
    assert recover([StateFile("state", data), StateFile("state.old", None)], "n0") == (kept, "")
    assert recover([none, StateFile("state.old", data)], "n0") == (kept, "")  # killed between the two renames
    assert recover([StateFile("state", damaged), StateFile("state.old", data)], "n0")[0] is None
    assert (
        "expected the state of n1"
        in recover([StateFile("state", data), StateFile("state.old", None)], "n1")[1]
    )
    assert recover([none, StateFile("state.old", None)], "n0") == (None, "")


def test_a_proposal_that_is_too_long_is_rejected_at_once() -> None:
    one = Agreement("n0", 1, ("n0",), LeaseTimings(), 1, 0.0)
    actions = one.handle(1.0, Propose("1", -1, bytes(40_000), "", ""))
    assert any(getattr(action, "done", None) is False for action in actions)


def test_messages_of_a_later_build_are_decoded() -> None:
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(LeaseRequest(1.0, 2, 3, 4)))
    assert msgspec.msgpack.decode(msgspec.msgpack.encode([*raw, "new"]), type=LeaseRequest) == LeaseRequest(
        1.0, 2, 3, 4
    )
