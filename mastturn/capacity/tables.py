"""The tables of docs/CAPACITY.md, from saved outputs."""

from __future__ import annotations

import json
import re
import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mastturn.capacity import budget, remedies
from mastturn.capacity.foreseen import (
    Foreseen,
    foresee,
    rate,
    read_fleets,
    total,
)
from mastturn.capacity.shapes import BUDGET, HELD_OUT, TARGET
from mastturn.capacity.slopes import Line, agrees, fit
from mastturn.capacity.sources import as_quiet
from mastturn.files import LabError

Table = Callable[[Path], list[str]]
TOKENS_S = 620_000.0  # of all balancers at the target's peak
_SWEEP = re.compile(r"^(\w+: [\w %-]+|[\w ,]+)  +((?:[\d.]+ / [\d.]+ +)+)([-\d.]+) +\S+$", re.MULTILINE)


def read(folder: Path, name: str) -> Any:
    """A saved output; raises LabError where there is none."""
    path = folder / f"{name}.json"
    if not path.exists():
        raise LabError(
            f"there is no {path}; run `python -m mastturn.capacity measure {name.split('-')[0]}` first"
        )
    return json.loads(path.read_text(encoding="utf-8"))


def rows(head: list[str], body: list[list[str]]) -> list[str]:
    """A table in Markdown."""
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return lines + ["| " + " | ".join(row) + " |" for row in body]


def figure(value: float) -> str:
    """Three digits that count, without an exponent."""
    if abs(value) < 5e-7:
        return "0"
    text = f"{value:.3g}"
    if abs(value) >= 1000:
        return f"{float(text):,.0f}"
    return f"{value:.6f}".rstrip("0") if "e" in text else text


def _range(line: Line) -> str:
    return f"{figure(line.low)} to {figure(line.high)}"


def _slope(line: Line) -> str:
    bound = "?" if line.bound == float("inf") else figure(line.bound)
    return f"{figure(line.slope)} ± {bound}"


# ---- tables


def sweep(folder: Path) -> list[tuple[str, list[tuple[float, float]], float]]:
    """What the bench's sweep printed: name, middle and busiest at each size, and the power."""
    text = (folder / "sweep-fc-kitchen-line.txt").read_text(encoding="utf-8")
    found = []
    for name, pairs, power in _SWEEP.findall(text):
        values = re.findall(r"([\d.]+) / ([\d.]+)", pairs)
        found.append((name.strip(), [(float(a), float(b)) for a, b in values], float(power)))
    return found


def _sweep_table(folder: Path) -> list[str]:
    body = [
        [name, *(f"{figure(a)} / {figure(b)}" for a, b in values), figure(power)]
        for name, values, power in sweep(folder)
    ]
    return rows(["middle / busiest or longest", "30", "100", "300", "power of the busiest"], body)


def _wrong(folder: Path) -> list[str]:
    """How far off balancers are about each other's calls, before the steps and with them."""
    body = []
    for where in (folder / "before", folder):
        for path in sorted(where.glob("fleet-*.json"), key=lambda p: int(p.stem.split("-")[1])):
            figures = json.loads(path.read_text(encoding="utf-8"))
            busy = figures["phases"].get("busy", {})
            if "wrong" in busy and not figures["charge"]:
                wrong = busy["wrong"]
                inward = rate(figures, "busy", "leaf", "got_bytes") / 1000
                size, when = figures["shape"]["balancers"], "before" if where != folder else "with steps"
                body.append(
                    [f"{size}", when, figure(inward), figure(wrong["reading"]), figure(wrong["answering"])]
                )
    head = ["balancers", "", "kB/s into a balancer", "wrong of readers' calls", "of answering ones'"]
    return rows(head, body)


