"""Crash-safe replacement of the state file: the steps are ordered so that a complete state always remains.

    write state.new, fsync it, rename state -> state.old, rename state.new -> state, fsync the directory

If the process dies at any step, ``state`` or ``state.old`` is complete. The steps run on a ``Folder``: the
disk in service, a model of it in tests, where any step can fail or be the last.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from martentide.learned.codec import MAX_FILE_BYTES
from martentide.learned.recovery import StateFile

NEW, STATE, OLD = "state.new", "state", "state.old"


class Folder(Protocol):
    """A directory. Every method raises OSError as the system does."""

    def read(self, name: str, max_bytes: int) -> bytes | None:
        """Return the contents, None if there is no file. Raises OSError (EFBIG) above ``max_bytes`` bytes."""

    def write(self, name: str, data: bytes) -> None:
        """Create or truncate the file and write all of ``data``."""
        ...

    def sync(self, name: str) -> None:
        """Flush the file to the disk."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename atomically, replacing an existing ``new``."""
        ...

    def exists(self, name: str) -> bool:
        """Return whether the file exists."""
        ...

    def sync_folder(self) -> None:
        """Flush the directory entries to the disk."""
        ...


def save(folder: Folder, data: bytes, step: Callable[[str], None] = lambda _: None) -> None:
    """Replace the newest state by ``data``; ``step`` is called with the name of each step before it runs."""
    step("write")
    folder.write(NEW, data)
    step("sync")
    folder.sync(NEW)
    if folder.exists(STATE):
        step("keep-old")
        folder.rename(STATE, OLD)
    step("rename")
    folder.rename(NEW, STATE)
    step("sync-folder")
    folder.sync_folder()


STEPS = ("write", "sync", "keep-old", "rename", "sync-folder")


def load(folder: Folder) -> list[StateFile]:
    """Return both generations, newest first, with the error of a file that cannot be read."""
    found = []
    for name in (STATE, OLD):
        try:
            found.append(StateFile(name, folder.read(name, MAX_FILE_BYTES)))
        except OSError as error:
            found.append(StateFile(name, None, error.strerror or str(error)))
    return found
