"""Saves learned state to disk and restores it at the start.

The store is an actor with a mailbox; a worker thread does the file operations, so a slow or hanging disk
delays no call. The module is imported only if the extras file enables the store.
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
from martentide.learned.pacing import Pace, SaveScheduler
from martentide.learned.recovery import StartDecision, StateFile, choose_state
from martentide.learned.restore import RestoredHints, restore
from martentide.learned.schema import Learned
from martentide.learned.snapshot import Snapshots
from martentide.net.close_reason import LOG, log_event
from martentide.net.dispatcher import Dispatcher
from martentide.net.links import unix_ms

LOCK_FILE = "lock"
OPEN_TIMEOUT_S = 2.0  # to open, lock and read a folder
FINAL_SAVE_TIMEOUT_S = 1.0  # for the save at shutdown; after a timeout the previous state remains on disk


class DiskFolder:
    """A locked folder. Files are accessed relative to its descriptor, even if the path is replaced later."""

    def __init__(self, path: str) -> None:
        """Create, open and lock the folder. Raises OSError, with EAGAIN if another proxy holds the lock."""
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
        """Release the lock and close the descriptors."""
        for fd in (self.lock, self.fd):
            if fd >= 0:
                os.close(fd)
        self.lock = self.fd = -1

    def _check_not_replaced(self) -> None:
        """Raise ESTALE if the path no longer names the opened folder.

        A replacement, above all by a symlink, must not redirect writes, and nothing may be written to a
        folder that the next start would not read.
        """
        current = os.stat(self.path, follow_symlinks=False)
        opened = os.fstat(self.fd)
        if (current.st_dev, current.st_ino) != (opened.st_dev, opened.st_ino):
            raise OSError(errno.ESTALE, "the folder was replaced by another")

    def read(self, name: str, max_bytes: int) -> bytes | None:
        """Return the content of a file of at most ``max_bytes`` bytes, or None if it doesn't exist.

        Raises OSError, with EFBIG for a larger file.
        """
        try:
            fd = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK, dir_fd=self.fd)
        except FileNotFoundError:
            return None
        with open(fd, "rb") as file:
            size = os.fstat(fd).st_size
            if size > max_bytes:
                raise OSError(errno.EFBIG, f"{size} bytes, expected {max_bytes} at most")
            return file.read(max_bytes)

    def write(self, name: str, data: bytes) -> None:
        """Create or overwrite a file. Raises OSError, with ESTALE if the folder was replaced."""
        self._check_not_replaced()
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW
        fd = os.open(name, flags, 0o600, dir_fd=self.fd)
        with open(fd, "wb", buffering=0) as file:
            view = memoryview(data)
            while view:
                view = view[file.write(view) :]

    def sync(self, name: str) -> None:
        """Flush a file to disk. Raises OSError."""
        fd = os.open(name, os.O_RDONLY | os.O_NOFOLLOW, dir_fd=self.fd)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name. Raises OSError."""
        os.rename(old, new, src_dir_fd=self.fd, dst_dir_fd=self.fd)

    def exists(self, name: str) -> bool:
        """Return whether the folder has an entry of this name, without following symlinks."""
        try:
            os.stat(name, dir_fd=self.fd, follow_symlinks=False)
        except FileNotFoundError:
            return False
        return True

    def sync_folder(self) -> None:
        """Flush the directory entries to disk. Raises OSError."""
        os.fsync(self.fd)


class FileWorker:
    """One thread for file operations; a daemon thread, because a hanging disk must not block the exit."""

    def __init__(self) -> None:
        self.jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="learned-state", daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while (job := self.jobs.get()) is not None:
            job()

    def submit(self, job: Callable[[], None]) -> None:
        """Queue a job behind those already submitted."""
        self.jobs.put(job)

    def stop(self) -> None:
        """End the thread after the jobs already submitted."""
        self.jobs.put(None)


@dataclass(frozen=True, slots=True)
class CheckDue:
    """Requests a check whether a save is due."""


@dataclass(frozen=True, slots=True)
class SaveFinished:
    """A save has ended; ``size`` is in bytes, ``error`` is empty on success."""

    folder: DiskFolder
    size: int
    error: str


@dataclass(frozen=True, slots=True)
class FolderChanged:
    """A reload has set a folder and a pace of saves."""

    folder: str
    pace: Pace


