"""Learned state: format, files, ageing, recovery, and the behaviour of a restored Controller."""

from __future__ import annotations

import dataclasses
import errno
import random
from collections import Counter
from pathlib import Path

import crc32c
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.interface import Ending, Stands
from martentide.learned import codec
from martentide.learned.ageing import ClockStatus, age_state, aged_image, classify_clock, least_lag, weight
from martentide.learned.codec import Fault, StateError, fingerprint, read_state, write_state
from martentide.learned.files import NEW, OLD, STATE, STEPS, load, save
from martentide.learned.pacing import Pace, SaveScheduler
from martentide.learned.recovery import StartOutcome, StateFile, choose_state, diff
from martentide.learned.restore import Restored, RestoredHints, restore
from martentide.learned.schema import CONTROLLER_FIELDS, SERVER_FIELDS, ImageState, Learned
from martentide.learned.schema import ServerState as Saved
from martentide.learned.snapshot import SERVERS_PER_SLICE, Snapshots, take
from martentide.overload import slow_start
from martentide.rules import BOUND_FLOOR, IMAGE_LIFETIME, Server
from tests.support import SETTINGS, ControllerDriver, entry, sends

FINGERPRINT = fingerprint(SETTINGS)
NOW = 100_000.0


def learned(sequence: int = 3, saved_at: float = NOW, servers: int = 2) -> Learned:
    """Return learned state about servers and one first try."""
    saved_servers = tuple(
        Saved(f"s{at}", 0.0, wait=40.0, wait_at=NOW, image=ImageState(0.5, 3.0, NOW + 6000.0, NOW))
        for at in range(servers)
    )
    return Learned(saved_at, sequence, saved_servers, {"7f3a": NOW - 500.0})


def fault_of(raw: bytes, settings_fingerprint: bytes | None = FINGERPRINT) -> Fault | None:
    """Return why a file is rejected, or None if it is read."""
    try:
        read_state(raw, settings_fingerprint)
    except StateError as error:
        assert "\n" not in str(error)
        return error.fault
    return None


# ---- schema -----------------------------------------------------------------------------------------------


def test_every_learned_field_has_a_policy() -> None:
    configured = {
        "settings",
        "rng",
        "classes",
        "top_worth",
        "tolerable_wait",
        "trial_scale",
        "tick_interval",
        "offered_window",
        "scale",
    }
    internal = {"actions", "tick_scheduled", "tenants_due", "gossip_due", "servers"}
    assert set(SERVER_FIELDS) == {field.name for field in dataclasses.fields(Server)}
    assert set(CONTROLLER_FIELDS) == set(vars(ControllerDriver().controller)) - configured - internal
    kept = {name for name, field in SERVER_FIELDS.items() if field.persisted}
    assert kept == {field.name for field in msgspec.structs.fields(Saved)} - {"name", "started"}


# ---- the format -------------------------------------------------------------------------------------------


def test_written_state_is_read_back_unchanged() -> None:
    state = learned()
    assert read_state(write_state(state, FINGERPRINT), FINGERPRINT) == state
    assert read_state(write_state(state, b"other settings.."), None) == state


def test_every_flipped_byte_and_every_truncation_is_refused() -> None:
    raw = write_state(learned(), FINGERPRINT)
    for at in range(len(raw)):
        for mask in (0x01, 0x80):
            corrupted = bytearray(raw)
            corrupted[at] ^= mask
            assert fault_of(bytes(corrupted)) is not None, f"byte {at}"
        assert fault_of(raw[:at]) in (Fault.EMPTY, Fault.CUT), f"cut at {at}"
        zeroed = raw[:at] + bytes(len(raw) - at)
        assert zeroed == raw or fault_of(zeroed) is not None, f"zeroes from {at}"
    assert fault_of(raw + b"x") is Fault.TRAILING


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({"FORMAT_VERSION": 2}, Fault.OTHER_FORMAT),
        ({"FORMAT_VERSION": 0}, Fault.OTHER_FORMAT),
        ({"SCHEMA_VERSION": 99}, Fault.OTHER_SCHEMA),
        ({"MAX_PAYLOAD_BYTES": 10}, Fault.TOO_LARGE),
    ],
)
def test_other_versions_and_oversized_payloads_are_refused(
    monkeypatch: pytest.MonkeyPatch, change: dict[str, int], fault: Fault
) -> None:
    raw = write_state(learned(), FINGERPRINT)
    with monkeypatch.context() as patch:
        for name, value in change.items():
            patch.setattr(codec, name, value)
        assert fault_of(raw) is fault
        if fault is Fault.TOO_LARGE:
            with pytest.raises(StateError):
                write_state(learned(), FINGERPRINT)


