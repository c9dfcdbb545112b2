"""A second process starts gently beside the one in service, with which it shares its limit of processor time.

At full speed the imports of a start use up what both may use, and the process in service stands still in the
midst of its calls (110 ms were seen). So where a predecessor's handover socket is found, imports pause for as
long as they ran. Only the standard library is used here, since nothing else may be loaded before.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from importlib.machinery import ModuleSpec
from types import ModuleType

SOCKET_NAME, SOCKET_END = "martentide-", ".sock"  # as ``net/handover.py`` names it, with the address between
SLICE = 0.008  # s of processor time between two pauses
PAUSE_SHARE = 1.0  # s of pause for each second of processor time


def predecessor_may_serve(environment: Mapping[str, str]) -> bool:
    """Whether a handover socket lies in ``$TMPDIR``; it may be one that a dead process left."""
    folder = environment.get("TMPDIR")
    try:
        names = os.listdir(folder) if folder else []
    except OSError:
        return False
    return any(name.startswith(SOCKET_NAME) and name.endswith(SOCKET_END) for name in names)


class PacedImports:
    """A finder of modules that finds none, and pauses each time that a slice of processor time is used up."""

    def __init__(
        self, used: Callable[[], float] = time.process_time, pause: Callable[[float], None] = time.sleep
    ) -> None:
        self.used, self.pause = used, pause
        self.since = used()

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        used = self.used() - self.since
        if used >= SLICE:
            self.pause(used * PAUSE_SHARE)
            self.since = self.used()
        return None

    def begin(self) -> None:
        sys.meta_path.insert(0, self)

    def end(self) -> None:
        """From now on imports run at full speed: a pause would hold up the service itself."""
        if self in sys.meta_path:
            sys.meta_path.remove(self)