class Store:
    """The actor that restores learned state in ``start``, before the proxy serves, and then saves changes."""

    def __init__(
        self, folder: str, pace: Pace, settings: Settings, dispatcher: Dispatcher, seed: int
    ) -> None:
        self.path, self.dispatcher, self.rng = folder, dispatcher, random.Random(seed)
        self.settings_fingerprint = fingerprint(settings)
        self.pacing = SaveScheduler(pace)
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[CheckDue | SaveFinished | FolderChanged] = asyncio.Queue()
        self.worker = FileWorker()
        self.folder: DiskFolder | None = None
        self.snapshots = Snapshots()
        self.hints: RestoredHints | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last_snapshot: Learned | None = None
        self.idle = asyncio.Event()
        self.idle.set()
        self.save_count = 0

    def change_settings(self, settings: Settings) -> None:
        """Set the settings whose fingerprint is saved with the state that is learned from now on."""
        self.settings_fingerprint = fingerprint(settings)

    # ---- start --------------------------------------------------------------------------------------------

    async def start(self) -> StartDecision | None:
        """Open the folder and restore the saved state into the controller.

        Returns None if the folder can't be opened within OPEN_TIMEOUT_S; the proxy then runs without the
        store. Never raises.
        """
        opened = await self._open_folder(self.path)
        if isinstance(opened, str):
            LOG.warning("state-off", folder=self.path, detail=repr(opened))
            return None
        self.folder, files = opened
        now, load_started = unix_ms(), time.perf_counter()
        decision = choose_state(files, self.settings_fingerprint, now)
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
        self.pacing.request_save()
        self.mailbox.put_nowait(CheckDue())

    async def _open_folder(self, path: str) -> tuple[DiskFolder, list[StateFile]] | str:
        """Open, lock and read a folder; return the reason as text if that fails.

        This runs in a thread of its own, so that a hanging disk blocks neither the start nor a reload.
        """
        answer: asyncio.Future[tuple[DiskFolder, list[StateFile]] | str] = self.loop.create_future()

        def deliver(found: tuple[DiskFolder, list[StateFile]] | str) -> None:
            if not answer.done():
                answer.set_result(found)
            elif not isinstance(found, str):
                found[0].close()  # timed out: the proxy already continues without this folder

        def open_and_load() -> None:
            try:
                folder = DiskFolder(path)
                found: tuple[DiskFolder, list[StateFile]] | str = (folder, load(folder))
            except OSError as error:
                locked = error.errno == errno.EAGAIN
                found = "locked by another proxy" if locked else error.strerror or str(error)
            with contextlib.suppress(RuntimeError):  # the event loop is closed
                self.loop.call_soon_threadsafe(deliver, found)

        threading.Thread(target=open_and_load, name="learned-state-open", daemon=True).start()
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return f"no answer within {OPEN_TIMEOUT_S:.0f} s"

    def _on_event(self, now: float, event: Event) -> None:
        assert self.hints is not None
        self.hints.observe_event(now, event, self.dispatcher.controller)
        if self.hints.exhausted:
            self.dispatcher.event_observers.remove(self._on_event)

    # ---- saving -------------------------------------------------------------------------------------------

    def change_folder(self, folder: str, pace: Pace) -> None:
        """Save to ``folder`` at ``pace`` from now on; called on a reload."""
        self.mailbox.put_nowait(FolderChanged(folder, pace))

    async def run(self) -> None:
        """Save changes at the configured pace until cancelled."""
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
            if self.pacing.check_hung(now):
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
        """Take a snapshot, yielding to the event loop after each slice, and submit it to the worker."""
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
            self.pacing.begin(now)  # nothing changed since the last save
            self.pacing.done(now, 0)
            return
        self.pacing.begin(now)
        self.idle.clear()
        self.last_snapshot = snapshot
        folder = self.folder
        assert folder is not None
        self.worker.submit(lambda: self._save_in_thread(folder, snapshot))

    def _save_in_thread(self, folder: DiskFolder, snapshot: Learned) -> None:
        """Encode and save a snapshot; runs in the worker thread."""
        size, error_text = 0, ""
        try:
            data = write_state(snapshot, self.settings_fingerprint)
            size = len(data)
            save(folder, data)
        except OSError as error:
            error_text = error.strerror or str(error)
        except StateError as error:
            error_text = str(error)
        with contextlib.suppress(RuntimeError):  # the event loop is closed
            self.loop.call_soon_threadsafe(self.mailbox.put_nowait, SaveFinished(folder, size, error_text))

    def _on_save_finished(self, item: SaveFinished, now: float) -> None:
        if item.folder is not self.folder:
            return  # the result of a save in the previous folder doesn't apply to the current one
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
        """Switch to another folder if it can be opened; otherwise keep the current one."""
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
            self.worker.submit(old.close)  # queued behind a save that may still be running
        sequence = choose_state(files, self.settings_fingerprint, unix_ms()).sequence
        self.snapshots.sequence = max(self.snapshots.sequence, sequence)
        self.last_snapshot, self.pacing = None, SaveScheduler(item.pace)
        self.idle.set()
        log_event("state-moved", folder=self.path)

    async def stop(self) -> None:
        """Save once more within FINAL_SAVE_TIMEOUT_S and stop the worker.

        Call after ``run`` was cancelled.
        """
        if self.timer is not None:
            self.timer.cancel()
        if self.folder is None:
            return
        try:
            async with asyncio.timeout(FINAL_SAVE_TIMEOUT_S):
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
