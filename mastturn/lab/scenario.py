"""Reads scenarios: TOML files that ship with the package, or user files of the same format.

A scenario sets its site, load, faults and fleet sizes; `KIND-SIZE` names one at one size. Values are checked
when read; an error names the file, the key and the allowed range.
"""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from importlib import resources
from pathlib import Path

import msgspec

from mastturn.emulator.chance import Stream
from mastturn.emulator.day import Day, Fleet, draw
from mastturn.emulator.site import Range, Site, span
from mastturn.emulator.troubles import Trouble
from mastturn.files import LabError, check_ranges, decode

SHIPPED = resources.files("mastturn.lab")
_NAME = re.compile(r"(?P<kind>[a-z0-9-]+?)-(?P<size>\d+)")


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet of one size, as a TOML table."""

    balancers_front: int
    machines_front: int
    stretch: float
    uneven: float
    length_s: float


class ScenarioFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema of a scenario file."""

    title: str
    load_share: Range  # share of the capacity of the bottleneck tier
    sizes: tuple[int, ...] = ()
    site: str = "midlands-main"
    length_s: float | None = None  # default: the fleet's
    seen: Range = 1.0  # number of balancers that each one assumes, relative to the true number
    fleet: FleetFile | None = None  # custom fleet, instead of `sizes`
    troubles: tuple[Trouble, ...] = ()


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario at one size."""

    name: str
    title: str
    site: Site
    fleet: FleetFile
    load_share: tuple[float, float]
    length_ms: float
    troubles: tuple[Trouble, ...]
    seen: tuple[float, float] = (1.0, 1.0)

    def day(self, seed: int) -> Day:
        """Draw the day of a seed."""
        load = Stream(seed, "load").between(*self.load_share)
        sizes = self.fleet
        fleet = Fleet(
            sizes.balancers_front,
            sizes.machines_front,
            load,
            sizes.stretch,
            self.length_ms,
            sizes.uneven,
            Stream(seed, "seen").between(*self.seen),
        )
        return draw(self.site, fleet, seed)


def read_site(name: str) -> Site:
    """Read a shipped site by name, or a user file by path; raises LabError."""
    path = SHIPPED / "sites" / f"{name}.toml"
    if not path.is_file():
        if not Path(name).is_file():
            raise LabError(f"site {name!r}: no such site or file; sites: {', '.join(_names('sites'))}")
        path = Path(name)
    site = decode(path.read_text(encoding="utf-8"), Site, name)
    check_ranges(site, name)
    return site


def _names(folder: str) -> list[str]:
    return sorted(
        p.name.removesuffix(".toml") for p in (SHIPPED / folder).iterdir() if p.name.endswith(".toml")
    )


def _fleets() -> dict[int, FleetFile]:
    text = (SHIPPED / "fleets.toml").read_text(encoding="utf-8")
    return {int(size): msgspec.convert(value, FleetFile) for size, value in tomllib.loads(text).items()}


def _build(name: str, read: ScenarioFile, fleet: FleetFile, file: str) -> Scenario:
    low, high = span(read.load_share)
    if not 0 < low <= high <= 10:
        raise LabError(f"{file}: load_share: [{low:g}, {high:g}], allowed: over 0 and at most 10")
    length = read.length_s if read.length_s is not None else fleet.length_s
    if not 1 <= length <= 3_600:
        raise LabError(f"{file}: length_s: {length:g}, allowed: 1 to 3600")
    for field, minimum in (("balancers_front", 1), ("machines_front", 1), ("stretch", 0.01)):
        if getattr(fleet, field) < minimum:
            raise LabError(f"{file}: fleet.{field}: {getattr(fleet, field):g}, allowed: {minimum:g} and more")
    seen = span(read.seen)
    if not 0 < seen[0] <= seen[1] <= 100:
        raise LabError(f"{file}: seen: [{seen[0]:g}, {seen[1]:g}], allowed: over 0 and at most 100")
    site = read_site(read.site)
    return Scenario(name, read.title, site, fleet, (low, high), length * 1000, read.troubles, seen)


def find_scenario(name: str) -> Scenario:
    """Return a shipped scenario by name, or a user file by path; raises LabError."""
    if name.endswith(".toml"):
        path = Path(name)
        if not path.is_file():
            raise LabError(f"{name}: no such file")
        read = _read(path.read_text(encoding="utf-8"), name)
        fleet = read.fleet or (_fleets().get(read.sizes[0]) if read.sizes else None)
        if fleet is None:
            raise LabError(f"{name}: fleet: is missing; or sizes, one of {_sizes()}")
        return _build(path.stem, read, fleet, name)
    match = _NAME.fullmatch(name)
    kinds = _names("scenarios")
    if match is None or match["kind"] not in kinds:
        raise LabError(f"scenario {name!r}: unknown; 'mastturn lab list' names them all")
    read = _read((SHIPPED / "scenarios" / f"{match['kind']}.toml").read_text(encoding="utf-8"), name)
    size = int(match["size"])
    if size not in read.sizes:
        sizes = ", ".join(str(s) for s in read.sizes)
        raise LabError(f"scenario {name!r}: no fleet of {size} balancers; sizes: {sizes}")
    return _build(name, read, _fleets()[size], f"{match['kind']}.toml")


def _read(text: str, file: str) -> ScenarioFile:
    read = decode(text, ScenarioFile, file)
    check_ranges(read, file)
    return read


def _sizes() -> str:
    return ", ".join(str(size) for size in _fleets())


def shipped_scenarios() -> list[Scenario]:
    """Return all shipped scenarios, at each of their sizes."""
    scenarios = []
    for kind in _names("scenarios"):
        read = _read((SHIPPED / "scenarios" / f"{kind}.toml").read_text(encoding="utf-8"), kind)
        scenarios += [find_scenario(f"{kind}-{size}") for size in read.sizes]
    return scenarios
