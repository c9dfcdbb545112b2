"""The store of learned state on a real disk: an actor with a mailbox, and one thread for its file work.

A disk that takes seconds, or never answers, delays no call: the thread alone waits for it. Imported only
where the extras file turns it on.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import os
import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from martentide.interface import Event, Settings
from martentide.learned.codec import StateError, fingerprint, write_state
from martentide.learned.files import load, save
from martentide.learned.pacing import Pace, Pacing
from martentide.learned.recovery import Decision, Found, decide
from martentide.learned.restore import Hints, restore
from martentide.learned.schema import Learned
from martentide.learned.snapshot import Snapshots
from martentide.net.close_reason import LOG, log_event
from martentide.net.dispatcher import Dispatcher
from martentide.net.links import unix_ms

LOCK_FILE = "lock"
OPEN_TIMEOUT = 2.0  # s for a folder to be opened, locked and read
FINAL_SAVE_TIMEOUT = 1.0  # s for the save at the end; a disk that takes longer keeps the state before


class DiskFolder:
    """A folder held open: files are named within it, whatever its path comes to mean later."""

    def __init__(self, path: str) -> None:
        """Open and lock it. Raises OSError; EAGAIN where another proxy has it."""
        self.path = path
        os.makedirs(path, mode=0o700, exist_ok=True)
        self.fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW)
        self.lock = -1
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
            self.lock = os.open(LOCK_FILE, flags, 0o600, dir_fd=self.fd)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        for fd in (self.lock, self.fd):
            if fd >= 0:
                os.close(fd)
        self.lock = self.fd = -1

    def _check_not_replaced(self) -> None:
        """Guards against a folder that was replaced, by a symlink above all: nothing is written elsewhere,
        and nothing where the next start would not look."""
        here = os.stat(self.path, follow_symlinks=False)
        opened = os.fstat(self.fd)
        if (here.st_dev, here.st_ino) != (opened.st_dev, opened.st_ino):
            raise OSError(errno.ESTALE, "the folder was replaced by another")

    def read(self, name: str, most: int) -> bytes | None:
        try:
            fd = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK, dir_fd=self.fd)
        except FileNotFoundError:
            return None
        with open(fd, "rb") as file:
            size = os.fstat(fd).st_size
            if size > most:
                raise OSError(errno.EFBIG, f"{size} bytes, expected {most} at most")
            return file.read(most)

    def write(self, name: str, data: bytes) -> None:
        self._check_not_replaced()
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW
        fd = os.open(name, flags, 0o600, dir_fd=self.fd)
        with open(fd, "wb", buffering=0) as file:
            view = memoryview(data)
            while view:
                view = view[file.write(view) :]

    def sync(self, name: str) -> None:
        fd = os.open(name, os.O_RDONLY | os.O_NOFOLLOW, dir_fd=self.fd)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new, src_dir_fd=self.fd, dst_dir_fd=self.fd)

    def exists(self, name: str) -> bool:
        try:
            os.stat(name, dir_fd=self.fd, follow_symlinks=False)
        except FileNotFoundError:
            return False
        return True

    def sync_folder(self) -> None:
        os.fsync(self.fd)


class FileWorker:
    """One thread for file work. A daemon: a disk that hangs must not keep the program from its end."""

    def __init__(self) -> None:
        self.jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="learned-state", daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while (job := self.jobs.get()) is not None:
            job()

    def submit(self, job: Callable[[], None]) -> None:
        self.jobs.put(job)

    def stop(self) -> None:
        self.jobs.put(None)


@dataclass(frozen=True, slots=True)
class CheckDue:
    """Time to look whether to save."""


@dataclass(frozen=True, slots=True)
class SaveFinished:
    folder: DiskFolder
    size: int
    error: str


@dataclass(frozen=True, slots=True)
class FolderChanged:
    """SIGHUP named another folder."""

    folder: str
    pace: Pace


class Store:
    """The actor. ``start`` reads what is there before the program serves; then it saves until its end."""

    def __init__(
        self, folder: str, pace: Pace, settings: Settings, dispatcher: Dispatcher, seed: int
    ) -> None:
        self.path, self.dispatcher, self.rng = folder, dispatcher, random.Random(seed)
        self.settings_fingerprint = fingerprint(settings)
        self.pacing = Pacing(pace)
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[CheckDue | SaveFinished | FolderChanged] = asyncio.Queue()
        self.worker = FileWorker()
        self.folder: DiskFolder | None = None
        self.snapshots = Snapshots()
        self.hints: Hints | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last_snapshot: Learned | None = None
        self.idle = asyncio.Event()
        self.idle.set()
        self.save_count = 0

    def change_settings(self, settings: Settings) -> None:
        """Other settings hold: what is saved from now on was learned under them."""
        self.settings_fingerprint = fingerprint(settings)

    # ---- start --------------------------------------------------------------------------------------------

    async def start(self) -> Decision | None:
        """Open the folder and take up what is there; None where it can't be had in time. Never raises."""
        opened = await self._open_folder(self.path)
        if isinstance(opened, str):
            LOG.warning("state-off", folder=self.path, detail=repr(opened))
            return None
        self.folder, files = opened
        now, load_started = unix_ms(), time.perf_counter()
        decision = decide(files, self.settings_fingerprint, now)
        load_ms = round((time.perf_counter() - load_started) * 1000.0, 2)
        for name, why in decision.refused:
            LOG.warning("state-refused", file=name, detail=repr(why))
        self.snapshots.sequence = decision.sequence
        if decision.state is None:
            log_event("state-start", start=decision.start.value, load_ms=load_ms)
            return decision
        controller = self.dispatcher.controller
        counts, self.hints = restore(controller, decision.state, now, self.rng)
        log_event(
            "state-start",
            start=decision.start.value,
            file=decision.used,
            load_ms=load_ms,
            age_s=round(decision.state.age / 1000.0, 1),
            servers=counts.servers,
            unknown=counts.unknown,
            restarted=counts.restarted,
            images=counts.images,
            suspects=counts.suspects,
            cold=counts.cold,
            redials=counts.redials,
        )
        self.dispatcher.event_observers.append(self._on_event)
        return decision

    def _list_changed(self, _: object) -> None:
        self.pacing.ask()
        self.mailbox.put_nowait(CheckDue())

    async def _open_folder(self, path: str) -> tuple[DiskFolder, list[Found]] | str:
        """Open, lock and read a folder, in a thread of its own: a disk that hangs must not keep the program
        from its start, nor hold it up at SIGHUP. A text says why it can't be had."""
        answer: asyncio.Future[tuple[DiskFolder, list[Found]] | str] = self.loop.create_future()

        def done(found: tuple[DiskFolder, list[Found]] | str) -> None:
            if not answer.done():
                answer.set_result(found)
            elif not isinstance(found, str):
                found[0].close()  # too late: the program goes on without

        def reach() -> None:
            try:
                folder = DiskFolder(path)
                found: tuple[DiskFolder, list[Found]] | str = (folder, load(folder))
            except OSError as error:
                busy = error.errno == errno.EAGAIN
                found = "another proxy has it" if busy else error.strerror or str(error)
            with contextlib.suppress(RuntimeError):  # the program has ended
                self.loop.call_soon_threadsafe(done, found)

        threading.Thread(target=reach, name="learned-state-open", daemon=True).start()
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                return await answer
        except TimeoutError:
            return f"no answer within {OPEN_TIMEOUT:.0f} s"

    def _on_event(self, now: float, event: Event) -> None:
        assert self.hints is not None
        self.hints.heard(now, event, self.dispatcher.controller)
        if self.hints.over:
            self.dispatcher.event_observers.remove(self._on_event)

    # ---- saving -------------------------------------------------------------------------------------------

    def change_folder(self, folder: str, pace: Pace) -> None:
        """SIGHUP: save there, at that pace, from now on."""
        self.mailbox.put_nowait(FolderChanged(folder, pace))

    async def run(self) -> None:
        self.dispatcher.list_observers.append(self._list_changed)
        self._schedule_check(unix_ms())
        while True:
            item = await self.mailbox.get()
            now = unix_ms()
            match item:
                case SaveFinished():
                    self._on_save_finished(item, now)
                case FolderChanged():
                    await self._on_folder_changed(item)
                case CheckDue():
                    pass
            if self.pacing.hangs(now):
                LOG.warning("state-save-hangs", folder=self.path)
            if self.folder is not None and self.pacing.may_begin(now):
                await self._begin_save(now)
            self._schedule_check(unix_ms())

    def _schedule_check(self, now: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0.01, (self.pacing.due(now) - now) / 1000.0)
        self.timer = self.loop.call_later(delay, self.mailbox.put_nowait, CheckDue())

    async def _begin_save(self, now: float) -> None:
        """Take a snapshot, slice by slice, and hand it to the thread."""
        snapshot: Learned | None = None
        slices = self.snapshots.slices(self.dispatcher.controller, now)
        while snapshot is None:
            snapshot = next(slices)
            await asyncio.sleep(0)
        if (
            self.last_snapshot is not None
            and self.last_snapshot.servers == snapshot.servers
            and self.last_snapshot.redials == snapshot.redials
        ):
            self.pacing.begin(now)  # nothing changed: the file there says the same
            self.pacing.done(now, 0)
            return
        self.pacing.begin(now)
        self.idle.clear()
        self.last_snapshot = snapshot
        folder = self.folder
        assert folder is not None
        self.worker.submit(lambda: self._save_in_thread(folder, snapshot))

    def _save_in_thread(self, folder: DiskFolder, snapshot: Learned) -> None:
        """In the thread."""
        size, error_text = 0, ""
        try:
            data = write_state(snapshot, self.settings_fingerprint)
            size = len(data)
            save(folder, data)
        except OSError as error:
            error_text = error.strerror or str(error)
        except StateError as error:
            error_text = str(error)
        with contextlib.suppress(RuntimeError):  # the program has ended
            self.loop.call_soon_threadsafe(self.mailbox.put_nowait, SaveFinished(folder, size, error_text))

    def _on_save_finished(self, item: SaveFinished, now: float) -> None:
        if item.folder is not self.folder:
            return  # of the folder before SIGHUP moved it: its save says nothing of the one here
        self.idle.set()
        if not item.error:
            self.save_count += 1
            if self.pacing.failures:
                log_event("state-saved-again", folder=self.path, bytes=item.size)
            self.pacing.done(now, item.size)
            return
        self.last_snapshot = None
        wait = self.pacing.failed(now)
        LOG.warning("state-not-saved", folder=self.path, detail=repr(item.error), again_in_s=wait / 1000.0)

    async def _on_folder_changed(self, item: FolderChanged) -> None:
        """To another folder, if that can be had; else the old one stays."""
        self.pacing.pace = item.pace
        if item.folder == self.path:
            return
        opened = await self._open_folder(item.folder)
        if isinstance(opened, str):
            LOG.warning("state-not-moved", folder=item.folder, detail=repr(opened))
            return
        old, (self.folder, files) = self.folder, opened
        self.path = item.folder
        if old is not None:
            self.worker.submit(old.close)  # behind a save that may be under way there
        sequence = decide(files, self.settings_fingerprint, unix_ms()).sequence
        self.snapshots.sequence = max(self.snapshots.sequence, sequence)
        self.last_snapshot, self.pacing = None, Pacing(item.pace)
        self.idle.set()
        log_event("state-moved", folder=self.path)

    async def stop(self) -> None:
        """One last save, if the disk takes it within LAST_SAVE; after ``run`` was cancelled."""
        if self.timer is not None:
            self.timer.cancel()
        if self.folder is None:
            return
        try:
            async with asyncio.timeout(FINAL_SAVE_TIMEOUT):
                await self._wait_for_save()
                await self._begin_save(unix_ms())
                await self._wait_for_save()
        except TimeoutError:
            LOG.warning("state-save-hangs", folder=self.path)
        self.worker.stop()

    async def _wait_for_save(self) -> None:
        while not self.idle.is_set():
            item = await self.mailbox.get()
            if isinstance(item, SaveFinished):
                self._on_save_finished(item, unix_ms())
