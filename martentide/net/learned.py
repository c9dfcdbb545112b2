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

LOCK = "lock"
REACH_LIMIT = 2.0  # s for a folder to be opened, locked and read
LAST_SAVE = 1.0  # s for the save at the end; a disk that takes longer keeps the state before


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
            self.lock = os.open(LOCK, flags, 0o600, dir_fd=self.fd)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        for fd in (self.lock, self.fd):
            if fd >= 0:
                os.close(fd)
        self.lock = self.fd = -1

    def _same(self) -> None:
        """Guards against a folder that was replaced, by a symlink above all: nothing is written elsewhere,
        and nothing where the next start would not look."""
        here = os.stat(self.path, follow_symlinks=False)
        held = os.fstat(self.fd)
        if (here.st_dev, here.st_ino) != (held.st_dev, held.st_ino):
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
        self._same()
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


class Worker:
    """One thread for file work. A daemon: a disk that hangs must not keep the program from its end."""

    def __init__(self) -> None:
        self.work: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="learned-state", daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while (job := self.work.get()) is not None:
            job()

    def put(self, job: Callable[[], None]) -> None:
        self.work.put(job)

    def end(self) -> None:
        self.work.put(None)


@dataclass(frozen=True, slots=True)
class Look:
    """Time to look whether to save."""


@dataclass(frozen=True, slots=True)
class Saved:
    folder: DiskFolder
    size: int
    error: str


@dataclass(frozen=True, slots=True)
class Moved:
    """SIGHUP named another folder."""

    folder: str
    pace: Pace


