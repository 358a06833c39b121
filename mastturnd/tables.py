"""Plain-text tables, the same in a terminal, a file and a pipe; nothing is truncated."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

COLUMN_GAP = "  "


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return lines with aligned columns; an empty cell is shown as `-`, numbers are right-aligned."""
    cells = [[format_cell(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in [list(headers), *cells]) for i in range(len(headers))]
    right_aligned = [bool(cells) and all(is_number(row[i]) for row in cells) for i in range(len(headers))]
    lines = []
    for row in [list(headers), *cells]:
        parts = [
            cell.rjust(width) if side else cell.ljust(width)
            for cell, width, side in zip(row, widths, right_aligned, strict=True)
        ]
        lines.append(COLUMN_GAP.join(parts).rstrip())
    return lines


def format_cell(value: object) -> str:
    """Return the text of a cell."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None or value == "" else str(value)


def is_number(cell: str) -> bool:
    """Return whether a cell is right-aligned: a number, or empty."""
    return cell == "-" or cell.rstrip("!%").replace(".", "", 1).isdigit()
