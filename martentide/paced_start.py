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

SOCKET_PREFIX, SOCKET_SUFFIX = (
    "martentide-",
    ".sock",
)  # as ``net/handover.py`` names it, with the address between
CPU_SLICE = 0.008  # s of processor time between two pauses
PAUSE_RATIO = 1.0  # s of pause for each second of processor time


def predecessor_may_serve(environment: Mapping[str, str]) -> bool:
    """Whether a handover socket lies in ``$TMPDIR``; it may be one that a dead process left."""
    folder = environment.get("TMPDIR")
    try:
        names = os.listdir(folder) if folder else []
    except OSError:
        return False
    return any(name.startswith(SOCKET_PREFIX) and name.endswith(SOCKET_SUFFIX) for name in names)


class PacedImports:
    """A finder of modules that finds none, and pauses each time that a slice of processor time is used up."""

    def __init__(
        self, cpu_time: Callable[[], float] = time.process_time, pause: Callable[[float], None] = time.sleep
    ) -> None:
        self.cpu_time, self.pause = cpu_time, pause
        self.slice_started_at = cpu_time()

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        used = self.cpu_time() - self.slice_started_at
        if used >= CPU_SLICE:
            self.pause(used * PAUSE_RATIO)
            self.slice_started_at = self.cpu_time()
        return None

    def install(self) -> None:
        sys.meta_path.insert(0, self)

    def uninstall(self) -> None:
        """From now on imports run at full speed: a pause would hold up the service itself."""
        if self in sys.meta_path:
            sys.meta_path.remove(self)
