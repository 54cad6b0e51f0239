"""Settings of the entry and control processes: defaults, models and loading."""

import copy
import ipaddress
import json
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from magnoliapier.exceptions import SettingsError

MAX_SETTINGS_BYTES = 1_000_000
SECRET_PLACEHOLDER = "********"

DEFAULT_SETTINGS = {
    "name": "entry-1",
    "data_centre": "dc-1",
    "region": "region-1",
    "auth": {"peer_key": "", "operator_key": ""},
    "platform": {"url": "", "token": "", "timeout_s": 2.0},
    "entry": {
        "address": "127.0.0.1:8080",
        "metrics_address": "127.0.0.1:8081",
        "threads": 64,
        "max_connections": 1000,
        "max_body_bytes": 262_144,
        "max_answer_bytes": 1_048_576,
        "max_header_bytes": 16_384,
        "max_buffered_bytes": 67_108_864,
        "caller_timeout_s": 20,
        "max_queue": 2000,
        "connect_timeout_s": 1.0,
        "progress_timeout_s": 5.0,
        "drain_timeout_s": 60.0,
    },
    "control": {
        "address": "127.0.0.1:8090",
        "operator_address": "127.0.0.1:8091",
        "metrics_address": "127.0.0.1:8092",
        "peers": [],
        "planner": True,
        "tick_s": 1.0,
    },
    "log_level": "INFO",
    "trace_file": "",
    "trace_max_bytes": 16_777_216,
    "seed": 0,
}


class StrictModel(BaseModel):
    """A model that rejects unknown keys and numbers that are not finite."""

    model_config = ConfigDict(extra="forbid", allow_inf_nan=False, frozen=True)


def check_address(value):
    """Return ``value`` if it is ``IP:port``; raise ValueError otherwise."""
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError("give an IP address and a port, such as 127.0.0.1:8080")
    ipaddress.ip_address(host.strip("[]"))
    return value


class AuthSettings(StrictModel):
    """Secret keys: ``peer_key`` of the processes, ``operator_key`` of the operators."""

    peer_key: str = ""
    operator_key: str = ""


class PlatformSettings(StrictModel):
    """URL, token and timeout for calls to the platform."""

    url: str
    token: str = ""
    timeout_s: float = Field(gt=0, le=60)


class EntrySettings(StrictModel):
    """Addresses and limits of the entry process."""

    address: str
    metrics_address: str
    threads: int = Field(ge=1, le=1024)
    max_connections: int = Field(ge=1, le=20_000)
    max_body_bytes: int = Field(ge=1, le=16_777_216)
    max_answer_bytes: int = Field(ge=1, le=67_108_864)
    max_header_bytes: int = Field(ge=1024, le=262_144)
    max_buffered_bytes: int = Field(ge=1_048_576, le=1_073_741_824)
    caller_timeout_s: int = Field(ge=1, le=600)
    max_queue: int = Field(ge=1, le=100_000)
    connect_timeout_s: float = Field(gt=0, le=60)
    progress_timeout_s: float = Field(gt=0, le=3600)
    drain_timeout_s: float = Field(ge=0, le=86_400)

    _addresses = field_validator("address", "metrics_address")(check_address)


class PeerSettings(StrictModel):
    """The initial address of another entry host's control process."""

    name: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    address: str

    _addresses = field_validator("address")(check_address)


class ControlSettings(StrictModel):
    """Addresses and peers of the control process; UDP and TCP share ``address``."""

    address: str
    operator_address: str
    metrics_address: str
    peers: list[PeerSettings]
    planner: bool
    tick_s: float = Field(gt=0, le=60)

    _addresses = field_validator("address", "operator_address", "metrics_address")(
        check_address
    )


class Settings(StrictModel):
    """All settings of one entry host."""

    name: str = Field(min_length=1, max_length=64)
    data_centre: str = Field(min_length=1, max_length=64)
    region: str = Field(min_length=1, max_length=64)
    auth: AuthSettings
    platform: PlatformSettings
    entry: EntrySettings
    control: ControlSettings
    log_level: str = Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    trace_file: str
    trace_max_bytes: int = Field(ge=0)
    seed: int = Field(ge=0)

    def public(self):
        """Return the settings as a dict in which a placeholder replaces secrets."""
        values = self.model_dump()
        for section, key in (
            ("auth", "peer_key"),
            ("auth", "operator_key"),
            ("platform", "token"),
        ):
            if values[section][key]:
                values[section][key] = SECRET_PLACEHOLDER
        return values


def warn_about_insecure_settings(settings, log):
    """Log a warning for settings that are valid but insecure."""
    if not settings.auth.peer_key:
        log.warning(
            "peer_key_empty",
            remedy="Set auth.peer_key; without it anyone can forge messages.",
        )


def merge(base, changes):
    """Return a copy of ``base`` with ``changes`` merged in recursively."""
    result = copy.deepcopy(base)
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            result[key] = merge(result[key], value)
        else:
            result[key] = value
    return result


def build_settings(values=None):
    """
    Return :class:`Settings` built from the defaults and a dict of changes.

    Raise SettingsError that lists each wrong key and what is expected.
    """
    try:
        return Settings.model_validate(merge(DEFAULT_SETTINGS, values or {}))
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(str(part) for part in details['loc'])}: {details['msg']}"
            for details in error.errors(include_input=False)
        )
        raise SettingsError(f"Correct the settings: {problems}.") from None


def load_settings(path):
    """Read a JSON settings file; raise SettingsError if it is unusable."""
    path = Path(path)
    try:
        if path.stat().st_size > MAX_SETTINGS_BYTES:
            raise SettingsError(f"Settings file {path} is over 1 MB; make it smaller.")
        values = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"Cannot read settings file {path}: {error.strerror}."
        ) from None
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            f"Settings file {path} is not valid JSON: {error}."
        ) from None
    if not isinstance(values, dict):
        raise SettingsError(f"Settings file {path} must hold a JSON object.")
    return build_settings(values)
