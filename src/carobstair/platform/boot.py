"""Boot settings: the file that the users' platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic.alias_generators import to_camel

from carobstair.core.admission import AdmissionSettings
from carobstair.core.directory import DirectorySettings
from carobstair.core.overload import OverloadSettings
from carobstair.core.rollouts import RolloutSettings
from carobstair.core.send_limits import SendLimitSettings
from carobstair.edge.settings import (
    EdgeSettings,
    ListenSettings,
    ShutdownSettings,
    SyncSettings,
)
from carobstair.settings_error import SettingsError

__all__ = ["BOOT_VARIABLE", "boot_path", "load_boot_settings", "settings_stamp"]

BOOT_VARIABLE = "CAROBSTAIR_BOOT"
# Offsets of the router's own ports in the internal port range of the platform.
PEER_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1
HANDOFF_PORT_OFFSET = 2
# Names deployments whose callers compete for too little room.
PRESSURE = "pressure"
# Objectives count to the first token, which waits for a slot at a full engine.
TARGET_SLOTS_USED = 0.9
# A new upstream is used by then, even if no peer tells of it.
MAX_UPSTREAMS_PAUSE_S = 1.5
# Resident size of a started process, and what is left to the objects of its open
# requests and to fragmentation. The rest is divided between the kinds of memory.
BASE_MEMORY_MB = 66
RESERVED_MEMORY_MB = 28
# For bodies that are read without waiting for room.
SMALL_BODY_MEMORY_MB = 6
BODY_MEMORY_SHARE = 0.55
MIN_BODY_MEMORY_MB = 16
# For unfinished heads, pipelined requests and unread answers. Connections of peers get
# half as much again.
CONNECTION_MEMORY_SHARE = 0.25
MIN_CONNECTION_MEMORY_MB = 8
# For answers that are passed on when they are whole.
ANSWER_MEMORY_SHARE = 0.05
MIN_ANSWER_MEMORY_MB = 3
UNSENT_MEMORY_SHARE = 0.025
MIN_UNSENT_MEMORY_MB = 1
# Of the sockets, callers and peers may take these shares. A third is for upstreams,
# and the store needs a few.
CALLER_SOCKET_SHARE = 9 / 16
PEER_SOCKET_SHARE = 0.1
# Peers hand over few requests each, and a router is idle that takes them.
HANDOFF_SOCKET_SHARE = 0.1
# Enough for a fleet of a few dozen routers, whatever the limit on descriptors.
MIN_PEER_SOCKETS = 64
# Of the process's descriptor limit, the platform reserves these for files.
RESERVED_DESCRIPTORS = 200
# In the list of contracts where roll-outs are in force.
ROLLOUT_CONTRACT = "rollout"
# Deployments that name one of these get early refusals for idle peers, homes of prompt
# parts, few routers that watch the store, and admission by room.
LOADED_CONTRACTS = frozenset({PRESSURE, ROLLOUT_CONTRACT})
# With fewer descriptors than this a process can't serve any caller.
MIN_SOCKETS = 100


class _BootModel(BaseModel):
    # Unknown fields are ignored because the platform may add new ones.
    model_config = ConfigDict(extra="ignore", alias_generator=to_camel)


class _Listen(_BootModel):
    front: str = Field(pattern=r"^[^:\s]+:\d{1,5}$")
    ready: str = Field(pattern=r"^[^:\s]+:\d{1,5}$")


class _Platform(_BootModel):
    address: str = Field(pattern=r"^[^:\s]+:\d{1,5}$")


class _Bounds(_BootModel):
    grace_s: float = Field(8.0, gt=0)
    retry_budget_ratio: float = Field(0.2, ge=0)
    retry_window_s: float = Field(10.0, gt=0)
    retry_slack: float = Field(50.0, ge=0)
    cold_overshoot: float = Field(1.5, ge=0)
    cold_slack: float = Field(5.0, ge=0)
    drain_timeout_ms: float = Field(2000.0, gt=0)
    exposure_share: float = Field(0.1, gt=0, le=1)
    exposure_slack: float = Field(50.0, ge=0)
    rollback_ms: float = Field(5000.0, gt=0)


class _Limits(_BootModel):
    max_fds: int = Field(4_096, ge=0)
    memory_mb: int = Field(200, ge=0)


class _Boot(_BootModel):
    node_name: str = Field(min_length=1)
    ip_address: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    internal_port_range: list[int] = Field(min_length=2, max_length=2)
    # Control addresses of a few instances. Only their hosts are used: peers listen
    # on the internal ports.
    seed_nodes: list[str] = []
    listen: _Listen
    platform: _Platform
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    # Parts of the platform's rules that are in force; others may be added.
    contracts: list[object] = []


def boot_path() -> Path | None:
    """Return the path of the boot settings, or None if the platform gave none."""
    value = os.environ.get(BOOT_VARIABLE)
    return Path(value) if value else None


def load_boot_settings(path: Path) -> EdgeSettings:
    """Return the settings from a boot settings file.

    Raises
    ------
    SettingsError
        The message is one line with the field, its value and what is allowed.
    """
    try:
        boot = _Boot.model_validate(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    except ValidationError as error:
        first = error.errors()[0]
        name = ".".join(map(str, first["loc"]))
        raise SettingsError(
            f"{path}: {name} = {first['input']!r}: {first['msg']}"
        ) from error
    return _to_settings(boot)


def settings_stamp(path: Path) -> tuple[int, int] | None:
    """Return the modification time and size of a file, or None if it is missing."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def _to_settings(boot: _Boot) -> EdgeSettings:
    ports = boot.internal_port_range
    peer_port = ports[0] + PEER_PORT_OFFSET
    bounds = boot.bounds
    sockets = max(MIN_SOCKETS, boot.limits.max_fds - RESERVED_DESCRIPTORS)
    is_loaded = any(c in LOADED_CONTRACTS for c in boot.contracts if isinstance(c, str))
    return EdgeSettings(
        name=boot.node_name,
        zone=boot.zone,
        listen=ListenSettings(
            host=boot.ip_address,
            callers_port=_port(boot.listen.front),
            ready_port=_port(boot.listen.ready),
            peer_port=peer_port,
            metrics_port=ports[0] + METRICS_PORT_OFFSET,
            handoff_port=_handoff_port(ports),
            keep_alive_limit=sockets // 2,
            max_connections=int(CALLER_SOCKET_SHARE * sockets),
            max_peer_connections=max(
                MIN_PEER_SOCKETS, int(PEER_SOCKET_SHARE * sockets)
            ),
            max_handoff_connections=max(
                MIN_PEER_SOCKETS, int(HANDOFF_SOCKET_SHARE * sockets)
            ),
        ),
        sync=SyncSettings(
            store_address=boot.platform.address,
            seeds=[
                f"{seed.rpartition(':')[0]}:{peer_port}" for seed in boot.seed_nodes
            ],
            # Leaves as much for requests that are on their way to a leaving upstream.
            max_upstreams_pause_s=min(
                bounds.drain_timeout_ms / 2000, MAX_UPSTREAMS_PAUSE_S
            ),
        ),
        stop=ShutdownSettings(grace_s=bounds.grace_s),
        send_limits=SendLimitSettings(
            bounds.cold_overshoot,
            bounds.cold_slack,
            bounds.retry_budget_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
        ),
        admission=AdmissionSettings(
            target_slots_used=TARGET_SLOTS_USED,
            work_conserving=is_loaded,
        ),
        overload=OverloadSettings(
            redirect=is_loaded, hand_off=PRESSURE in boot.contracts
        ),
        # Requests that are on their way need the rest of the time.
        directory=DirectorySettings(leaving_use_s=bounds.drain_timeout_ms / 2000),
        # A request needs one connection to its caller and one to an upstream.
        max_open_requests=sockets // 3,
        **_memory_bounds(boot.limits.memory_mb),
        rollouts=_rollouts(boot),
    )


