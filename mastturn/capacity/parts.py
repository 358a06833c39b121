"""The price of each message by its size: bytes on the wire, seconds of a core to make and read it."""

from __future__ import annotations

import dataclasses
import itertools
import random
import statistics
import time
import zlib
from collections.abc import Callable
from typing import Any

from balancer.routes import RouteTable
from balancer.tiers import Tiers
from config.checking import check, parse_configuration, parse_upstreams
from control.platform import pack
from dissemination.cached_prefixes import Holdings
from dissemination.list_changes import apply_change, diff_lists
from dissemination.load_steps import Loads, LoadStepEncoder, LoadTable
from dissemination.loads import PeerLoads, add, unpack
from dissemination.loads import pack as pack_loads
from dissemination.messages import (
    CachedPrefix,
    CachedPrefixUpdate,
    ConfigurationUpdate,
    LoadStep,
    LoadUpdate,
    MembershipUpdate,
    PresenceReport,
    PresentBalancer,
    UpstreamListUpdate,
)
from dissemination.relay_tree import parent_of
from mastturn.capacity.network import KINDS
from mastturn.capacity.shapes import TARGET, Shape, configuration, list_entries
from mastturn.capacity.sources import as_quiet, spin_ns

ENTRIES = (100, 200, 400, 700, 1_000, 1_400, 2_000)
MEMBERS = (20, 50, 100, 150, 200, 250)
ROUTES = (30, 100, 200, 400, 600)
CHANGES = (2, 5, 10, 20, 60, 100)  # upstreams in one step of the loads
# Foreseen from the sizes above, then measured.
HELD_OUT = {"entries": 2_800, "holdings": 2_800, "members": 350, "routes": 840, "changes": 40}
HEAD = 6
BESIDE = 20_000  # turns of the loop: under half a millisecond
Points = list[dict[str, Any]]


def cost_s(work: Callable[[], object], repeats: int) -> float:
    """Seconds of a quiet core for one call: the median of several, each against a plain loop beside it."""
    spans, before = [], spin_ns(BESIDE)
    for _ in range(repeats):
        began = time.process_time_ns()
        work()
        spent = (time.process_time_ns() - began) / 1e9
        after = spin_ns(BESIDE)
        spans.append(as_quiet(spent, (before + after) / 2))
        before = after
    return statistics.median(spans)


def _shape(entries: int) -> Shape:
    return dataclasses.replace(TARGET, upstreams=entries)


