"""Prints how many days of the journal had each kind of fault, by site.

    python bench/played_kinds.py [ID ...]

Without ids, all entries of the journal are counted. The number in brackets is that of
the days with a violated rule.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from pathlib import Path

JOURNAL = Path(__file__).resolve().parent.parent / "journal"


def count_days(ids: set[str]) -> dict[str, Counter]:
    """Return days, and days with a violated rule, by site and kind of fault."""
    sites: dict[str, Counter] = defaultdict(Counter)
    for path in sorted(JOURNAL.glob("*.json")):
        entry = json.loads(path.read_text())
        if ids and entry["id"] not in ids:
            continue
        for day in entry["days"]:
            counts = sites[day.get("site") or entry["site"] or "?"]
            for kind in {"(all)", *(day.get("troubles") or ())}:
                counts[kind] += 1
                counts[kind, "broken"] += bool(day.get("rules"))
    return sites


def main() -> None:
    """Print the table."""
    sites = count_days(set(sys.argv[1:]))
    columns = sorted(sites)
    print(f"| kind | {' | '.join(columns)} |")
    print(f"| --- |{' --- |' * len(columns)}")
    kinds = {kind for counts in sites.values() for kind in counts}
    for kind in sorted(kind for kind in kinds if isinstance(kind, str)):
        cells = []
        for site in columns:
            days_with_violation = sites[site][kind, "broken"]
            cells.append(
                f"{sites[site][kind]}"
                + (f" ({days_with_violation})" if days_with_violation else "")
            )
        print(f"| {kind} | {' | '.join(cells)} |")


if __name__ == "__main__":
    main()
