"""Built-in days for any deployment, each with one kind of fault and without a shutdown at the end.

They run in the emulator and, written as files, on the bench.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from mastturn.engines.deployment import Day, Deployment, Fault, Traffic

SEED = 4711
CALM = 0.6  # share of the deployment's traffic


def built_in_days(deployment: Deployment) -> tuple[Day, ...]:
    """Return the built-in days of a deployment."""
    calm = tuple(
        msgspec.structs.replace(item, per_s=round(item.per_s * CALM, 3)) for item in deployment.traffic
    )
    short_handles = Fault(at=20.0, kind="handle_short", for_s=5.0, share=0.33)
    return (
        Day("calm", SEED, traffic=calm),
        Day("full", SEED),
        Day("burst", SEED, faults=(Fault(at=9.0, kind="burst", for_s=10.0, x=1.9),)),
        Day("crash", SEED, faults=(Fault(at=11.0, kind="srv_crash", for_s=4.5, share=0.17),)),
        Day("dark", SEED, faults=(Fault(at=11.0, kind="srv_crash", for_s=4.5, share=0.17, how="dark"),)),
        Day("links", SEED, faults=(Fault(at=9.0, kind="kv_slow", for_s=10.0, share=0.33), short_handles)),
        Day(
            "kills",
            SEED,
            faults=(
                Fault(at=9.0, kind="node_kill", for_s=3.5, share=0.3, how="power"),
                Fault(at=20.0, kind="herd_kill", for_s=2.0, share=0.55),
            ),
        ),
    )


def write(deployment: Deployment, folder: Path) -> list[Path]:
    """Write the days in the format of the bench; returns the files."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for day in built_in_days(deployment):
        lines = [f'name = "{day.name}"', 'slot = "trouble"', f"seed = {day.seed}", "plan = []", "faults = ["]
        lines += [f"  {_format_fault(item)}," for item in day.faults]
        lines.append("]")
        if day.traffic:
            lines += ["traffic = [", *(f"  {_format_traffic(item)}," for item in day.traffic), "]"]
        path = folder / f"{day.name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        paths.append(path)
    return paths


def _format_fault(fault: Fault) -> str:
    pairs = [f'kind = "{fault.kind}"', f"at = {fault.at}", f"for_s = {fault.for_s}"]
    if fault.share is not None:
        pairs.append(f"share = {fault.share}")
    if fault.x is not None:
        pairs.append(f"x = {fault.x}")
    if fault.how:
        pairs.append(f'how = "{fault.how}"')
    return "{ " + ", ".join(pairs) + " }"


def _format_traffic(traffic: Traffic) -> str:
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
