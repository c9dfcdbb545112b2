"""The log: structlog on standard error, one line an event, as text (docs/ON-CALL.md) or as JSON Lines."""

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
    """Time of the machine's zone, with milliseconds."""
    now = time.time()
    clock = time.strftime("%Y-%m-%dT%H:%M:%S", time.localtime(now))
    event["timestamp"] = f"{clock}.{int(now * 1000) % 1000:03d}"
    return event


def render_text(_: Any, __: str, event: MutableMapping[str, Any]) -> str:
    """``TIME LEVEL EVENT name=value ...``, and a trace, if there is one, on the lines behind."""
    head = f"{event.pop('timestamp')} {event.pop('level').upper()} {event.pop('event')}"
    trace = event.pop("exception", None)
    line = head + "".join(f" {name}={value}" for name, value in event.items())
    return f"{line}\n{trace}" if trace else line


class _LibraryHandler(logging.Handler):
    """Lines of libraries that log by the standard library, in the same form and on the same stream."""

    def emit(self, record: logging.LogRecord) -> None:
        log = structlog.get_logger()
        level = "error" if record.levelno >= logging.ERROR else "warning"
        getattr(log, level)(
            "library", logger=record.name, text=repr(record.getMessage()), exc_info=record.exc_info
        )


def configure(level: str = "info", form: str = "text") -> None:
    """Set the least level shown and the form; called once, before anything is logged."""
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
