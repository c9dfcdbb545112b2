"""The store of learned state on a real disk, in this process and in the real program."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from martentide.attempt_messages import InputProcessed, Order, Withdraw
from martentide.codec.discovery import Listed, Notice
from martentide.learned.codec import fingerprint, read_state
from martentide.learned.files import OLD, STATE
from martentide.learned.pacing import Pace
from martentide.net.dispatcher import ApplySettings, Dispatcher, Probing
from martentide.net.learned import Store
from martentide.rules import Controller
from martentide_lab.proxy import PROJECT_ROOT, ProxyProcess
from martentide_lab.servers import DiscoveryServer, SessionServer
from tests.support import SETTINGS, entry

QUICK = Pace(period=20.0, gap=5.0, hung=60.0, first_retry=10.0)
TIMEOUT_S = 15.0


class IdleServer:
    """A server actor that ignores every item."""

    def post(self, item: Order | Withdraw | InputProcessed | Probing | Listed | ApplySettings) -> None:
        """Ignore the item."""
        pass


class StoreFixture:
    """A store and a dispatcher with ``servers``; ``change_state`` makes a change that is to be saved."""

    def __init__(self, folder: Path, servers: int = 2) -> None:
        self.dispatcher = Dispatcher(Controller(SETTINGS, 1), lambda listed, dispatcher: IdleServer(), 10)
        names = tuple(Listed(entry(f"s{at}", at), "127.0.0.1", 1) for at in range(servers))
        self.dispatcher.apply_list(Notice(1, True, names))
        self.store = Store(str(folder), QUICK, SETTINGS, self.dispatcher, 1)
        self.last_wait = 0.0

    def change_state(self) -> None:
        """Change a wait, so that there is something to save."""
        self.last_wait += 1.0
        self.dispatcher.controller.servers["s0"].wait = self.last_wait

    async def until(self, condition: Callable[[], bool]) -> None:
        """Keep changing the state until the condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                self.change_state()
                await asyncio.sleep(0.005)


def run_scenario(folder: Path, scenario: Callable[[StoreFixture], Awaitable[None]], servers: int = 2) -> None:
    """Run the scenario with a running store."""

    async def run() -> None:
        fixture = StoreFixture(folder, servers)
        await fixture.store.start()
        task = asyncio.create_task(fixture.store.run())
        try:
            await scenario(fixture)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await fixture.store.stop()
            if fixture.store.folder is not None:
                fixture.store.folder.close()

    asyncio.run(run())


def saved_wait(folder: Path) -> float:
    """Return the wait that the file holds for the first server."""
    learned = read_state((folder / STATE).read_bytes(), fingerprint(SETTINGS))
    return next(server.wait for server in learned.servers if server.name == "s0")


def test_changes_are_saved_and_the_last_one_at_shutdown(tmp_path: Path) -> None:
    last = 0.0

    async def scenario(fixture: StoreFixture) -> None:
        nonlocal last
        await fixture.until(lambda: fixture.store.save_count >= 2)
        fixture.change_state()
        last = fixture.last_wait

    run_scenario(tmp_path, scenario)
    assert saved_wait(tmp_path) == last and (tmp_path / OLD).exists()


def test_unchanged_state_is_not_written_again(tmp_path: Path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        await fixture.until(lambda: fixture.store.save_count >= 1)
        async with asyncio.timeout(TIMEOUT_S):
            await fixture.store.idle.wait()
        before = fixture.store.snapshots.sequence
        while fixture.store.snapshots.sequence < before + 4:
            await asyncio.sleep(0.005)
        assert fixture.store.save_count <= 2

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("call", ["fsync", "open", "rename"])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EACCES])
def test_failed_save_is_retried_and_the_previous_state_stays(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, number: int
) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        await fixture.until(lambda: fixture.store.save_count >= 1)

        def fail(*_: object, **__: object) -> int:
            raise OSError(number, os.strerror(number))

        with monkeypatch.context() as patch:
            patch.setattr(f"martentide.net.learned.os.{call}", fail)
            await fixture.until(lambda: fixture.store.pacing.failures >= 2)
        existing = [name for name in (STATE, OLD) if (tmp_path / name).exists()]
        assert existing and read_state((tmp_path / existing[0]).read_bytes(), None)
        saves_before = fixture.store.save_count
        await fixture.until(lambda: fixture.store.save_count > saves_before)
        assert fixture.store.pacing.failures == 0

    run_scenario(tmp_path, scenario)


def test_hanging_fsync_blocks_nothing_and_is_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk_responds = threading.Event()
    real_fsync = os.fsync

    def hang(fd: int) -> None:
        disk_responds.wait(TIMEOUT_S)
        real_fsync(fd)

    async def scenario(fixture: StoreFixture) -> None:
        await fixture.until(lambda: fixture.store.save_count >= 1)
        monkeypatch.setattr("martentide.net.learned.os.fsync", hang)
        await fixture.until(lambda: fixture.store.pacing.hang_reported)
        before = fixture.last_wait
        await fixture.until(lambda: fixture.last_wait > before + 20)  # the event loop still runs
        disk_responds.set()
        monkeypatch.setattr("martentide.net.learned.os.fsync", real_fsync)
        saves_before = fixture.store.save_count
        await fixture.until(lambda: fixture.store.save_count > saves_before + 1)

    run_scenario(tmp_path, scenario)