def _prices(folder: Path) -> list[str]:
    parts = read(folder, "parts")
    wanted = [
        ("list", "bytes", "the list, whole", "B an entry", 1.0),
        ("list", "packed_bytes", "the same, compressed", "B an entry", 1.0),
        ("list", "parse_s", "read it (balancer)", "µs an entry", 1e6),
        ("list", "first_take_s", "take a first list over", "µs an entry", 1e6),
        ("list", "take_s", "take one change over", "µs an entry", 1e6),
        ("list", "change_s", "make the list from a change", "µs an entry", 1e6),
        ("list", "change_tell_s", "find the change (primary, where there is one)", "µs an entry", 1e6),
        ("list", "pack_s", "write it (primary, every read)", "µs an entry", 1e6),
        ("steps", "bytes", "a step of the loads", "B an upstream in it", 1.0),
        ("steps", "decode_s", "read it", "µs an upstream", 1e6),
        ("steps", "take_s", "take it over", "µs an upstream", 1e6),
        ("steps", "encode_s", "write it (primary; each relay again)", "µs an upstream", 1e6),
        ("loads", "bytes", "sums of load, whole (earlier editions)", "B an entry", 1.0),
        ("loads", "decode_s", "read them", "µs an entry", 1e6),
        ("loads", "take_s", "take them over", "µs an entry", 1e6),
        ("loads", "encode_s", "write them (primary; each relay again)", "µs an entry", 1e6),
        ("loads", "pack_s", "sort them", "µs an entry", 1e6),
        ("loads", "add_s", "add a part", "µs an entry", 1e6),
        ("holdings", "bytes", "who has read what", "B a holding", 1.0),
        ("holdings", "decode_s", "read it", "µs a holding", 1e6),
        ("holdings", "add_s", "take it over", "µs a holding", 1e6),
        ("members", "bytes", "members, whole", "B a balancer", 1.0),
        ("members", "decode_s", "read them", "µs a balancer", 1e6),
        ("members", "encode_s", "write them", "µs a balancer", 1e6),
        ("members", "place_s", "find one's place in the tree (every 0.3 s)", "µs a balancer", 1e6),
        ("configuration", "bytes", "a configuration, whole", "B a route", 1.0),
        ("configuration", "packed_bytes", "the same, compressed", "B a route", 1.0),
        ("configuration", "unpack_s", "unpack it", "µs a route", 1e6),
        ("configuration", "check_s", "check it (primary)", "µs a route", 1e6),
        ("configuration", "parse_s", "read it (balancer)", "µs a route", 1e6),
    ]
    body = []
    for part, what, name, unit, scale in wanted:
        line, found = budget.price(parts, part, what), budget.held_out(parts, part, what)
        x = float(parts["held_out"][budget.HELD_KEYS[part]])
        body.append(
            [
                name,
                f"{figure(line.slope * scale)} ± {figure(line.bound * scale)} {unit}",
                f"{figure(line.low)} to {figure(line.high)}",
                f"{figure(x)}: {_amount(line.at(x), scale)}",
                _amount(found, scale),
                _agreement(line.at(x), found),
            ]
        )
    return rows(["what", "slope, 95%", "measured over", "foreseen at", "measured there", "within 25%"], body)


def _amount(value: float, scale: float) -> str:
    return f"{figure(value / 1000)} kB" if scale == 1.0 else f"{figure(value * 1000)} ms"


def _agreement(foreseen: float, measured: float) -> str:
    return f"{'yes' if agrees(foreseen, measured) else 'NO'} ({foreseen / measured:.2f})" if measured else "-"


def _foreseen(folder: Path) -> list[str]:
    body = []
    for found in foresee(read_fleets(folder)):
        body.append(
            [
                found.quantity.name,
                f"{found.quantity.grows_with}, {_range(found.line)}",
                _slope(found.line),
                f"{figure(found.foreseen)} {found.quantity.unit}; {_between(found)}",
                "not yet" if found.measured is None else figure(found.measured),
                _verdict(found),
            ]
        )
    head = [
        "what",
        "grows with",
        "slope, 95%",
        f"foreseen at {HELD_OUT} (95%)",
        "measured there",
        "within 25%",
    ]
    return rows(head, body)


def _between(found: Foreseen) -> str:
    return f"{figure(found.low)} to {figure(found.high)}"


def _verdict(found: Foreseen) -> str:
    if found.measured is None:
        return "-"
    ratio = found.foreseen / found.measured if found.measured else float("nan")
    return f"{'yes' if found.agrees else 'NO'} ({ratio:.2f})"


