"""Settings of other deployments: valid ones start and serve, invalid ones exit with a one-line error."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import FakeServer, balancer, config_data, run

ROOT = Path(__file__).parent.parent
Change = Callable[[dict[str, Any]], None]


def one(name: str = "a", effect: str = "retryable", **more: Any) -> dict[str, Any]:
    base = {"name": name, "target": 500.0, "deadline": 1_500.0, "effect": effect, "repeatWindow": 0.0}
    return base | more


def put(*classes: dict[str, Any], **settings: Any) -> Change:
    def change(data: dict[str, Any]) -> None:
        data["settings"] |= {"classes": list(classes) or [one()]} | settings

    return change


LEGAL: dict[str, Change] = {
    "one class": put(),
    "forty classes": put(*(one(f"c{i}", ("retryable", "dedup", "fragile")[i % 3]) for i in range(40))),
    "class names with special characters": put(
        *(one(name) for name in ("a.b", "A_1", "-", "7", "x~y", "c@d", "read:now", "100%"))
    ),
    "a class named like the health endpoint": put(one("health")),
    "short deadlines": put(one(target=30.0, deadline=60.0)),
    "a deadline of a day": put(one(target=1e6, deadline=8.64e7)),
    "a target beyond the deadline": put(one(target=9_000.0, deadline=1_000.0)),
    "a class with a worth of 0": put(one(worth=0.0), one("b", "fragile", worth=1e9)),
    "a late share of 1": put(one(lateShare=1.0)),
    "a repeat window of 0": put(one("k", "dedup", repeatWindow=0.0)),
    "a quota of 0": put(orgs=[{"name": "t", "quotaPerS": 0.0}, {"name": "u", "quotaPerS": 1e9}]),
    "tenant names with special characters": put(
        orgs=[{"name": "a b/c", "quotaPerS": 1.0}, {"name": "100%", "quotaPerS": 1.0}]
    ),
    "four hundred balancers": put(balancers=400),
    "a deep tier": put(tier=3),
    "one attempt": put(limits={"attemptsCap": 1}),
    "no limits": put(limits={}),
    "an empty contract": put(contract={}),
    "reports of one field": put(telemetry={"fields": ["load_share"]}),
    "unknown fields": put(novelty={"deep": [1, {"x": None}]}),
    "a long warm-up": put(contract={"cold": 1e7, "coldFrom": 0.01, "overloadFactor": 1.0, "tipAfter": 1e5}),
}


@pytest.mark.parametrize("name", LEGAL)
def test_legal_settings_start_and_serve(name: str) -> None:
    """Valid but unusual settings must not prevent the start or break requests of any class or tenant."""

    async def test() -> None:
        async with balancer(FakeServer(), change=LEGAL[name]) as b:
            client = await b.connect()
            ready = await client.ask("/health/ready")
            assert ready is not None and ready.status == 200
            for cls in b.node.engine.classes.values():
                method = "GET" if cls.effect.name == "REPEATABLE" else "POST"
                key = "k" if cls.effect.name == "KEYED" else None
                for tenant in (None, "t", "a b/c", "100%", "unheard-of"):
                    answer = await client.ask(
                        f"/{cls.name}", method=method, Idempotency_Key=key, X_Org=tenant, X_Remaining=None
                    )
                    assert answer is not None and answer.status == 200, (cls.name, tenant)

    run(test())


BAD: dict[str, Change] = {
    "no class": lambda data: data["settings"].update(classes=[]),
    "a class twice": put(one(), one()),
    "a class without a name": put(one("")),
    "an unknown effect": put(one(effect="maybe")),
    "a deadline of 0": put(one(deadline=0.0)),
    "a deadline that is not a number": put(one(deadline="soon")),
    "an infinite target": put(one(target=float("inf"))),
    "a negative quota": put(orgs=[{"name": "t", "quotaPerS": -1.0}]),
    "no balancers": put(balancers=0),
    "no attempts": put(limits={"attemptsCap": 0}),
    "settings of null": lambda data: data.update(settings=None),
    "few descriptors": lambda data: data["limits"].update(sockets=3),
    "an invalid upstream list": lambda data: data.update(known={"members": [{}]}),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_settings_get_one_line_and_status_2(name: str, tmp_path: Path) -> None:
    """Invalid settings must end the process with status 2 and a single error line, without a traceback."""
    data = config_data([])
    BAD[name](data)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(data))
    done = subprocess.run(
        [sys.executable, "-m", "passpost"],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    errors = [line for line in done.stderr.splitlines() if not line.startswith("WARNING ")]
    assert done.returncode == 2 and len(errors) == 1 and errors[0].startswith("passpost: configuration")
    assert "Traceback" not in done.stderr
