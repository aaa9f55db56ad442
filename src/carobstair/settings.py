"""Settings of the programs, read from INI files and validated at start-up."""

from __future__ import annotations

import configparser
import difflib
import typing
from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from pydantic_core import ErrorDetails

from carobstair.settings_error import SettingsError

__all__ = [
    "CommaList",
    "GatewaySettings",
    "InstanceSettings",
    "PeerSettings",
    "PlatformSettings",
    "ProgramSettings",
    "RouterSettings",
    "Section",
    "SettingsError",
    "effective_settings",
    "load_settings",
]

SECRET_KEYS = frozenset(
    {"operator_key", "metrics_key", "server_secret_key", "api_key", "key"}
)
# Messages may be lost, so one missed heartbeat must not make a peer suspect.
MIN_HEARTBEATS_PER_SUSPICION = 2
CURVE_KEY_CHARACTERS = 40


def _split_commas(value: object) -> object:
    if isinstance(value, str):
        return [part.strip() for part in value.split(",") if part.strip()]
    return value


CommaList = Annotated[list[str], BeforeValidator(_split_commas)]


class Section(BaseModel):
    """One section of an INI file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ProgramSettings(BaseModel):
    """All settings of a program, one field per section.

    A field that maps names to sections is read from the sections ``[field.name]``.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(Section):
    """Section ``[instance]``: identity and listening ports of this process."""

    name: str = Field(min_length=1, max_length=63)
    zone: str = Field(min_length=1, max_length=63)
    host: str = "127.0.0.1"
    http_port: int = Field(8080, ge=1, le=65535)
    peer_port: int = Field(8081, ge=1, le=65535)
    seed: int = 0

    @model_validator(mode="after")
    def _ports_differ(self) -> InstanceSettings:
        if self.http_port == self.peer_port:
            raise ValueError(
                f"peer_port = {self.peer_port}: must differ from http_port"
            )
        return self


class PlatformSettings(Section):
    """Section ``[platform]``: access to the object API."""

    address: str = Field(pattern=r"^https?://\S+$")
    api_key: str = ""
    timeout_s: float = Field(1.0, gt=0, le=60)
    watchers_per_zone: int = Field(2, ge=1, le=10)
    load_slots: int = Field(
        2, ge=1, le=100, description="model loads at a time over the whole fleet"
    )


class PeerSettings(Section):
    """Section ``[peers]``: communication between routers."""

    seeds: CommaList = []
    heartbeat_s: float = Field(0.5, gt=0, le=10)
    suspicion_s: float = Field(2.0, gt=0, le=60)
    exchange_s: float = Field(1.0, gt=0, le=10)
    server_public_key: str = ""
    server_secret_key: str = ""

    @model_validator(mode="after")
    def _suspicion_covers_heartbeats(self) -> PeerSettings:
        minimum_s = MIN_HEARTBEATS_PER_SUSPICION * self.heartbeat_s
        if self.suspicion_s < minimum_s:
            raise ValueError(
                f"suspicion_s = {self.suspicion_s}: must be at least {minimum_s}, "
                f"{MIN_HEARTBEATS_PER_SUSPICION} x heartbeat_s"
            )
        return self

    @model_validator(mode="after")
    def _seeds_are_addresses(self) -> PeerSettings:
        for seed in self.seeds:
            host, _, port = seed.rpartition(":")
            if not host or not port.isdigit() or not 1 <= int(port) <= 65535:
                raise ValueError(
                    f"seeds = {seed}: must be HOST:PORT, separated by commas"
                )
        return self

    @model_validator(mode="after")
    def _keys_come_in_pairs(self) -> PeerSettings:
        lengths = {len(self.server_public_key), len(self.server_secret_key)}
        if lengths not in ({0}, {CURVE_KEY_CHARACTERS}):
            raise ValueError(
                "server_secret_key = (hidden): both server_public_key and "
                f"server_secret_key must have {CURVE_KEY_CHARACTERS} characters, "
                "or both be empty"
            )
        return self