def test_files_of_earlier_versions_stay_readable() -> None:
    """A change of the format that makes this file of version 1 unreadable must increase the version."""
    raw = (Path(__file__).parent / "files" / "format-1-schema-1.state").read_bytes()
    image = ImageState(0.5, 3.0, 7000.0, 1000.0)
    server = Saved("s0", 5.0, wait=40.0, image=image, offered=(1.0, 2.0))
    assert read_state(raw, bytes(16)) == Learned(1000.0, 7, (server,), {"7f3a": 500.0})


def test_other_settings_and_other_files_are_refused() -> None:
    raw = write_state(learned(), FINGERPRINT)
    fewer = dataclasses.replace(SETTINGS, classes=SETTINGS.classes[:1])
    assert fault_of(raw, fingerprint(fewer)) is Fault.OTHER_SETTINGS
    assert fault_of(b"{}" * 50) is Fault.NOT_STATE
    assert fault_of(b"") is Fault.EMPTY


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_random_payload_is_refused_despite_valid_checksums(payload: bytes) -> None:
    head = codec.HEADER.pack(codec.MAGIC, 1, 1, FINGERPRINT, 1, NOW, len(payload))
    sums = [codec.CRC_FIELD.pack(crc32c.crc32c(part)) for part in (head, payload)]
    assert fault_of(head + sums[0] + payload + sums[1]) is Fault.PAYLOAD


# ---- the files --------------------------------------------------------------------------------------------


class MachineStopped(BaseException):
    """Simulated stop of the machine."""


class SimulatedDisk:
    """A directory that may lose unsynced data when the machine stops, in the ways a real disk does."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.live: dict[str, bytes] = {}
        self.synced: dict[str, bytes] = {}  # contents on the disk, by current name
        self.names: dict[str, bytes] = {}  # directory entries on the disk
        self.fail: dict[str, int] = {}

    def _step(self, name: str) -> None:
        if name in self.fail:
            raise OSError(self.fail[name], "fault")

    def read(self, name: str, limit: int) -> bytes | None:
        """Return a file's contents, or None; raises OSError for more than ``limit`` bytes."""
        data = self.live.get(name)
        if data is not None and len(data) > limit:
            raise OSError(errno.EFBIG, "File too large")
        return data

    def write(self, name: str, data: bytes) -> None:
        """Write a file; half of it if the step fails."""
        self.live[name] = data[: len(data) // 2]
        self._step("write")
        self.live[name] = data

    def sync(self, name: str) -> None:
        """Put a file's contents on the disk."""
        self._step("sync")
        self.synced[name] = self.live[name]

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self._step("keep-old" if new == OLD else "rename")
        self.live[new] = self.live.pop(old)
        if old in self.synced:
            self.synced[new] = self.synced.pop(old)

    def exists(self, name: str) -> bool:
        """Whether the file exists."""
        return name in self.live

    def sync_folder(self) -> None:
        """A step that can fail; renames are never lost here."""
        self._step("sync-folder")

    def crash(self) -> None:
        """Renames are atomic and ordered; unsynced contents end up whole, truncated or zeroed."""
        for name, data in self.live.items():
            if self.synced.get(name) != data:
                cut = self.rng.randrange(len(data) + 1)
                self.live[name] = self.rng.choice([data, data[:cut], data[:cut] + bytes(len(data) - cut)])


def saved(sequence: int) -> bytes:
    """Return the contents of a file with that sequence number."""
    return write_state(learned(sequence), FINGERPRINT)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("seed", range(12))
def test_a_crash_at_any_step_leaves_the_last_or_previous_state_readable(step: str, seed: int) -> None:
    disk = SimulatedDisk(random.Random(seed))
    save(disk, saved(1))
    save(disk, saved(2))

    def stop_machine(at: str) -> None:
        if at == step:
            raise MachineStopped

    with pytest.raises(MachineStopped):
        save(disk, saved(3), stop_machine)
    if step == "sync":
        disk.crash()  # the new file may have any contents
    decision = choose_state(load(disk), FINGERPRINT, NOW)
    assert decision.state is not None
    assert decision.state.learned.sequence == (3 if step == "sync-folder" else 2)
    save(disk, saved(4))
    again = choose_state(load(disk), FINGERPRINT, NOW)
    assert again.start is StartOutcome.LAST_GOOD and again.sequence == 4


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EACCES])
@pytest.mark.parametrize("step", STEPS)
def test_a_failure_at_any_step_leaves_a_valid_state_and_the_next_save_recovers(
    step: str, number: int
) -> None:
    disk = SimulatedDisk(random.Random(1))
    save(disk, saved(1))
    save(disk, saved(2))
    disk.fail[step] = number
    with pytest.raises(OSError):
        save(disk, saved(3))
    decision = choose_state(load(disk), FINGERPRINT, NOW)
    assert decision.state is not None and decision.state.learned.sequence in (2, 3)
    disk.fail.clear()
    save(disk, saved(4))
    assert choose_state(load(disk), FINGERPRINT, NOW).start is StartOutcome.LAST_GOOD
    assert NEW not in disk.live


