"""Checks of a configuration before it is filed.

A document is a change ticket or a routing configuration. `check_routing` and
`check_ticket` run all rules on one that could be read; `unreadable` reports one that
couldn't. A rule only reports what follows from the document, from the one in force,
or from `CheckSettings`.
"""

from carobstair.core.config_check.check import (
    check_routing,
    check_ticket,
    state_of_ticket,
)
from carobstair.core.config_check.errors import MAX_FILED_BYTES, Problem, unreadable
from carobstair.core.config_check.findings import (
    DEFAULT_BODY_MEMORY_BYTES,
    CheckSettings,
    Finding,
    Path,
    Severity,
    format_path,
)
from carobstair.core.config_check.send_limits import Unchecked, unchecked_rules

__all__ = [
    "DEFAULT_BODY_MEMORY_BYTES",
    "MAX_FILED_BYTES",
    "CheckSettings",
    "Finding",
    "Path",
    "Problem",
    "Severity",
    "Unchecked",
    "check_routing",
    "check_ticket",
    "format_path",
    "state_of_ticket",
    "unchecked_rules",
    "unreadable",
]
