import re
import unittest
from pathlib import Path

from pydantic import BaseModel

from magnoliapier import manifest
from magnoliapier.reasons import REFUSALS, RefusalReason
from magnoliapier.settings import DEFAULT_SETTINGS

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"


def flatten(values, prefix=""):
    for key, value in values.items():
        if isinstance(value, dict):
            yield from flatten(value, f"{prefix}{key}.")
        else:
            yield f"{prefix}{key}"


class DocsTests(unittest.TestCase):
    """Guards against pages that omit a key or link to a missing file."""

    def test_settings_page_has_every_key(self):
        text = (DOCS / "settings.md").read_text()
        for key in flatten(DEFAULT_SETTINGS):
            self.assertIn(f"`{key}`", text)

    def test_manifest_page_has_every_key(self):
        text = (DOCS / "manifest.md").read_text()
        models = [
            item
            for item in vars(manifest).values()
            if isinstance(item, type)
            and issubclass(item, BaseModel)
            and item.__module__ == manifest.__name__
        ]
        self.assertGreater(len(models), 8)
        for model in models:
            for name in model.model_fields:
                self.assertRegex(text, rf"\b{name}\b")

    def test_linked_files_exist(self):
        pages = [*ROOT.glob("*.md"), *DOCS.rglob("*.md")]
        self.assertGreater(len(pages), 5)
        for page in pages:
            for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
                self.assertTrue((page.parent / target).exists(), f"{page}: {target}")

    def test_design_page_names_every_module(self):
        text = (DOCS / "design.md").read_text()
        for path in (ROOT / "magnoliapier").glob("*.py"):
            if path.stem != "__init__":
                self.assertIn(f"`{path.stem}`", text)

    def test_every_refusal_reason_is_described(self):
        self.assertEqual(set(REFUSALS), set(RefusalReason))