def test_start_continues_without_a_hanging_disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk_responds = threading.Event()
    real_makedirs = os.makedirs

    def hang(path: str, mode: int = 0o777, exist_ok: bool = False) -> None:
        disk_responds.wait(TIMEOUT_S)
        real_makedirs(path, mode, exist_ok)

    monkeypatch.setattr("martentide.net.learned.os.makedirs", hang)
    monkeypatch.setattr("martentide.net.learned.OPEN_TIMEOUT_S", 0.05)

    async def scenario(fixture: StoreFixture) -> None:
        assert fixture.store.folder is None
        disk_responds.set()

    run_scenario(tmp_path, scenario)


def test_folder_replaced_by_a_symlink_is_not_written(tmp_path: Path) -> None:
    folder, other = tmp_path / "state", tmp_path / "other"
    other.mkdir()

    async def scenario(fixture: StoreFixture) -> None:
        await fixture.until(lambda: fixture.store.save_count >= 1)
        folder.rename(tmp_path / "moved")
        folder.symlink_to(other)
        await fixture.until(lambda: fixture.store.pacing.failures >= 1)
        assert not any(other.iterdir())

    run_scenario(folder, scenario)


def test_second_store_on_a_locked_folder_is_off(tmp_path: Path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        await fixture.until(lambda: fixture.store.save_count >= 1)
        second = StoreFixture(tmp_path)
        assert await second.store.start() is None and second.store.folder is None

    run_scenario(tmp_path, scenario)


def test_oversized_file_is_rejected_unread(tmp_path: Path) -> None:
    (tmp_path / STATE).touch()
    os.truncate(tmp_path / STATE, 1 << 30)

    async def scenario(fixture: StoreFixture) -> None:
        await fixture.until(lambda: fixture.store.save_count >= 1)

    run_scenario(tmp_path, scenario)
    assert saved_wait(tmp_path) > 0


def test_five_thousand_servers_are_saved(tmp_path: Path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        await fixture.until(lambda: fixture.store.save_count >= 1)

    run_scenario(tmp_path, scenario, servers=5_000)
    assert len(read_state((tmp_path / STATE).read_bytes(), None).servers) == 5_000


# ---- the real program -------------------------------------------------------------------------------------


def run_program(
    scenario: Callable[[ProxyProcess, list[SessionServer]], Awaitable[None]], extras: str
) -> None:
    """Run the scenario with a proxy process and two session servers."""

    async def run() -> None:
        servers, discovery = [SessionServer(number) for number in range(2)], DiscoveryServer()
        for server in servers:
            await server.start()
        await discovery.start()
        async with asyncio.timeout(40), ProxyProcess(discovery, servers, extras) as proxy:
            await scenario(proxy, servers)
        for server in servers:
            await server.stop()
        await discovery.stop()

    asyncio.run(run())


def extras_text(folder: Path) -> str:
    """Return an extras file that saves the state every 50 ms."""
    return f'learned-state {{\n folder "{folder}"\n times period-ms=50 gap-ms=10\n}}\n'


def test_program_restores_its_state_after_sigterm_and_sigkill(tmp_path: Path) -> None:
    folder = tmp_path / "n0"

    async def scenario(proxy: ProxyProcess, servers: list[SessionServer]) -> None:
        assert "start=nothing" in await proxy.wait_for_log_line("state-start")
        for number in (signal.SIGTERM, signal.SIGKILL, signal.SIGTERM):
            while not (folder / STATE).exists():
                await asyncio.sleep(0.01)
            proxy.send_signal(number)
            code = await proxy.wait_until_ended()
            assert code == (0 if number is signal.SIGTERM else -signal.SIGKILL)
            proxy.log.clear()
            await proxy.start()
            line = await proxy.wait_for_log_line("state-start")
            assert "start=last-good" in line or "start=earlier-good" in line
            assert " servers=2 " in line

    run_program(scenario, extras_text(folder))


def test_sighup_changes_the_folder(tmp_path: Path) -> None:
    async def scenario(proxy: ProxyProcess, servers: list[SessionServer]) -> None:
        await proxy.wait_for_log_line("state-start")
        proxy.write_extras(extras_text(tmp_path / "b"))
        proxy.send_signal(signal.SIGHUP)
        await proxy.wait_for_log_line("state-moved")
        while not (tmp_path / "b" / STATE).exists():
            await asyncio.sleep(0.01)
        (tmp_path / "file").touch()
        proxy.write_extras(extras_text(tmp_path / "file"))
        proxy.send_signal(signal.SIGHUP)
        await proxy.wait_for_log_line("state-not-moved")

    run_program(scenario, extras_text(tmp_path / "a"))


def test_commands_show_check_and_compare_files(tmp_path: Path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        await fixture.until(lambda: fixture.store.save_count >= 3)

    run_scenario(tmp_path, scenario)
    state, old, bad = tmp_path / STATE, tmp_path / OLD, tmp_path / "bad"
    bad.write_bytes(state.read_bytes()[:-1])

    def command(*arguments: str) -> tuple[int, str]:
        line = [sys.executable, "-m", "martentide", "state", *arguments]
        done = subprocess.run(line, cwd=PROJECT_ROOT, capture_output=True, text=True, timeout=30)
        return done.returncode, done.stdout + done.stderr

    assert command("check", str(state))[0] == 0
    assert command("check", str(bad)) == (3, f"martentide: {bad}: cut: {len(state.read_bytes()) - 1} bytes, "
                                             f"expected {len(state.read_bytes())}\n")  # fmt: skip
    assert command("check", str(tmp_path / "none"))[0] == 2
    code, shown = command("show", str(state))
    assert code == 0 and "s0" in shown and "open" in shown
    assert '"servers":[{"name":"s0"' in command("show", "--json", str(state))[1]
    assert command("diff", str(state), str(state)) == (0, "no difference\n")
    code, lines = command("diff", str(old), str(state))
    assert code == 1 and "s0: wait: " in lines
