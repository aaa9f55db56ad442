"""Tests of the refusals and their page."""

import re
import unittest
from pathlib import Path

from carobstair.core.refusals import CATALOGUE, Ran, catalogue_table, refuse

ROOT = Path(__file__).resolve().parent.parent


class RefusalPageTest(unittest.TestCase):
    """Guards against a page that says something else than the routers."""

    def test_page_has_the_catalogue(self):
        page = (ROOT / "docs" / "REFUSALS.md").read_text()
        self.assertIn(catalogue_table(), page)

    def test_every_refusal_in_the_code_is_catalogued_and_used(self):
        used = set()
        for path in (ROOT / "src" / "carobstair").rglob("*.py"):
            text = path.read_text()
            for call in re.finditer(r"refuse\(\s*\"([a-z-]+)\"", text):
                used.add(call.group(1))
            # Names that are chosen before the call.
            used |= set(re.findall(r"name = \"([a-z-]+)\"", text)) & set(CATALOGUE)
            used |= set(re.findall(r"\"([a-z-]+)\" if ", text)) & set(CATALOGUE)
        self.assertEqual(used - set(CATALOGUE), set())
        self.assertEqual(set(CATALOGUE) - used, set())


class TrueRefusalTest(unittest.TestCase):
    """Guards against a "not run" after an attempt that may have run."""

    def test_no_refusal_says_not_run_once_an_attempt_was_sent(self):
        for name in CATALOGUE:
            after_attempt = refuse(name).after_attempt(may_have_run=True)
            self.assertIsNot(after_attempt.kind.ran, Ran.NO, name)
            self.assertEqual(refuse(name).after_attempt(False).kind.name, name)


if __name__ == "__main__":
    unittest.main()
