"""Runs all rules on a document that could be read."""

from __future__ import annotations

from dataclasses import replace

from carobstair.core.config_check.differences import differences
from carobstair.core.config_check.errors import (
    ticket_number,
    ticket_size,
    version_number,
)
from carobstair.core.config_check.findings import CheckSettings, Finding
from carobstair.core.config_check.limits import contradicting_limits
from carobstair.core.config_check.send_limits import limits_on_sends
from carobstair.core.config_check.ticket_differences import ticket_differences
from carobstair.core.config_check.ticket_entries import unmatched_entries
from carobstair.core.config_check.unreachable import unreachable_entries
from carobstair.core.routing import RoutingConfig
from carobstair.core.state import FleetState, Ticket

__all__ = ["check_routing", "check_ticket", "state_of_ticket"]


def check_routing(
    config: RoutingConfig,
    in_force: RoutingConfig | None = None,
    settings: CheckSettings | None = None,
) -> list[Finding]:
    """Return all findings on a routing configuration, errors first.

    Parameters
    ----------
    in_force : RoutingConfig, optional
        Configuration to compare with.
    """
    # Routers start at version 0 and only take newer ones.
    findings = version_number(config.version, in_force.version if in_force else 0)
    findings += unreachable_entries(config)
    settings = settings or CheckSettings()
    findings += contradicting_limits(config, settings)
    findings += limits_on_sends(config, settings)
    if in_force is not None:
        findings += differences(config, in_force)
    return findings


def check_ticket(
    ticket: Ticket, size_bytes: int, in_force: FleetState | None = None
) -> list[Finding]:
    """Return all findings on a ticket, errors first.

    Parameters
    ----------
    size_bytes : int
        Size of the ticket as it is stored.
    in_force : FleetState, optional
        State that the ticket changes.
    """
    old = in_force or FleetState()
    findings = ticket_size(size_bytes) + ticket_number(ticket.number, old.number)
    state = state_of_ticket(ticket, old)
    # Without the state in force, only what may be a first ticket is taken for the whole
    # state; others may refer to objects that earlier tickets stated.
    whole = in_force is not None or (
        ticket.number <= 1 and all((ticket.workspaces, ticket.upstreams, ticket.zones))
    )
    findings += unmatched_entries(ticket, state, whole)
    if in_force is not None:
        findings += ticket_differences(ticket, in_force)
    return findings


def state_of_ticket(ticket: Ticket, old: FleetState | None = None) -> FleetState:
    """Return the state after a ticket, whatever its number.

    The state has number 0, which means that the number in force isn't known.
    """
    old = old or FleetState()
    return replace(old.apply(replace(ticket, number=old.number + 1)), number=0)