def _memory_bounds(memory_mb: int) -> dict[str, int]:
    """Return the settings that divide the memory of a process."""
    fixed_mb = BASE_MEMORY_MB + RESERVED_MEMORY_MB + SMALL_BODY_MEMORY_MB
    shared_mb = memory_mb - fixed_mb

    def part_bytes(share: float, least_mb: int) -> int:
        return max(least_mb, int(share * shared_mb)) * 1_000_000

    return {
        "max_small_body_memory_bytes": SMALL_BODY_MEMORY_MB * 1_000_000,
        "max_body_memory_bytes": part_bytes(BODY_MEMORY_SHARE, MIN_BODY_MEMORY_MB),
        "max_answer_memory_bytes": part_bytes(
            ANSWER_MEMORY_SHARE, MIN_ANSWER_MEMORY_MB
        ),
        "max_connection_memory_bytes": part_bytes(
            CONNECTION_MEMORY_SHARE, MIN_CONNECTION_MEMORY_MB
        ),
        "max_unsent_memory_bytes": part_bytes(
            UNSENT_MEMORY_SHARE, MIN_UNSENT_MEMORY_MB
        ),
    }


def _rollouts(boot: _Boot) -> RolloutSettings | None:
    if ROLLOUT_CONTRACT not in boot.contracts:
        return None
    bounds = boot.bounds
    return RolloutSettings(
        bounds.exposure_share, bounds.exposure_slack, bounds.rollback_ms / 1000
    )


def _handoff_port(ports: list[int]) -> int:
    """Return the port for requests from peers; 0 if the range is too short for it."""
    port = ports[0] + HANDOFF_PORT_OFFSET
    return port if port <= ports[1] else 0


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])
