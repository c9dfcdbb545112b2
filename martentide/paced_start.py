"""Throttles the imports of a process that starts beside a predecessor in service.

Both processes share one limit of processor time. Imports at full speed exhaust it and stall the process in
service in the middle of calls (by 110 ms in one case). Therefore, if a predecessor's handover socket exists,
imports pause for as long as they ran. This module uses only the standard library, since nothing else may be
imported before it.
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
)  # around the address, as in ``net/handover.py``
CPU_SLICE = 0.008  # s of processor time between pauses
PAUSE_RATIO = 1.0  # s of pause per second of processor time


def predecessor_may_serve(environment: Mapping[str, str]) -> bool:
    """Return whether ``$TMPDIR`` has a handover socket, which may also be a stale one."""
    folder = environment.get("TMPDIR")
    try:
        names = os.listdir(folder) if folder else []
    except OSError:
        return False
    return any(name.startswith(SOCKET_PREFIX) and name.endswith(SOCKET_SUFFIX) for name in names)


class PacedImports:
    """An import finder that finds nothing and pauses whenever a slice of processor time is used up."""

    def __init__(
        self, cpu_time: Callable[[], float] = time.process_time, pause: Callable[[float], None] = time.sleep
    ) -> None:
        self.cpu_time, self.pause = cpu_time, pause
        self.slice_started_at = cpu_time()

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Pause if a slice is used up, and leave the import to the other finders."""
        used = self.cpu_time() - self.slice_started_at
        if used >= CPU_SLICE:
            self.pause(used * PAUSE_RATIO)
            self.slice_started_at = self.cpu_time()
        return None

    def install(self) -> None:
        """Start to throttle imports."""
        sys.meta_path.insert(0, self)

    def uninstall(self) -> None:
        """Stop throttling; after the start a pause would delay the service itself."""
        if self in sys.meta_path:
            sys.meta_path.remove(self)
