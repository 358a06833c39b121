"""The page of what the operators ask names code and tests that are there."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "requirements.md").read_text(encoding="utf-8")
PATHS = sorted({path for path in re.findall(r"`((?:\w+/)+(?:\w+\.py)?)(?:::\w+)?`", PAGE)})
TESTS = sorted(set(re.findall(r"`(tests/\w+\.py)::(\w+)`", PAGE)))


@pytest.mark.parametrize("path", PATHS)
def test_what_the_page_names_is_there(path: str) -> None:
    assert (ROOT / path).exists()


@pytest.mark.parametrize(("path", "name"), TESTS)
def test_a_test_that_the_page_names_is_there(path: str, name: str) -> None:
    assert f"def {name}(" in (ROOT / path).read_text(encoding="utf-8")


def test_the_page_names_many() -> None:
    assert len(PATHS) > 30
    assert len(TESTS) > 30