def _roles(folder: Path) -> list[str]:
    fleets = read_fleets(folder)
    size = max(fleets)
    figures = fleets[size][0]
    body = []
    for phase in ("quiet", "busy"):
        for role in ("primary", "backup", "witness", "head", "relay", "leaf"):
            if role not in figures["phases"][phase]["roles"]:
                continue
            told = figures["phases"][phase]["roles"][role]
            body.append(
                [
                    phase,
                    {
                        "head": "relay: first of a zone",
                        "relay": "relay: others",
                        "leaf": "balancer, no relay",
                    }.get(role, role),
                    f"{told['programs']}",
                    figure(told["children"]),
                    figure(rate(figures, phase, role, "got")),
                    figure(rate(figures, phase, role, "got_bytes") / 1000),
                    figure(rate(figures, phase, role, "sent")),
                    figure(rate(figures, phase, role, "sent_bytes") / 1000),
                    figure(100 * rate(figures, phase, role, "cpu")),
                ]
            )
    head = [
        "",
        "role",
        "programs",
        "told by each",
        "messages in /s",
        "kB in /s",
        "messages out /s",
        "kB out /s",
        "% of a core",
    ]
    return [
        f"At {size} balancers, {TARGET.upstreams:,} upstreams, {TARGET.zones} zones:",
        "",
        *rows(head, body),
    ]


def _memory(folder: Path) -> list[str]:
    found = read(folder, "memory")
    held = found["held_out"]
    points = [p for p in found["memory"] if p["x"] != held]
    body = []
    for name in found["steps"]:
        line, measured = fit([(p["x"], p[name]) for p in points]), _at_target(found, name)
        words = f"after {name}" if name != "program" else "the program, nothing told"
        agreement = _agreement(line.at(held), measured)
        body.append([words, _slope(line), figure(line.at(held)), figure(measured), agreement])
    head = ["MB resident", "slope a whole target", "foreseen at the target", "measured", "within 25%"]
    return rows(head, body)


def _at_target(found: dict[str, Any], name: str) -> float:
    at = [p[name] for p in found["memory"] if p["x"] == found["held_out"]]
    return float(sum(at) / len(at))


def _beside(folder: Path) -> dict[str, float]:
    """Memory beside the bare program, by how much of the holdings has been heard."""
    found = read(folder, "memory")
    bare = min(p["program"] for p in found["memory"])
    return {
        "without holdings": _at_target(found, "loads") - bare,
        "once all that upstreams kept is known": _at_target(found, "kept, full") - bare,
    }


def _frame_s(folder: Path) -> float:
    return float(fit([(p["x"], p["cpu_s"]) for p in read(folder, "links")["taken"]]).base)


def _links(folder: Path) -> list[str]:
    found = read(folder, "links")
    body = []
    for name in ("taken", "sent"):
        line = fit([(p["x"], p["cpu_s"]) for p in found[name]])
        more = f"{figure(line.slope * 1e9)} ± {figure(line.bound * 1e9)}"
        body.append([f"a frame {name}", figure(line.base * 1e6), more, _range(line)])
    return rows(["", "µs of a core each", "µs for each kB more, 95%", "bytes, measured over"], body)


def _costs(folder: Path) -> list[str]:
    body = []
    for cost in budget.costs(read(folder, "parts"), _frame_s(folder)):
        relayed = "-" if cost.name.startswith("own report") else figure(cost.relayed_bytes_s / 1000)
        sizes = [figure(cost.times_s), figure(cost.one_bytes / 1000), figure(cost.bytes_s / 1000), relayed]
        body.append([cost.name, *sizes, figure(cost.core * 100), figure(cost.relayed_core * 100)])
    head = [
        "news",
        "times a second",
        "kB each",
        "kB/s",
        "kB/s at a relay of 8",
        "% of a core",
        "% of a core, relay",
    ]
    return rows(head, body)


