"""Settings from INI files, validated at the start of a program."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

__all__ = [
    "GatewaySettings",
    "InstanceSettings",
    "PeerSettings",
    "PlatformSettings",
    "RouterSettings",
    "SettingsError",
    "effective_settings",
    "load_settings",
]

SECRET_KEYS = frozenset({"operator_key", "server_secret_key", "api_key"})


def _split(value: object) -> object:
    if isinstance(value, str):
        return [part.strip() for part in value.split(",") if part.strip()]
    return value


CommaList = Annotated[list[str], BeforeValidator(_split)]


class SettingsError(Exception):
    """A settings mistake; its text is one line for the operator."""


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(_Section):
    """Section ``[instance]``: who this process is and where it listens."""

    name: str = Field(min_length=1, max_length=63)
    zone: str = Field(min_length=1, max_length=63)
    host: str = "127.0.0.1"
    http_port: int = Field(8080, ge=1, le=65535)
    peer_port: int = Field(8081, ge=1, le=65535)


class PlatformSettings(_Section):
    """Section ``[platform]``: the object API."""

    address: str = Field(pattern=r"^https?://\S+$")
    api_key: str = ""
    timeout_s: float = Field(1.0, gt=0, le=60)
    watchers_per_zone: int = Field(2, ge=1, le=10)


class PeerSettings(_Section):
    """Section ``[peers]``: links between routers."""

    seeds: CommaList = []
    heartbeat_s: float = Field(0.5, gt=0, le=10)
    suspicion_s: float = Field(2.0, gt=0, le=60)
    exchange_s: float = Field(1.0, gt=0, le=10)
    server_public_key: str = ""
    server_secret_key: str = ""


class GatewaySettings(_Section):
    """Section ``[gateway]``: what callers may send and how long they wait."""

    operator_key: str = Field("", description="empty closes the operator interface")
    max_body_bytes: int = Field(2_000_000, ge=1)
    default_deadline_s: float = Field(60.0, gt=0, le=3600)
    quick_output_tokens: int = Field(128, ge=1)
    quick_input_tokens: int = Field(2_000, ge=1)
    quick_fraction: float = Field(0.1, ge=0, lt=1)
    progress_timeout_s: float = Field(2.0, gt=0, le=60)
    first_token_timeout_s: float = Field(5.0, gt=0, le=600)
    shutdown_limit_s: float = Field(30.0, ge=0, le=3600)
    balancer_lag_s: float = Field(1.0, ge=0, le=60)


class RouterSettings(_Section):
    """All settings of ``carobstair-router``."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    gateway: GatewaySettings = GatewaySettings()
    seed: int = 0


_Settings = TypeVar("_Settings", bound=BaseModel)


def load_settings(path: Path, model: type[_Settings]) -> _Settings:
    """Return validated settings.

    Raises
    ------
    SettingsError
        With one line that names the file, section, key, value and what is
        allowed.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except configparser.Error as error:
        text = " ".join(str(error).split())
        raise SettingsError(f"{path}: {text}") from error
    document = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise SettingsError(f"{path}: {_describe(error)}") from error


def effective_settings(settings: BaseModel) -> str:
    """Return settings as INI text with secrets hidden."""
    lines = []
    for section, value in settings:
        if not isinstance(value, BaseModel):
            continue
        lines.append(f"[{section}]")
        for key, item in value:
            shown = ", ".join(item) if isinstance(item, list) else item
            hidden = key in SECRET_KEYS and item
            lines.append(f"{key} = {'(hidden)' if hidden else shown}")
    return "\n".join(lines)


def _describe(error: ValidationError) -> str:
    item = error.errors(include_url=False)[0]
    where = [str(part) for part in item["loc"]]
    section = f"[{where[0]}]" if where else ""
    key = f" {where[1]}" if len(where) > 1 else ""
    value = item.get("input")
    shown = f" = {value}" if isinstance(value, str | int | float) else ""
    if len(where) > 1 and where[1] in SECRET_KEYS:
        shown = " = (hidden)"
    return f"{section}{key}{shown}: {item['msg']}"
