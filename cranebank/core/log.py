"""Structured log lines by structlog, printed to standard error, rate-limited so that no peer can fill a disk.

Each line has an event name and key=value fields (or is JSON, by setting). At most ``burst`` lines of each event are
written in a period; the next line gives the number left out. At level debug, sampled requests are traced from
arrival to answer; these lines are limited by the number of traced requests, so that every trace is complete.
"""

from __future__ import annotations

import contextlib
import logging
import sys
import time
from collections.abc import MutableMapping
from typing import Any

import structlog

from cranebank.core.log_settings import LogSettings

_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
_MAX_EVENTS = 256  # events counted at a time; libraries add names of their own
_MAX_VALUE_LENGTH = 500  # characters of a value; longer ones are cut


class _Sink:
    """Prints lines; never raises, as the reader of the log may have closed it."""

    def msg(self, line: str) -> None:
        with contextlib.suppress(OSError, ValueError):
            print(line, file=sys.stderr, flush=True)

    debug = info = warning = error = msg


def _json(value: Any, **_: Any) -> str:
    import msgspec  # noqa: PLC0415  (loaded already; only this function needs its encoder)

    return msgspec.json.encode(value, enc_hook=str).decode()


class Log:
    """The log of a proxy; its settings can change at run time."""

    def __init__(self, name: str, settings: LogSettings | None = None) -> None:
        self._name = name
        self._windows: dict[str, tuple[int, int]] = {}  # by event: start of its period, lines in it
        self._requests = self._followed = self._period_start = 0
        self.set(settings or LogSettings())

    def set(self, settings: LogSettings) -> None:
        """Apply these settings from now on."""
        self._settings = settings
        self._period = round(settings.period_s * 1e6)
        self._level = _LEVELS[settings.level]
        order = ["at", "level", "proxy", "event"]
        last: Any = (
            structlog.processors.JSONRenderer(serializer=_json)
            if settings.format == "json"
            else structlog.processors.LogfmtRenderer(key_order=order, bool_as_flag=False)
        )
        self._logger = structlog.wrap_logger(
            _Sink(),
            cache_logger_on_first_use=True,
            wrapper_class=structlog.make_filtering_bound_logger(self._level),
            processors=[
                self._rate_limit,
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", key="at"),
                self._sanitise,
                last,
            ],
        )

    def debug(self, event: str, **fields: Any) -> None:
        """Log a step of a traced request; ask ``follow`` first."""
        self._logger.debug(event, **fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an action of an operator, or information for one."""
        self._logger.info(event, **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log a fault that was handled."""
        self._logger.warning(event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log a fault that must not occur."""
        self._logger.error(event, **fields)

    def follow(self) -> bool:
        """Whether to trace the request that has just arrived: one in ``sample``, up to a number per period."""
        if self._level > logging.DEBUG:
            return False
        self._requests += 1
        now = time.monotonic_ns() // 1000
        if now - self._period_start > self._period:
            self._period_start, self._followed = now, 0
        if self._requests % self._settings.sample or self._followed >= self._settings.followed:
            return False
        self._followed += 1
        return True

    def _rate_limit(self, _: Any, method: str, fields: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        if method == "debug" or fields["event"] == "tally":
            return fields  # limited by ``followed`` and by a timer
        event, now = str(fields["event"]), time.monotonic_ns() // 1000
        since, count = self._windows.get(event, (now, 0))
        if now - since > self._period:
            left_out = max(0, count - self._settings.burst)
            if left_out:
                fields["left_out"] = left_out
            since, count = now, 0
        if event not in self._windows and len(self._windows) >= _MAX_EVENTS:
            self._windows.clear()  # guards the memory, at the price of the counts of this period
        self._windows[event] = (since, count + 1)
        if count >= self._settings.burst:
            raise structlog.DropEvent
        return fields

    def _sanitise(self, _: Any, __: str, fields: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Truncate and escape values, which peers may have sent, so that none can break the line."""
        for name, value in fields.items():
            if isinstance(value, str):
                fields[name] = value[:_MAX_VALUE_LENGTH].encode("ascii", "backslashreplace").decode()
        fields["proxy"] = self._name
        return fields


class Handler(logging.Handler):
    """Passes log records of libraries to the log: guards it against floods that a peer causes in a library."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record of a library, with its exception but without the traceback."""
        raised = record.exc_info[1] if record.exc_info else None
        self._log.warning(
            f"library.{record.name}", said=record.getMessage(), **({"raised": repr(raised)} if raised else {})
        )
