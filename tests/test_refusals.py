"""Tests of the refusals and their documentation."""

import re
import unittest
from pathlib import Path

from carobstair.core.refusals import CATALOGUE, Ran, catalogue_table, refuse

ROOT = Path(__file__).resolve().parent.parent


class RefusalDocumentationTest(unittest.TestCase):
    """Guards against documentation that differs from what routers send."""

    def test_documentation_contains_the_catalogue(self):
        page = (ROOT / "docs" / "REFUSALS.md").read_text()
        self.assertIn(catalogue_table(), page)

    def test_every_refusal_in_the_code_is_catalogued_and_used(self):
        used = set()
        for path in (ROOT / "src" / "carobstair").rglob("*.py"):
            text = path.read_text()
            for call in re.finditer(r"refuse\(\s*\"([a-z-]+)\"", text):
                used.add(call.group(1))
            # Names that are assigned to a variable or selected by a condition.
            used |= set(re.findall(r"name = \"([a-z-]+)\"", text)) & set(CATALOGUE)
            used |= set(re.findall(r"\"([a-z-]+)\" if ", text)) & set(CATALOGUE)
        self.assertEqual(used - set(CATALOGUE), set())
        self.assertEqual(set(CATALOGUE) - used, set())


class RefusalRanTest(unittest.TestCase):
    """Guards against refusals that say "not run" though an attempt may have run."""

    def test_no_refusal_says_not_run_once_an_attempt_was_sent(self):
        for name in CATALOGUE:
            after_attempt = refuse(name).after_attempt(may_have_run=True)
            self.assertIsNot(after_attempt.kind.ran, Ran.NO, name)
            self.assertEqual(refuse(name).after_attempt(False).kind.name, name)


if __name__ == "__main__":
    unittest.main()
