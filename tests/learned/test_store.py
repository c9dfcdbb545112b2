"""The store on a real disk: in the process under test, and in the real program."""

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

from martentide.attempt_messages import Heard, Order, Withdraw
from martentide.codec.discovery import Listed, Notice
from martentide.learned.codec import fingerprint, read_state
from martentide.learned.files import OLD, STATE
from martentide.learned.pacing import Pace
from martentide.net.dispatcher import Dispatcher, Probing, Settle
from martentide.net.learned import Store
from martentide.rules import Controller
from martentide_lab.proxy import ROOT, Proxy
from martentide_lab.servers import Board, SessionServer
from tests.support import SETTINGS, entry

QUICK = Pace(period=20.0, gap=5.0, hung=60.0, first_retry=10.0)
LIMIT = 15.0


class Mute:
    """A server's actor that does nothing."""

    def post(self, item: Order | Withdraw | Heard | Probing | Listed | Settle) -> None:
        pass


class Site:
    """A store beside a dispatcher that has ``servers``; ``touch`` makes something worth saving."""

    def __init__(self, folder: Path, servers: int = 2) -> None:
        self.dispatcher = Dispatcher(Controller(SETTINGS, 1), lambda listed, dispatcher: Mute(), 10)
        names = tuple(Listed(entry(f"s{at}", at), "127.0.0.1", 1) for at in range(servers))
        self.dispatcher.apply_list(Notice(1, True, names))
        self.store = Store(str(folder), QUICK, SETTINGS, self.dispatcher, 1)
        self.touched = 0.0

    def touch(self) -> None:
        self.touched += 1.0
        self.dispatcher.controller.servers["s0"].wait = self.touched

    async def until(self, what: Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT):
            while not what():
                self.touch()
                await asyncio.sleep(0.005)


def play(folder: Path, scene: Callable[[Site], Awaitable[None]], servers: int = 2) -> None:
    async def run() -> None:
        site = Site(folder, servers)
        await site.store.start()
        task = asyncio.create_task(site.store.run())
        try:
            await scene(site)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await site.store.stop()
            if site.store.folder is not None:
                site.store.folder.close()

    asyncio.run(run())


def wait_in(folder: Path) -> float:
    learned = read_state((folder / STATE).read_bytes(), fingerprint(SETTINGS))
    return next(server.wait for server in learned.servers if server.name == "s0")


def test_what_changes_is_saved_and_the_end_saves_the_last_of_it(tmp_path: Path) -> None:
    last = 0.0

    async def scene(site: Site) -> None:
        nonlocal last
        await site.until(lambda: site.store.saves >= 2)
        site.touch()
        last = site.touched

    play(tmp_path, scene)
    assert wait_in(tmp_path) == last and (tmp_path / OLD).exists()


def test_a_state_that_does_not_change_is_not_written_again(tmp_path: Path) -> None:
    async def scene(site: Site) -> None:
        await site.until(lambda: site.store.saves >= 1)
        async with asyncio.timeout(LIMIT):
            await site.store.idle.wait()
        before = site.store.snapshots.sequence
        while site.store.snapshots.sequence < before + 4:
            await asyncio.sleep(0.005)
        assert site.store.saves <= 2

    play(tmp_path, scene)


@pytest.mark.parametrize("call", ["fsync", "open", "rename"])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.EACCES])
def test_a_disk_that_fails_is_tried_again_and_the_state_before_stays(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, number: int
) -> None:
    async def scene(site: Site) -> None:
        await site.until(lambda: site.store.saves >= 1)

        def fail(*_: object, **__: object) -> int:
            raise OSError(number, os.strerror(number))

        with monkeypatch.context() as patch:
            patch.setattr(f"martentide.net.learned.os.{call}", fail)
            await site.until(lambda: site.store.pacing.failures >= 2)
        good = [name for name in (STATE, OLD) if (tmp_path / name).exists()]
        assert good and read_state((tmp_path / good[0]).read_bytes(), None)
        done = site.store.saves
        await site.until(lambda: site.store.saves > done)
        assert site.store.pacing.failures == 0

    play(tmp_path, scene)


def test_an_fsync_that_hangs_delays_nothing_and_is_said_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    free = threading.Event()
    real = os.fsync

    def hang(fd: int) -> None:
        free.wait(LIMIT)
        real(fd)

    async def scene(site: Site) -> None:
        await site.until(lambda: site.store.saves >= 1)
        monkeypatch.setattr("martentide.net.learned.os.fsync", hang)
        await site.until(lambda: site.store.pacing.hang_reported)
        before = site.touched
        await site.until(lambda: site.touched > before + 20)  # the loop goes on
        free.set()
        monkeypatch.setattr("martentide.net.learned.os.fsync", real)
        done = site.store.saves
        await site.until(lambda: site.store.saves > done + 1)

    play(tmp_path, scene)