# ---- recovery ---------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("newest", "before", "start", "used", "refused"),
    [
        (None, None, StartOutcome.NOTHING, "", 0),
        (saved(2), saved(1), StartOutcome.LAST_GOOD, STATE, 0),
        (saved(2)[:-1], saved(1), StartOutcome.EARLIER_GOOD, OLD, 1),
        (None, saved(1), StartOutcome.EARLIER_GOOD, OLD, 0),
        (b"", b"x", StartOutcome.REFUSED, "", 2),
        (write_state(learned(saved_at=NOW + 60_000.0), FINGERPRINT), None, StartOutcome.REFUSED, "", 1),
        (
            write_state(learned(saved_at=NOW - 86_400_000.0), FINGERPRINT),
            None,
            StartOutcome.AGED_OUT,
            STATE,
            0,
        ),
    ],
)
def test_startup_uses_the_last_valid_state_or_none(
    newest: bytes | None, before: bytes | None, start: StartOutcome, used: str, refused: int
) -> None:
    decision = choose_state([StateFile(STATE, newest), StateFile(OLD, before)], FINGERPRINT, NOW)
    assert (decision.start, decision.used, len(decision.refused)) == (start, used, refused)
    assert (decision.state is None) == (start in (StartOutcome.NOTHING, StartOutcome.REFUSED))


def test_a_difference_names_server_field_and_values() -> None:
    old, new = learned(servers=2), learned(servers=1)
    changed = msgspec.structs.replace(new, servers=(msgspec.structs.replace(new.servers[0], wait=80.0),))
    assert diff(old, changed) == ["s0: wait: 40.0 -> 80.0", "s1: left"]


# ---- ageing -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("saved_at", "expected"),
    [
        (NOW, ClockStatus.USUAL),
        (NOW - 299_000.0, ClockStatus.USUAL),
        (NOW - 301_000.0, ClockStatus.STALE),
        (NOW + 1_500.0, ClockStatus.BACK),
        (NOW + 2_500.0, ClockStatus.FUTURE),
    ],
)
def test_save_time_is_classified_and_only_future_state_is_emptied(
    saved_at: float, expected: ClockStatus
) -> None:
    assert classify_clock(saved_at, NOW) is expected
    aged = age_state(learned(saved_at=saved_at), NOW)
    assert aged.age >= 0.0 and (not aged.learned.servers) == (expected is ClockStatus.FUTURE)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.floats(0.0, 1e8), st.floats(0.0, 1e8), st.sampled_from(sorted(SERVER_FIELDS)))
