"""Configures logging: structlog on standard error, one line per event, as text or JSON Lines.

The events are listed in ``docs/ON-CALL.md``.
"""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import MutableMapping
from typing import Any

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
FORMATS = ("text", "json")


def add_timestamp(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Add the local time with milliseconds."""
    now = time.time()
    clock = time.strftime("%Y-%m-%dT%H:%M:%S", time.localtime(now))
    event["timestamp"] = f"{clock}.{int(now * 1000) % 1000:03d}"
    return event


def render_text(_: Any, __: str, event: MutableMapping[str, Any]) -> str:
    """Render ``TIME LEVEL EVENT name=value ...``, followed by the traceback, if there is one."""
    head = f"{event.pop('timestamp')} {event.pop('level').upper()} {event.pop('event')}"
    trace = event.pop("exception", None)
    line = head + "".join(f" {name}={value}" for name, value in event.items())
    return f"{line}\n{trace}" if trace else line


class _LibraryHandler(logging.Handler):
    """Forwards records of the standard ``logging`` module, which libraries use, to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the record as the event ``library``; levels below error become warnings."""
        log = structlog.get_logger()
        level = "error" if record.levelno >= logging.ERROR else "warning"
        getattr(log, level)(
            "library", logger=record.name, text=repr(record.getMessage()), exc_info=record.exc_info
        )


def configure(level: str = "info", form: str = "text") -> None:
    """Set the minimum level and the output format; call once, before anything is logged."""
    renderer: Any = render_text if form == "text" else structlog.processors.JSONRenderer(default=str)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            add_timestamp,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=max(logging.WARNING, LEVELS[level]), handlers=[_LibraryHandler()], force=True)