def _measured_peak(folder: Path) -> dict[str, float]:
    """What a hollow fleet of the target's size spent at its peak, by the part of the budget."""
    found: dict[str, float] = {}
    fleets = read_fleets(folder)
    for figures in fleets[max(fleets)] if fleets else []:
        for role, words in (("leaf", "a balancer that tells nobody"), ("head", "a relay")):
            both = rate(figures, "busy", role, "got_bytes") + rate(figures, "busy", role, "sent_bytes")
            found[f"bytes a second, {words}"] = both
            found[f"share of a core, {words}"] = rate(figures, "busy", role, "cpu")
    return found


def _budget(folder: Path) -> list[str]:
    found = budget.within(read(folder, "parts"), _frame_s(folder), _beside(folder))
    peak = _measured_peak(folder)
    body = []
    for name, value, bound, verdict in found:
        measured = figure(peak[name]) if name in peak else "-"
        body.append([name, figure(value), measured, figure(bound), verdict])
    size = max(read_fleets(folder), default=TARGET.balancers)
    head = [
        "control at one balancer",
        "foreseen by prices",
        f"measured at {size}, peak",
        "budget",
        "foreseen",
    ]
    return rows(head, body)


def _remedies(folder: Path) -> list[str]:
    body = []
    for way in remedies.ways(read(folder, "parts")):
        share = figure(way.in_bytes_s / BUDGET.bytes_s)
        sizes = [figure(way.in_bytes_s / 1000), figure(way.relay_bytes_s / 1000), share]
        body.append([way.of, way.way, *sizes, way.price or "-"])
    head = ["news", "way", "kB/s at a balancer", "kB/s at a relay of 8", "of 11 kB/s", "price"]
    return rows(head, body)


def _choices(folder: Path) -> list[str]:
    found = read(folder, "choices")
    held = found["held_out"]

    def cost(point: dict[str, Any]) -> float:
        return as_quiet(point["cpu_s"] * 1e6, point["spin_ns"])

    line = fit([(p["x"], cost(p)) for p in found["choices"] if p["x"] != held])
    body = []
    for size in sorted({p["x"] for p in found["choices"]}):
        points = [p for p in found["choices"] if p["x"] == size]
        mean = sum(cost(p) for p in points) / len(points)
        crossed = sum(p["between_zones"] for p in points) / len(points)
        words = _agreement(line.at(size), mean) if size == held else "(fitted)"
        body.append([f"{size}", figure(mean), figure(line.at(size)), words, f"{figure(100 * crossed)}%"])
    head = [
        "upstreams of a service",
        "µs of a core a request",
        "on the line",
        "within 25%",
        "moves between zones",
    ]
    return [f"Slope: {_slope(line)} µs an upstream, {_range(line)}.", "", *rows(head, body)]


def _core_mb(phase: dict[str, Any]) -> float:
    """What all control processes together have sent."""
    roles = phase["roles"]
    core = [roles[r] for r in ("primary", "backup", "witness", "newcomer") if r in roles]
    return float(sum(r["programs"] * total(r["sent_bytes"]) for r in core)) / 1e6


def _times(folder: Path) -> list[str]:
    body = []
    earlier, now = read_fleets(folder / "before", charged=True), read_fleets(folder, charged=True)
    for size, found in [*sorted(earlier.items()), *sorted(now.items())]:
        for figures in found:
            phases = figures["phases"]
            busy = phases["busy configuration"]
            late = f"{busy['missing']} of {size} not within {BUDGET.in_force_s:.0f} s"
            body.append(
                [
                    f"{size}, {'now' if figures in now.get(size, []) else figures['run']['revision']}",
                    figure(phases["boot"]["ready_s"]),
                    figure(phases["boot"]["tree_s"]),
                    figure(_core_mb(phases["boot"])),
                    figure(max(phases["configuration"]["acknowledged_s"])),
                    figure(max(phases["configuration"]["all_s"])),
                    figure(max(phases["list"]["all_s"])),
                    figure(phases["restart"]["ready_s"]),
                    late if busy["missing"] else figure(busy["in_force_s"]["most"]),
                    figure(phases["busy"]["behind_s"]),
                ]
            )
    head = [
        "balancers, revision",
        "all ready after a start, s",
        "tree stands, s",
        "MB out of the core at the start",
        "configuration: acknowledged, s",
        "then everywhere, s",
        "leaving upstream everywhere, s",
        "one restarted ready, s",
        "configuration everywhere at the peak, s",
        "a core behind at its end, s",
    ]
    return rows(head, body)


