"""Days of our own for any deployment, each with one kind of trouble: the engines alone, without closings.

They are played here and, written as files, on the bench.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from mastturn.engines.deployment import Day, Sheet, Traffic, Trouble

SEED = 4711
CALM = 0.6  # of the sheet's traffic


def own_days(sheet: Sheet) -> tuple[Day, ...]:
    """All of them, for a sheet."""
    calm = tuple(msgspec.structs.replace(t, per_s=round(t.per_s * CALM, 3)) for t in sheet.traffic)
    short = Trouble(at=20.0, kind="handle_short", for_s=5.0, share=0.33)
    return (
        Day("calm", SEED, traffic=calm),
        Day("full", SEED),
        Day("burst", SEED, faults=(Trouble(at=9.0, kind="burst", for_s=10.0, x=1.9),)),
        Day("crash", SEED, faults=(Trouble(at=11.0, kind="srv_crash", for_s=4.5, share=0.17),)),
        Day("dark", SEED, faults=(Trouble(at=11.0, kind="srv_crash", for_s=4.5, share=0.17, how="dark"),)),
        Day("links", SEED, faults=(Trouble(at=9.0, kind="kv_slow", for_s=10.0, share=0.33), short)),
        Day(
            "kills",
            SEED,
            faults=(
                Trouble(at=9.0, kind="node_kill", for_s=3.5, share=0.3, how="power"),
                Trouble(at=20.0, kind="herd_kill", for_s=2.0, share=0.55),
            ),
        ),
    )


def write(sheet: Sheet, folder: Path) -> list[Path]:
    """Write them as the bench reads a day; which files."""
    folder.mkdir(parents=True, exist_ok=True)
    found = []
    for day in own_days(sheet):
        lines = [f'name = "{day.name}"', 'slot = "trouble"', f"seed = {day.seed}", "plan = []", "faults = ["]
        lines += [f"  {_trouble(t)}," for t in day.faults]
        lines.append("]")
        if day.traffic:
            lines += ["traffic = [", *(f"  {_traffic(t)}," for t in day.traffic), "]"]
        path = folder / f"{day.name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        found.append(path)
    return found


def _trouble(trouble: Trouble) -> str:
    pairs = [f'kind = "{trouble.kind}"', f"at = {trouble.at}", f"for_s = {trouble.for_s}"]
    if trouble.share is not None:
        pairs.append(f"share = {trouble.share}")
    if trouble.x is not None:
        pairs.append(f"x = {trouble.x}")
    if trouble.how:
        pairs.append(f'how = "{trouble.how}"')
    return "{ " + ", ".join(pairs) + " }"


def _traffic(traffic: Traffic) -> str:
    shape = traffic.shape
    mix = ", ".join(f"{k} = {v}" for k, v in traffic.mix.items())
    wave = (
        f'kind = "wave", swing = {shape.swing}, period_s = {shape.period_s}, phase = {shape.phase}, '
        f"clump = {shape.clump}"
    )
    return (
        f'{{ zone = "{traffic.zone}", mix = {{ {mix} }}, per_s = {traffic.per_s}, '
        f"clients = {traffic.clients}, users = 1, shape = {{ {wave} }} }}"
    )