def test_weights_never_increase_with_age(one: float, other: float, field: str) -> None:
    younger, older = sorted((one, other))
    assert 0.0 <= weight(older, field) <= weight(younger, field) <= 1.0


def test_an_image_expires_by_its_report_and_a_round_trip_ages_slowly() -> None:
    image = ImageState(0.8, 2.0, NOW + IMAGE_LIFETIME, NOW)
    assert aged_image(image, 0.0, NOW) == image
    later = aged_image(image, 1500.0, NOW + 1500.0)
    assert later is not None and later.hold_back == pytest.approx(0.4) and later.rate == pytest.approx(6.0)
    assert aged_image(image, 0.0, NOW + IMAGE_LIFETIME) is None
    assert least_lag(20.0, 600_000.0) == pytest.approx(40.0) and least_lag(20.0, 1e9) is None


# ---- a Controller restored after a restart ----------------------------------------------------------------


def restarted(
    before: ControllerDriver, gap: float, **more: object
) -> tuple[ControllerDriver, Restored, RestoredHints]:
    """Return a new Controller with the same list, restored ``gap`` ms after the save of ``before``."""
    state = read_state(write_state(take(before.controller, before.now), FINGERPRINT), FINGERPRINT)
    fresh = ControllerDriver(now=before.now + gap, seed=9, **more)  # type: ignore[arg-type]
    counts, hints = restore(fresh.controller, age_state(state, fresh.now), fresh.now, random.Random(1))
    return fresh, counts, hints


def test_a_silent_server_gets_only_single_probes_after_a_restart() -> None:
    before = ControllerDriver()
    for send in sends([action for _ in range(3) for action in before.offer(first=0)]):
        if send.server == "s0":
            before.end_attempt(send.ref, send.server, Ending.TIMED_OUT)
    assert before.controller.servers["s0"].suspect
    fresh, counts, _ = restarted(before, 500.0)
    assert counts.suspects == 1
    set_ups_by_server = Counter(send.server for _ in range(12) for send in sends(fresh.offer(first=0)))
    assert set_ups_by_server["s0"] <= 1 and set_ups_by_server["s1"] > 0
    assert (
        Counter(send.server for _ in range(3) for send in sends(ControllerDriver(seed=9).offer(first=0)))[
            "s0"
        ]
        > 1
    )


def test_an_image_holds_across_the_restart_no_longer_than_its_report_allows() -> None:
    before = ControllerDriver()
    for _ in range(20):
        before.offer(first=0)
    before.report_hold_back("s0", 0.9)
    fresh, counts, _ = restarted(before, 300.0)
    image = fresh.controller.servers["s0"].image
    assert counts.images == 1 and image is not None and image.expires == before.now + IMAGE_LIFETIME
    assert restarted(before, IMAGE_LIFETIME + 1.0)[1].images == 0
    assert all(server.image is None for name, server in fresh.controller.servers.items() if name != "s0")


@pytest.mark.parametrize("keep", [True, False])
def test_restarts_send_a_cold_server_no_more_than_one_process_would(keep: bool) -> None:
    """With restarts every 2 s and a cold server, rule 4 limits the calls of all processes together."""

    def sent(runs: int) -> int:
        count = 0
        for run in range(runs):
            driver = ControllerDriver(servers=1)
            started_at = driver.now
            cold = entry("s0", 0, started=started_at)
            for process in range(6):
                fresh = ControllerDriver(
                    servers=0, now=started_at + process * 2000.0, seed=100 * run + process
                )
                fresh.controller.servers.clear()
                fresh.controller._add_server(fresh.now, cold)
                if keep and process:
                    state = age_state(take(driver.controller, driver.now), fresh.now)
                    restore(fresh.controller, state, fresh.now, random.Random(100 * run + process))
                for _ in range(20):
                    count += len(sends(fresh.offer(first=0, left=400.0) + fresh.advance(90.0)))
                driver = fresh
        return count

    # The only server, of unknown pace: its cold share of the minimum rate applies.
    limit = 6 * 1.8 * BOUND_FLOOR * SETTINGS.fall_multiple * SETTINGS.cold_share * slow_start.MAX_UTILISATION
    assert 0.3 * limit < sent(40) / 40 <= limit