class GatewaySettings(Section):
    """Section ``[gateway]``: request limits, timeouts and keys of the interfaces."""

    operator_key: str = Field("", description="empty closes the operator interface")
    metrics_key: str = Field("", description="empty leaves /metrics open")
    max_body_bytes: int = Field(2_000_000, ge=1)
    default_deadline_s: float = Field(60.0, gt=0, le=3600)
    quick_output_tokens: int = Field(128, ge=1)
    quick_input_tokens: int = Field(2_000, ge=1)
    quick_fraction: float = Field(0.1, ge=0, lt=1)
    progress_timeout_s: float = Field(2.0, gt=0, le=60)
    body_timeout_s: float = Field(15.0, gt=0, le=600)
    first_token_timeout_s: float = Field(5.0, gt=0, le=600)
    shutdown_limit_s: float = Field(30.0, ge=0, le=3600)
    balancer_lag_s: float = Field(1.0, ge=0, le=60)

    @model_validator(mode="after")
    def _keys_differ(self) -> GatewaySettings:
        if self.metrics_key and self.metrics_key == self.operator_key:
            raise ValueError(
                "metrics_key = (hidden): must differ from operator_key, which "
                "also files tickets"
            )
        return self


class RouterSettings(Section):
    """All settings of ``carobstair-router``."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    gateway: GatewaySettings = GatewaySettings()

    @property
    def seed(self) -> int:
        """Seed of the random number generators of this process."""
        return self.instance.seed


_Settings = TypeVar("_Settings", bound=ProgramSettings)


def load_settings(path: Path, model: type[_Settings]) -> _Settings:
    """Return validated settings.

    Raises
    ------
    SettingsError
        The message is one line with the file, section, key, value and what is
        allowed.
    """
    # Disables the special [DEFAULT] section, which adds its keys to all others.
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (configparser.Error, UnicodeDecodeError) as error:
        text = " ".join(str(error).split())
        raise SettingsError(f"{path}: {text}") from error
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        return model.model_validate(_nest_groups(sections, model))
    except ValidationError as error:
        item = error.errors(include_url=False)[0]
        raise SettingsError(f"{path}: {_describe(item, model)}") from error


def effective_settings(settings: ProgramSettings) -> str:
    """Return the effective settings as INI text with secrets hidden."""
    lines = []
    for name, value in settings:
        groups = value.items() if isinstance(value, dict) else [("", value)]
        for member, section in groups:
            lines.append(f"[{name}.{member}]" if member else f"[{name}]")
            for key, item in section:
                shown = ", ".join(item) if isinstance(item, list) else item
                hidden = key in SECRET_KEYS and item
                lines.append(f"{key} = {'(hidden)' if hidden else shown}")
    return "\n".join(lines)


def _nest_groups(
    sections: dict[str, dict[str, str]], model: type[ProgramSettings]
) -> dict[str, dict]:
    """Return the input of a model, with sections ``[group.name]`` nested by group."""
    document: dict[str, dict] = {}
    for name, values in sections.items():
        group, dot, member = name.partition(".")
        if dot and member and _group_section(model, group):
            document.setdefault(group, {})[member] = values
        else:
            document[name] = values
    return document


def _group_section(model: type[ProgramSettings], name: str) -> type[Section] | None:
    field = model.model_fields.get(name)
    if field is None or typing.get_origin(field.annotation) is not dict:
        return None
    return typing.get_args(field.annotation)[1]


def _describe(item: ErrorDetails, model: type[ProgramSettings]) -> str:
    location = [str(part) for part in item["loc"]]
    if not location:
        return item["msg"].removeprefix("Value error, ")
    group = _group_section(model, location[0])
    depth = 2 if group and len(location) > 1 else 1
    name = f"[{'.'.join(location[:depth])}]"
    if depth == len(location):
        if item["type"] == "extra_forbidden":
            return f"{name}: unknown section; allowed: {_section_names(model)}"
        if item["type"] == "missing":
            return f"{name}: the section is missing and required"
        return f"{name} {item['msg'].removeprefix('Value error, ')}"
    section = group or model.model_fields[location[0]].annotation
    return f"{name} {_describe_key(item, location[depth], section)}"


def _describe_key(item: ErrorDetails, key: str, section: type[Section]) -> str:
    if item["type"] == "missing":
        return f"{key}: the key is missing and required"
    shown = "(hidden)" if _may_be_secret(key) else item["input"]
    if item["type"] == "extra_forbidden":
        allowed = ", ".join(section.model_fields)
        return f"{key} = {shown}: unknown key; allowed: {allowed}"
    if isinstance(shown, list):
        shown = ", ".join(map(str, shown))
    return f"{key} = {shown}: {item['msg'].removeprefix('Value error, ')}"


def _may_be_secret(key: str) -> bool:
    """Return whether a key is, or may be a misspelling of, a secret key."""
    return bool(difflib.get_close_matches(key, SECRET_KEYS, cutoff=0.7))


def _section_names(model: type[ProgramSettings]) -> str:
    return ", ".join(
        f"{name}.NAME" if _group_section(model, name) else name
        for name in model.model_fields
    )
