"""Data flows one way: the floors of the program, and the rooms of the emulator, import nothing above them."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
ABOVE = {
    "umberworks": {"fleet", "passpost", "mastturn"},
    "fleet": {"umberworks", "passpost", "mastturn"},
    "passpost": {"mastturn"},
}


def imports(path: Path) -> set[str]:
    """Every module that a file imports, wherever and for whatever it does so."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
        elif isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
    return found


@pytest.mark.parametrize("floor", ABOVE)
def test_no_floor_knows_of_one_above(floor: str) -> None:
    for path in (ROOT / floor).rglob("*.py"):
        tops = {name.split(".")[0] for name in imports(path)}
        assert not tops & ABOVE[floor], path


@pytest.mark.parametrize(
    "package", ["mastturn/emulator", "mastturn/registry", "mastturn/chaos", "fleet/registry"]
)
def test_no_files_of_a_room_import_each_other_in_a_circle(package: str) -> None:
    name = package.replace("/", ".") + "."
    edges = {
        path.stem: {m.removeprefix(name).split(".")[0] for m in imports(path) if m.startswith(name)}
        for path in (ROOT / package).glob("*.py")
    }
    while edges:
        free = [stem for stem, uses in edges.items() if not uses & set(edges)]
        assert free, f"a circle among {sorted(edges)}"
        for stem in free:
            del edges[stem]


def test_the_decisions_use_no_clock_no_socket_and_no_chance_but_their_seeds() -> None:
    for path in [*(ROOT / "fleet").rglob("*.py"), *(ROOT / "umberworks").glob("*.py")]:
        if path.stem != "simhost":
            assert not imports(path) & {"time", "datetime", "socket", "asyncio", "os", "threading"}, path