def test_nothing_is_restored_for_a_restarted_or_removed_server() -> None:
    before = ControllerDriver(servers=3)
    before.report_hold_back("s0", 0.9)
    state = age_state(take(before.controller, before.now), before.now)
    fresh = ControllerDriver(servers=0, now=before.now)
    fresh.controller._add_server(fresh.now, entry("s0", 0, started=before.now - 10.0))
    fresh.controller._add_server(fresh.now, entry("s9", 9))
    counts, _ = restore(fresh.controller, state, fresh.now, random.Random(1))
    assert (counts.servers, counts.restarted, counts.unknown) == (0, 1, 2)
    assert fresh.controller.servers["s0"].image is None


def test_new_evidence_drops_restored_state_at_once() -> None:
    before = ControllerDriver()
    for _ in range(20):
        before.offer(first=0)
    before.report_hold_back("s0", 0.9)
    fresh, _, hints = restarted(before, 100.0)
    send = sends(fresh.offer(first=0))
    event = Stands(send[0].ref if send else 1, 0, "s0", 5.0)
    fresh.feed(event)
    hints.observe_event(fresh.now, event, fresh.controller)
    assert fresh.controller.servers["s0"].image is None and hints.dropped == 1
    assert set(hints.servers) == {"s1"}, "no evidence on the other server yet"


def test_redial_is_recognized_after_a_restart_within_the_longest_deadline() -> None:
    before = ControllerDriver()
    before.report_hold_back("s0", 0.98)
    before.report_hold_back("s1", 0.98)
    before.offer(number="7f3a", left=30.0)
    before.advance(5.0)
    began = before.controller.first_tries
    assert began
    assert restarted(before, 100.0)[0].controller.first_tries == began
    assert not restarted(before, 20_000.0)[0].controller.first_tries


def test_snapshot_is_taken_in_slices_and_reuses_records_of_unchanged_servers() -> None:
    driver = ControllerDriver(servers=SERVERS_PER_SLICE * 3)
    snapshots = Snapshots()
    parts = list(snapshots.slices(driver.controller, driver.now))
    assert (
        parts[:-1] == [None] * 3 and parts[-1] is not None and len(parts[-1].servers) == SERVERS_PER_SLICE * 3
    )
    kept = dict(snapshots.records)
    driver.report_hold_back("s5", 0.9)
    second = list(snapshots.slices(driver.controller, driver.now))[-1]
    assert second is not None and second.sequence == 2
    changed = [name for name in kept if snapshots.records[name][1] is not kept[name][1]]
    assert changed == ["s5"]


# ---- pacing -----------------------------------------------------------------------------------------------


def test_saves_keep_their_gap_and_never_overlap() -> None:
    pacing = SaveScheduler(Pace())
    assert pacing.may_begin(NOW)
    pacing.begin(NOW)
    pacing.request_save()
    assert not pacing.may_begin(NOW + 10_000.0)
    pacing.done(NOW + 50.0, 1_000)
    assert not pacing.may_begin(NOW + 249.0) and pacing.may_begin(NOW + 250.0)
    pacing.begin(NOW + 250.0)
    pacing.done(NOW + 260.0, 8_000_000)
    pacing.request_save()
    assert pacing.due(NOW + 260.0) == NOW + 2260.0, "a large state is saved less often"


def test_failures_back_off_and_a_hung_disk_is_reported_once() -> None:
    pacing, waits = SaveScheduler(Pace()), []
    for _ in range(9):
        pacing.begin(NOW)
        waits.append(pacing.failed(NOW))
    assert waits == [1000.0, 2000.0, 4000.0, 8000.0, 16000.0, 32000.0, 60000.0, 60000.0, 60000.0]
    pacing.begin(NOW)
    assert not pacing.check_hung(NOW + 4_999.0)
    assert pacing.check_hung(NOW + 5_000.0) and not pacing.check_hung(NOW + 9_000.0)
