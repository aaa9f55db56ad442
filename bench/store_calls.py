"""Measures store calls per second at 3 to 48 routers, on virtual time.

Run with ``python bench/store_calls.py``; it takes about a minute and exits with 1
if the calls exceed a bound that doesn't depend on the size of the fleet.
"""

from __future__ import annotations

import sys
from collections import Counter

from carobstair.core.state import AvailabilityZone, Ticket
from carobstair.standins.agent_fleet import AgentFleet

SIZES = (3, 6, 12, 24, 48)
ZONES = 3
SETTLE_S = 20.0
WINDOW_S = 60.0
TICKET_EVERY_S = 10.0
# Each zone has two watchers that list every 2 s, and one router reads the epoch
# and the instance list every 2 s; a ticket adds its list, its write and a
# confirming list per watcher.
STEADY_BOUND_PER_S = ZONES * 2 * 0.5 + 2 * 0.5
TICKET_CALLS = 2 + ZONES * 2


def measure(size: int) -> tuple[Counter, float, float]:
    """Return calls by kind, and bytes and messages sent per node and second."""
    fleet = AgentFleet({f"n{i}": f"z{i % ZONES}" for i in range(size)}, seed=size)
    fleet.start_all()
    fleet.run(SETTLE_S)
    fleet.store.calls.clear()
    fleet.sent_messages.clear()
    fleet.count_bytes = True
    for number in range(int(WINDOW_S / TICKET_EVERY_S)):
        zones = {"z0": AvailabilityZone("z0", number % 2 == 0)}
        fleet.file(f"n{number % size}", Ticket(0, f"s{number}", zones=zones))
        fleet.run(TICKET_EVERY_S)
    per_node_s = size * WINDOW_S
    sent = fleet.sent_bytes.total() / per_node_s
    return fleet.store.calls, sent, fleet.sent_messages.total() / per_node_s


def main() -> int:
    """Print a table and return the exit status."""
    bound = STEADY_BOUND_PER_S + TICKET_CALLS / TICKET_EVERY_S
    print(f"{ZONES} zones, a ticket every {TICKET_EVERY_S:.0f} s; bound {bound:.1f}/s")
    print("nodes  calls/s  get  list  write  watch  instances  bytes/node/s  msgs")
    worst = 0.0
    for size in SIZES:
        calls, sent, messages = measure(size)
        total = calls.total() / WINDOW_S
        worst = max(worst, total)
        writes = calls["StoreCreate"] + calls["StoreUpdate"]
        kinds = (
            calls["StoreGet"],
            calls["StoreList"],
            writes,
            calls["WatchOpen"],
            calls["StoreInstances"],
        )
        shown = "  ".join(f"{count / WINDOW_S:.2f}" for count in kinds)
        print(f"{size:5d}  {total:7.2f}  {shown}  {sent:8.0f}  {messages:.2f}")
    print("within the bound" if worst <= bound else "over the bound")
    return 0 if worst <= bound else 1


if __name__ == "__main__":
    sys.exit(main())
