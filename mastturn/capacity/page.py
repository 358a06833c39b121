"""Writes the tables into docs/CAPACITY.md between their marks, and draws its pictures."""

from __future__ import annotations

import re
from functools import partial
from pathlib import Path

from mastturn.capacity import pictures
from mastturn.capacity.foreseen import read_fleets
from mastturn.capacity.tables import TABLES, sweep
from mastturn.files import LabError


def _between(filled: str, found: re.Match[str]) -> str:
    return f"{found[1]}\n{filled}\n\n{found[2]}"


def fill(text: str, folder: Path) -> str:
    """The page with each marked table written anew; a table whose figures are not there says so."""
    for name, table in TABLES.items():
        mark = re.compile(rf"(<!-- table {name} -->\n).*?(<!-- end -->)", re.DOTALL)
        try:
            lines = table(folder)
        except (LabError, FileNotFoundError, ValueError) as error:
            lines = [f"(not measured yet: {error})"]
        filled = "\n".join(lines)
        text = mark.sub(partial(_between, filled), text)
    return text


def write(page: Path, folder: Path, drawn: Path) -> list[Path]:
    """Fill the page and draw its pictures; the files written."""
    page.write_text(fill(page.read_text(encoding="utf-8"), folder), encoding="utf-8")
    drawn.mkdir(parents=True, exist_ok=True)
    fleets, charged = read_fleets(folder), read_fleets(folder, charged=True)
    by_name = {name: values for name, values, _ in sweep(folder)}
    sizes = (30, 100, 300)
    swept = [
        (n, by_name["config in force, ms"][i][1], by_name["leaving in force, ms"][i][1])
        for i, n in enumerate(sizes)
    ]
    made = []
    for name, drawing in (
        ("capacity-cost", pictures.cost(fleets)),
        ("capacity-in-force", pictures.in_force(fleets, charged, swept)),
        ("capacity-one-change", pictures.change_cost(fleets)),
    ):
        path = drawn / f"{name}.png"
        drawing.savefig(path, dpi=90)
        made.append(path)
    return [page, *made]
