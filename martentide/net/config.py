"""Loads the proxy's configuration file and the environment variables that override parts of it.

PROXY_CONFIG names the file; PROXY_LISTEN, PROXY_NAME and PROXY_OPERATOR override values in it.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from martentide.codec import CodecError
from martentide.codec.discovery import Notice, read_known
from martentide.interface import Settings
from martentide.settings import SettingsError, check_settings, key_paths, settings_from

if TYPE_CHECKING:
    from martentide.extras import Extras


ENVIRONMENT_OVERRIDES = (("PROXY_LISTEN", "listen"), ("PROXY_NAME", "name"), ("PROXY_OPERATOR", "operator"))


class ConfigError(Exception):
    """An invalid configuration; the message is one line."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy; times of its own fields are seconds."""

    name: str
    listen: Address
    board: Address
    seed: int
    sockets: int
    memory_mb: float
    known_number: int
    known: tuple[Notice, ...]
    settings: Settings
    zones: tuple[str, ...]
    connect_timeout: float
    max_open: int
    keys: frozenset[str]  # key paths of the file, which a reloaded file must have too
    operator: Address | None = None  # address for the operator's calls; None: disabled
    extras: Extras | None = None  # optional features enabled by the extras file


def read_address(text: Any, key: str) -> Address:
    """Parse ``HOST:PORT``. Raises ConfigError that names ``key``."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigError(f"{key}: {text!r} is not HOST:PORT")
    return Address(host, int(port))


def load_config(environment: Mapping[str, str], path: str | None = None, extras: str | None = None) -> Config:
    """Load the configuration file named by ``path`` or PROXY_CONFIG and apply the environment overrides.

    The extras file is named by ``extras`` or MARTENTIDE_EXTRAS; without either there is none.
    Raises ConfigError.
    """
    path = path or environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set, and no --config given")
    try:
        text = Path(path).read_text(encoding="utf-8")
        raw = json.loads(text, parse_constant=reject_constant, parse_float=parse_finite_float)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not a JSON object")
    for variable, key in ENVIRONMENT_OVERRIDES:
        if environment.get(variable):
            raw[key] = environment[variable]
    config = read_config(raw)
    extras = extras or environment.get("MARTENTIDE_EXTRAS")
    if not extras:
        return config
    from martentide.extras import ExtrasError, load_extras  # needs third-party libraries

    try:
        return replace(config, extras=load_extras(extras, config.settings))
    except ExtrasError as error:
        raise ConfigError(str(error)) from None


def parse_finite_float(text: str) -> float:
    """Parse a JSON number. Raises ValueError for one that overflows to infinity."""
    number = float(text)
    if math.isinf(number):
        raise ValueError(f"{text} is out of range")
    return number


def reject_constant(text: str) -> Any:
    """Raise ValueError for NaN and the infinities, which Python's parser would accept."""
    raise ValueError(f"{text} is not a JSON number")


def check_keys(new: Config, running: Config) -> None:
    """Raise ConfigError if the new configuration lacks a key that the running one has."""
    missing = sorted(running.keys - new.keys)
    if missing:
        raise ConfigError(f"{missing[0]}: missing, the running configuration has it")


def read_config(raw: Mapping[str, Any]) -> Config:
    """Validate and convert a decoded configuration file. Raises ConfigError."""
    try:
        check_settings(raw["settings"])
        settings = settings_from(raw["settings"])
        number, known = read_known(raw["known"])
        limits = raw["settings"]["limits"]
        return Config(
            name=str(raw["name"]),
            listen=read_address(raw["listen"], "listen"),
            board=read_address(raw["board"], "board"),
            operator=read_address(raw["operator"], "operator") if raw.get("operator") else None,
            seed=int(str(raw["seed"]), 16),
            sockets=int(raw["limits"]["sockets"]),
            memory_mb=float(raw["limits"]["memory_mb"]),
            known_number=number,
            known=tuple(known),
            settings=settings,
            zones=tuple(str(zone) for zone in raw["settings"]["zones"]),
            connect_timeout=float(limits["connect_timeout_ms"]) / 1000.0,
            max_open=int(limits["max_open"]),
            keys=key_paths({**raw, "known": None}),
        )
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    except CodecError as error:
        raise ConfigError(str(error)) from None
    except KeyError as error:
        raise ConfigError(f"{error.args[0]}: missing") from None
    except (TypeError, ValueError) as error:
        raise ConfigError(f"invalid value: {error}") from None
