"""Checks that names of the users' platform appear only in its adapter."""

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "carobstair"
ADAPTER = SOURCE / "platform"
NAMES = re.compile(
    r"response-seal|not-executed|token-counts|prompt-prefix|expect-instance"
    r"|attempt-id\b|kv-backup|kv-from|length-hint|carobstair-key|engine-load"
    r"|CAROBSTAIR_BOOT|internalPortRange|seedNodes|coldRemainingMs|coldPerS"
    r"|trafficSplit|pathPrefix|kvCapacityTokens|apiKeys|currentRev",
    re.IGNORECASE,
)
# The adapter only translates; growth is a sign that it makes decisions.
MAX_ADAPTER_FRACTION = 0.1


class AdapterTest(unittest.TestCase):
    """Guards against code outside the adapter that depends on the platform."""

    def test_platform_names_appear_only_in_the_adapter(self):
        found = [
            f"{path.relative_to(SOURCE)}:{number}: {match.group()}"
            for path in SOURCE.rglob("*.py")
            if ADAPTER not in path.parents
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if (match := NAMES.search(line))
        ]
        self.assertEqual(found, [])

    def test_adapter_stays_small(self):
        sizes = {
            path: len(path.read_text().splitlines()) for path in SOURCE.rglob("*.py")
        }
        adapter = sum(size for path, size in sizes.items() if ADAPTER in path.parents)
        self.assertLess(adapter, MAX_ADAPTER_FRACTION * sum(sizes.values()))


if __name__ == "__main__":
    unittest.main()