def test_a_disk_that_hangs_at_the_start_is_done_without(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    free = threading.Event()
    real = os.makedirs

    def hang(path: str, mode: int = 0o777, exist_ok: bool = False) -> None:
        free.wait(LIMIT)
        real(path, mode, exist_ok)

    monkeypatch.setattr("martentide.net.learned.os.makedirs", hang)
    monkeypatch.setattr("martentide.net.learned.REACH_LIMIT", 0.05)

    async def scene(site: Site) -> None:
        assert site.store.folder is None
        free.set()

    play(tmp_path, scene)


def test_a_folder_replaced_by_a_symlink_is_not_followed(tmp_path: Path) -> None:
    folder, other = tmp_path / "state", tmp_path / "other"
    other.mkdir()

    async def scene(site: Site) -> None:
        await site.until(lambda: site.store.saves >= 1)
        folder.rename(tmp_path / "moved")
        folder.symlink_to(other)
        await site.until(lambda: site.store.pacing.failures >= 1)
        assert not any(other.iterdir())

    play(folder, scene)


def test_a_second_store_on_the_folder_runs_without_and_touches_nothing(tmp_path: Path) -> None:
    async def scene(site: Site) -> None:
        await site.until(lambda: site.store.saves >= 1)
        second = Site(tmp_path)
        assert await second.store.start() is None and second.store.folder is None

    play(tmp_path, scene)


def test_a_file_of_a_gigabyte_is_refused_unread(tmp_path: Path) -> None:
    (tmp_path / STATE).touch()
    os.truncate(tmp_path / STATE, 1 << 30)

    async def scene(site: Site) -> None:
        await site.until(lambda: site.store.saves >= 1)

    play(tmp_path, scene)
    assert wait_in(tmp_path) > 0


def test_five_thousand_servers_are_saved_whole(tmp_path: Path) -> None:
    async def scene(site: Site) -> None:
        await site.until(lambda: site.store.saves >= 1)

    play(tmp_path, scene, servers=5_000)
    assert len(read_state((tmp_path / STATE).read_bytes(), None).servers) == 5_000


# ---- the real program -------------------------------------------------------------------------------------


def program(scene: Callable[[Proxy, list[SessionServer]], Awaitable[None]], extras: str) -> None:
    async def run() -> None:
        servers, board = [SessionServer(number) for number in range(2)], Board()
        for server in servers:
            await server.start()
        await board.start()
        async with asyncio.timeout(40), Proxy(board, servers, extras) as proxy:
            await scene(proxy, servers)
        for server in servers:
            await server.stop()
        await board.stop()

    asyncio.run(run())


def text(folder: Path) -> str:
    return f'learned-state {{\n folder "{folder}"\n times period-ms=50 gap-ms=10\n}}\n'


def test_the_program_takes_up_its_state_after_sigterm_and_after_sigkill(tmp_path: Path) -> None:
    folder = tmp_path / "n0"

    async def scene(proxy: Proxy, servers: list[SessionServer]) -> None:
        assert "start=nothing" in await proxy.logged("state-start")
        for number in (signal.SIGTERM, signal.SIGKILL, signal.SIGTERM):
            while not (folder / STATE).exists():
                await asyncio.sleep(0.01)
            proxy.send(number)
            code = await proxy.ended()
            assert code == (0 if number is signal.SIGTERM else -signal.SIGKILL)
            proxy.log.clear()
            await proxy.start()
            line = await proxy.logged("state-start")
            assert "start=last-good" in line or "start=earlier-good" in line
            assert " servers=2 " in line

    program(scene, text(folder))


def test_sighup_moves_the_folder(tmp_path: Path) -> None:
    async def scene(proxy: Proxy, servers: list[SessionServer]) -> None:
        await proxy.logged("state-start")
        proxy.write(text(tmp_path / "b"))
        proxy.send(signal.SIGHUP)
        await proxy.logged("state-moved")
        while not (tmp_path / "b" / STATE).exists():
            await asyncio.sleep(0.01)
        (tmp_path / "file").touch()
        proxy.write(text(tmp_path / "file"))
        proxy.send(signal.SIGHUP)
        await proxy.logged("state-not-moved")

    program(scene, text(tmp_path / "a"))


def test_commands_show_check_and_compare_files(tmp_path: Path) -> None:
    async def scene(site: Site) -> None:
        await site.until(lambda: site.store.saves >= 3)

    play(tmp_path, scene)
    state, old, bad = tmp_path / STATE, tmp_path / OLD, tmp_path / "bad"
    bad.write_bytes(state.read_bytes()[:-1])

    def command(*arguments: str) -> tuple[int, str]:
        line = [sys.executable, "-m", "martentide", "state", *arguments]
        done = subprocess.run(line, cwd=ROOT, capture_output=True, text=True, timeout=30)
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