def of_list(entries: int, repeats: int) -> dict[str, float]:
    """The platform's list at one size."""
    raw = list_entries(_shape(entries))
    page = pack(raw)
    news = UpstreamListUpdate(1, 1, page)
    frame = KINDS.encode(news)
    parsed = parse_upstreams(page)[0]
    other = tuple(
        dataclasses.replace(u, state="draining") if i == entries // 2 else u for i, u in enumerate(parsed)
    )
    tiers = Tiers(random.Random(1), lambda name: True)
    tiers.update(parsed, 0.0)
    takes = iter([other, parsed] * repeats)
    drains = [e | {"state": "draining"} if i == entries // 2 else e for i, e in enumerate(raw)]
    later = UpstreamListUpdate(1, 2, pack(drains))
    change = diff_lists(news, later)
    assert change is not None
    return {
        "bytes": len(frame),
        "packed_bytes": len(zlib.compress(page, 1)),
        "zlib_s": cost_s(lambda: zlib.compress(page, 1), repeats),
        "pack_s": cost_s(lambda: pack(raw), repeats),
        "encode_s": cost_s(lambda: KINDS.encode(news), repeats),
        "decode_s": cost_s(lambda: KINDS.decode(103, frame[HEAD:]), repeats),
        "parse_s": cost_s(lambda: parse_upstreams(page), repeats),
        "first_take_s": cost_s(
            lambda: Tiers(random.Random(1), lambda name: True).update(parsed, 0.0), repeats
        ),
        "take_s": cost_s(lambda: tiers.update(next(takes), 1.0), repeats),
        "change_bytes": len(KINDS.encode(change)),
        "change_s": cost_s(lambda: apply_change(news, change), repeats),
        "change_tell_s": cost_s(lambda: diff_lists(news, later), repeats),
    }


def of_loads(entries: int, repeats: int) -> dict[str, float]:
    """Sums of load at one size."""
    chance = random.Random(entries)
    names = [e["id"] for e in list_entries(_shape(entries))]
    loads: Loads = {name: (chance.randint(1, 40), chance.randint(0, 40_000)) for name in names}
    news = LoadUpdate(1, 1, pack_loads(loads))
    frame = KINDS.encode(news)
    others = PeerLoads()

    def total() -> None:
        sums: Loads = {}
        add(sums, loads)

    return {
        "bytes": len(frame),
        "encode_s": cost_s(lambda: KINDS.encode(news), repeats),
        "decode_s": cost_s(lambda: KINDS.decode(108, frame[HEAD:]), repeats),
        "take_s": cost_s(lambda: others.take(news, {}), repeats),
        "unpack_s": cost_s(lambda: unpack(news.loads), repeats),
        "pack_s": cost_s(lambda: pack_loads(loads), repeats),
        "add_s": cost_s(total, repeats),
    }


def of_steps(changes: int, repeats: int) -> dict[str, float]:
    """A step of the sums that tells of so many upstreams, of all that the target has."""
    chance = random.Random(changes)
    names = [e["id"] for e in list_entries(TARGET)]
    loads: Loads = {name: (chance.randint(1, 40), chance.randint(0, 40_000)) for name in names}
    table, others, numbers = LoadTable(), PeerLoads(), itertools.count(1)
    whole = LoadStepEncoder().whole(loads)
    table.take(1, 0, *whole)
    told = sorted(chance.sample(range(len(names)), changes))
    figures = [x for place in told for x in (place, chance.randint(1, 40), chance.randint(0, 40_000))]
    step = LoadStep(1, 200, 199, (), tuple(figures))
    frame = KINDS.encode(step)

    def take() -> None:
        number = next(numbers)
        before = table.take(number + 1, number, (), figures)
        assert before is not None
        others.step(table.loads, before, {})

    def tell() -> None:
        teller = LoadStepEncoder(1e9)
        teller.whole({})
        teller.mark_changed(names[:changes])
        teller.step(loads, 1.0)

    return {
        "bytes": len(frame),
        "encode_s": cost_s(lambda: KINDS.encode(step), repeats),
        "decode_s": cost_s(lambda: KINDS.decode(114, frame[HEAD:]), repeats),
        "take_s": cost_s(take, repeats),
        "tell_s": cost_s(tell, repeats),
    }


def of_holdings(holdings: int, repeats: int) -> dict[str, float]:
    """News of who has read what, all of it new to whoever hears it."""
    names = [e["id"] for e in list_entries(_shape(2_000))]
    told = tuple(CachedPrefix(f"{i // 4:08x}".encode(), names[i * 7 % len(names)]) for i in range(holdings))
    news = CachedPrefixUpdate(told)
    frame = KINDS.encode(news)
    return {
        "bytes": len(frame),
        "encode_s": cost_s(lambda: KINDS.encode(news), repeats),
        "decode_s": cost_s(lambda: KINDS.decode(110, frame[HEAD:]), repeats),
        "add_s": cost_s(lambda: Holdings().add(told), repeats),
    }


def present(members: int) -> tuple[PresentBalancer, ...]:
    """The balancers of a fleet with the target's zones."""
    return tuple(
        PresentBalancer(f"edge-zone-{i % 10}-{i // 10 + 1}", f"10.{i % 10}.0.{i // 10 + 1}", f"zone-{i % 10}")
        for i in range(members)
    )


def of_members(members: int, repeats: int) -> dict[str, float]:
    """The list of members, and a roll of a tenth of them, at one size."""
    everybody = present(members)
    news = MembershipUpdate(1, 1, everybody, ("10.0.255.1", "10.3.255.2", "10.6.255.3"))
    roll = PresenceReport("edge-zone-0-1", everybody[::10])
    frame, called = KINDS.encode(news), KINDS.encode(roll)
    own = everybody[-1]
    return {
        "bytes": len(frame),
        "encode_s": cost_s(lambda: KINDS.encode(news), repeats),
        "decode_s": cost_s(lambda: KINDS.decode(105, frame[HEAD:]), repeats),
        "place_s": cost_s(lambda: parent_of(own.node, own.zone, everybody), repeats),
        "roll_bytes": len(called),
        "roll_decode_s": cost_s(lambda: KINDS.decode(106, called[HEAD:]), repeats),
    }


def of_configuration(routes: int, repeats: int) -> dict[str, float]:
    """A configuration at one size."""
    body = configuration(7, routes, TARGET.services)
    news = ConfigurationUpdate(7, body)
    parsed, short = parse_configuration(body), zlib.compress(body, 1)
    return {
        "bytes": len(KINDS.encode(news)),
        "encode_s": cost_s(lambda: KINDS.encode(news), repeats),
        "packed_bytes": len(zlib.compress(body, 1)),
        "zlib_s": cost_s(lambda: zlib.compress(body, 1), repeats),
        "unpack_s": cost_s(lambda: zlib.decompress(short), repeats),
        "check_s": cost_s(lambda: check(body), repeats),
        "parse_s": cost_s(lambda: parse_configuration(body), repeats),
        "table_s": cost_s(lambda: RouteTable(parsed), repeats),
    }


def measured(repeats: int = 9, rounds: int = 3) -> dict[str, Any]:
    """All of it, `rounds` times over, so that a moment in which the machine was busy shows as scatter."""
    names = ("list", "loads", "steps", "holdings", "members", "configuration")
    found: dict[str, Any] = {name: [] for name in names}
    for _ in range(rounds):
        for n in (*ENTRIES, HELD_OUT["entries"]):
            found["list"].append({"x": n} | of_list(n, repeats))
            found["loads"].append({"x": n} | of_loads(n, repeats))
            found["holdings"].append({"x": n} | of_holdings(n, repeats))
        for n in (*CHANGES, HELD_OUT["changes"]):
            found["steps"].append({"x": n} | of_steps(n, repeats))
        for n in (*MEMBERS, HELD_OUT["members"]):
            found["members"].append({"x": n} | of_members(n, repeats))
        for n in (*ROUTES, HELD_OUT["routes"]):
            found["configuration"].append({"x": n} | of_configuration(n, repeats))
    return {"parts": found, "held_out": HELD_OUT, "repeats": repeats, "rounds": rounds}
