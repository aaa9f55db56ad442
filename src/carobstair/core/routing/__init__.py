"""Which route, service and workspace a request belongs to, by its target and its key.

`RoutingTable` looks up a configuration; `read_path` returns the path of a target that
it is asked for.
"""

from carobstair.core.routing.table import (
    EngineShape,
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfig,
    RoutingTable,
    ServicePool,
    WorkspaceKeys,
)
from carobstair.core.routing.target import AmbiguousTarget, read_path

__all__ = [
    "AmbiguousTarget",
    "EngineShape",
    "RequestKind",
    "RequestLimits",
    "Route",
    "RoutingConfig",
    "RoutingTable",
    "ServicePool",
    "WorkspaceKeys",
    "read_path",
]