def _troubles(folder: Path) -> list[str]:
    body = []
    for path in sorted(folder.glob("trouble-*.json"), key=lambda p: int(p.stem.split("-")[1])):
        found = json.loads(path.read_text(encoding="utf-8"))
        size = found["shape"]["balancers"]
        away = found["region"]["apart"]
        is_without = away["heard_nothing"] == away["balancers"]  # else the core's greater part went with it
        back = (
            "a region is back after a cut" if is_without else "all but the core's region are back after a cut"
        )
        for name, told in (("the primary is killed", found["primary"]), ("its zone is lost", found["zone"]),
                           (back, found["region"]["healed"])):  # fmt: skip
            roles = told["roles"].get("primary", {"most_sent_bytes": 0.0})
            body.append([f"{size}", name, _seconds(told["led_again_s"]), _seconds(told["all_hear_again_s"]),
                         f"{told['heard_nothing']}", figure(told["heard_nothing_longest_s"]),
                         figure(roles["most_sent_bytes"] / 1e6)])  # fmt: skip
    head = [
        "balancers",
        "what",
        "led again, s",
        "all hear again, s",
        "heard nothing for 0.9 s",
        "longest, s",
        "MB out of the primary",
    ]
    return rows(head, body)


def _lists(folder: Path) -> list[str]:
    found = read(folder, "lists")
    body = [
        [
            figure(p["upstreams"]),
            f"{p['pages']}",
            f"not within {found['within_s']:.0f}" if p["listed_s"] is None else figure(p["listed_s"]),
            f"{p['turned_away']} of {p['calls']}",
        ]
        for p in found["lists"]
    ]
    return rows(
        ["upstreams", "pages", "first list at a balancer, s", "calls turned away (50 a second)"], body
    )


def _seconds(value: float | None) -> str:
    return "not within 60" if value is None else figure(value)


def _a_request_ms(point: dict[str, Any]) -> float:
    return as_quiet(point["cpu_s_a_request"] * 1000, point["spin_ns"])


def _plane(folder: Path) -> list[str]:
    found = read(folder, "plane")
    held = found["held_out"]
    middle = {
        x: statistics.median(_a_request_ms(p) for p in found["plane"] if p["x"] == x)
        for x in sorted({p["x"] for p in found["plane"]})
    }
    line = fit([(x, ms) for x, ms in middle.items() if x != held])
    measured = middle[held]
    requests, tokens = TARGET.requests_s / TARGET.balancers, TOKENS_S / TARGET.balancers

    def share(tokens_an_event: int) -> str:
        """Percent of a core: milliseconds a second over ten."""
        return f"{figure((requests * line.base + tokens / tokens_an_event * line.slope) / 10)}% of a core"

    pace = f"{requests:.2f} requests, {tokens:,.0f} tokens a second"
    peak = f"a balancer of {TARGET.balancers} at the peak ({pace})"
    body = [
        [
            "a request, both calls, without its events",
            f"{figure(line.base)} ms of a core",
            "1 event and more",
        ],
        ["an event passed on", f"{_slope(line)} ms", f"{_range(line)} events"],
        [
            f"a request of {held} events",
            f"foreseen {figure(line.at(held))} ms, measured {figure(measured)}",
            _agreement(line.at(held), measured),
        ],
        [peak, share(1), "one token an event"],
        ["the same", share(12), "12 tokens an event, as the sheets' engines send them"],
    ]
    return rows(["what", "processor time", "measured over"], body)


TABLES: dict[str, Table] = {
    "sweep": _sweep_table,
    "wrong": _wrong,
    "roles": _roles,
    "prices": _prices,
    "links": _links,
    "foreseen": _foreseen,
    "memory": _memory,
    "times": _times,
    "costs": _costs,
    "budget": _budget,
    "troubles": _troubles,
    "lists": _lists,
    "plane": _plane,
    "choices": _choices,
    "remedies": _remedies,
}