class Store:
    """The actor. ``start`` reads what is there before the program serves; then it saves until its end."""

    def __init__(
        self, folder: str, pace: Pace, settings: Settings, dispatcher: Dispatcher, seed: int
    ) -> None:
        self.path, self.dispatcher, self.dice = folder, dispatcher, random.Random(seed)
        self.print = fingerprint(settings)
        self.pacing = Pacing(pace)
        self.loop = asyncio.get_running_loop()
        self.mailbox: asyncio.Queue[Look | Saved | Moved] = asyncio.Queue()
        self.worker = Worker()
        self.folder: DiskFolder | None = None
        self.snapshots = Snapshots()
        self.hints: Hints | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last: Learned | None = None
        self.idle = asyncio.Event()
        self.idle.set()
        self.saves = 0

    def settle(self, settings: Settings) -> None:
        """Other settings hold: what is saved from now on was learned under them."""
        self.print = fingerprint(settings)

    # ---- start --------------------------------------------------------------------------------------------

    async def start(self) -> Decision | None:
        """Open the folder and take up what is there; None where it can't be had in time. Never raises."""
        reached = await self._reach(self.path)
        if isinstance(reached, str):
            LOG.warning("state-off", folder=self.path, detail=repr(reached))
            return None
        self.folder, files = reached
        now, begun = unix_ms(), time.perf_counter()
        decision = decide(files, self.print, now)
        load_ms = round((time.perf_counter() - begun) * 1000.0, 2)
        for name, why in decision.refused:
            LOG.warning("state-refused", file=name, detail=repr(why))
        self.snapshots.sequence = decision.sequence
        if decision.state is None:
            log_event("state-start", start=decision.start.value, load_ms=load_ms)
            return decision
        controller = self.dispatcher.controller
        counts, self.hints = restore(controller, decision.state, now, self.dice)
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
        self.dispatcher.event_observers.append(self._heard)
        return decision

    def _list_changed(self, _: object) -> None:
        self.pacing.ask()
        self.mailbox.put_nowait(Look())

    async def _reach(self, path: str) -> tuple[DiskFolder, list[Found]] | str:
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
            async with asyncio.timeout(REACH_LIMIT):
                return await answer
        except TimeoutError:
            return f"no answer within {REACH_LIMIT:.0f} s"

    def _heard(self, now: float, event: Event) -> None:
        assert self.hints is not None
        self.hints.heard(now, event, self.dispatcher.controller)
        if self.hints.over:
            self.dispatcher.event_observers.remove(self._heard)

    # ---- saving -------------------------------------------------------------------------------------------

    def move(self, folder: str, pace: Pace) -> None:
        """SIGHUP: save there, at that pace, from now on."""
        self.mailbox.put_nowait(Moved(folder, pace))

    async def run(self) -> None:
        self.dispatcher.list_observers.append(self._list_changed)
        self._look_at(unix_ms())
        while True:
            item = await self.mailbox.get()
            now = unix_ms()
            match item:
                case Saved():
                    self._saved(item, now)
                case Moved():
                    await self._moved(item)
                case Look():
                    pass
            if self.pacing.hangs(now):
                LOG.warning("state-save-hangs", folder=self.path)
            if self.folder is not None and self.pacing.may_begin(now):
                await self._begin(now)
            self._look_at(unix_ms())

    def _look_at(self, now: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0.01, (self.pacing.due(now) - now) / 1000.0)
        self.timer = self.loop.call_later(delay, self.mailbox.put_nowait, Look())

    async def _begin(self, now: float) -> None:
        """Take a snapshot, slice by slice, and hand it to the thread."""
        whole: Learned | None = None
        slices = self.snapshots.slices(self.dispatcher.controller, now)
        while whole is None:
            whole = next(slices)
            await asyncio.sleep(0)
        if (
            self.last is not None
            and self.last.servers == whole.servers
            and self.last.redials == whole.redials
        ):
            self.pacing.begin(now)  # nothing changed: the file there says the same
            self.pacing.done(now, 0)
            return
        self.pacing.begin(now)
        self.idle.clear()
        self.last = whole
        folder = self.folder
        assert folder is not None
        self.worker.put(lambda: self._save(folder, whole))

    def _save(self, folder: DiskFolder, whole: Learned) -> None:
        """In the thread."""
        size, said = 0, ""
        try:
            data = write_state(whole, self.print)
            size = len(data)
            save(folder, data)
        except OSError as error:
            said = error.strerror or str(error)
        except StateError as error:
            said = str(error)
        with contextlib.suppress(RuntimeError):  # the program has ended
            self.loop.call_soon_threadsafe(self.mailbox.put_nowait, Saved(folder, size, said))

    def _saved(self, item: Saved, now: float) -> None:
        if item.folder is not self.folder:
            return  # of the folder before SIGHUP moved it: its save says nothing of the one here
        self.idle.set()
        if not item.error:
            self.saves += 1
            if self.pacing.failures:
                log_event("state-saved-again", folder=self.path, bytes=item.size)
            self.pacing.done(now, item.size)
            return
        self.last = None
        wait = self.pacing.failed(now)
        LOG.warning("state-not-saved", folder=self.path, detail=repr(item.error), again_in_s=wait / 1000.0)

    async def _moved(self, item: Moved) -> None:
        """To another folder, if that can be had; else the old one stays."""
        self.pacing.pace = item.pace
        if item.folder == self.path:
            return
        reached = await self._reach(item.folder)
        if isinstance(reached, str):
            LOG.warning("state-not-moved", folder=item.folder, detail=repr(reached))
            return
        old, (self.folder, files) = self.folder, reached
        self.path = item.folder
        if old is not None:
            self.worker.put(old.close)  # behind a save that may be under way there
        sequence = decide(files, self.print, unix_ms()).sequence
        self.snapshots.sequence = max(self.snapshots.sequence, sequence)
        self.last, self.pacing = None, Pacing(item.pace)
        self.idle.set()
        log_event("state-moved", folder=self.path)

    async def stop(self) -> None:
        """One last save, if the disk takes it within LAST_SAVE; after ``run`` was cancelled."""
        if self.timer is not None:
            self.timer.cancel()
        if self.folder is None:
            return
        try:
            async with asyncio.timeout(LAST_SAVE):
                await self._await_saved()
                await self._begin(unix_ms())
                await self._await_saved()
        except TimeoutError:
            LOG.warning("state-save-hangs", folder=self.path)
        self.worker.end()

    async def _await_saved(self) -> None:
        while not self.idle.is_set():
            item = await self.mailbox.get()
            if isinstance(item, Saved):
                self._saved(item, unix_ms())
