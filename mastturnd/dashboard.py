"""One page on the whole fleet for a browser, served by a control process; loaded when somebody first asks.

It holds all that it shows: no script, nothing from elsewhere. The processes are asked by a thread, at most
once in FRESH_S, whoever asks for the page and however often.
"""

from __future__ import annotations

import asyncio
import html
import time
from typing import Any

from config.settings import Settings, parse_address
from mastturnd import fleet_status
from mastturnd.tables import is_number, shown
from mastturnd.wrong import UnansweredError
from transport.calls import Response, json_response

FRESH_S = 2.0  # a page is shown to all who ask within this
RELOAD_S = 5  # a browser asks again
MOST_BALANCERS = 100  # that are asked for one page; of more only the names are shown
POLICY = "default-src 'none'; style-src 'unsafe-inline'"
HEADERS = {
    "Content-Security-Policy": POLICY,
    "Cache-Control": "no-store",
    "X-Content-Type-Options": "nosniff",
}
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 1100px; color: #222;
  padding: 0 1em; }
h1 { font-size: 1.3em; } h2 { font-size: 1.05em; margin: 1.6em 0 0.4em; }
table { border-collapse: collapse; } th, td { padding: 0.15em 0.9em 0.15em 0; text-align: left; }
th { border-bottom: 1px solid #999; font-weight: 600; } th.n, td.n { text-align: right; }
tr.differs td { background: #fdeaea; } ul.differs { color: #a00; }
p.well { color: #060; } footer { color: #666; margin: 1em 0; }
"""
TITLES = ("Control processes", "Balancers", "Upstreams by part")


class Dashboard:
    """The page of one control process: made for whoever is first, and shown to all who ask meanwhile."""

    def __init__(self) -> None:
        self._making: asyncio.Task[Response] | None = None
        self._made, self._at = json_response(503), float("-inf")

    async def page(self, settings: Settings) -> Response:
        """The page, at most FRESH_S old."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._at > FRESH_S:
            if self._making is None:
                self._making = loop.create_task(self._make(settings))
            return await asyncio.shield(self._making)
        return self._made

    async def _make(self, settings: Settings) -> Response:
        try:
            self._made = await asyncio.to_thread(reply, settings)
            self._at = asyncio.get_running_loop().time()
            return self._made
        finally:
            self._making = None


def reply(settings: Settings) -> Response:
    """Ask the whole fleet, and answer with the page; it takes a few seconds where some are silent."""
    own = settings.listen.ctl
    ctl = list(dict.fromkeys([*([own] if own else []), *settings.seed_addrs]))
    places = [f"{host}:{port}" for host, port in map(parse_address, ctl)]
    try:
        found = fleet_status.gather(places, settings.readyz_port or None, MOST_BALANCERS)
    except UnansweredError as error:
        return json_response(503, str(error))
    at = time.strftime("%H:%M:%S")
    return Response(200, page(found, settings.node, at).encode(), HEADERS, "text/html; charset=utf-8")


def page(found: dict[str, Any], by: str, at: str) -> str:
    """What `fleet_status.gather` has found, as HTML; all of it is others' words, so all of it is escaped."""
    parts = []
    for title, (head, rows) in zip(TITLES, fleet_status.tables_of(found), strict=True):
        parts.append(f"<h2>{title}</h2>\n{_table(head, rows)}")
        if title == "Balancers" and not found["balancers_asked"]:
            parts.append(
                "<p>Balancers were not asked: let readyz_port of the settings name the port of their "
                f"readiness; of more than {MOST_BALANCERS} none is.</p>"
            )
    differs = "".join(f"<li>{html.escape(line)}</li>" for line in found["differs"])
    note = f'<ul class="differs">{differs}</ul>' if differs else '<p class="well">Nothing differs.</p>'
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>mastturn</title>\n'
        f'<meta http-equiv="refresh" content="{RELOAD_S}"><style>{STYLE}</style></head>\n<body>'
        f"<h1>{html.escape(fleet_status.summary(found))}</h1>\n{note}\n"
        + "\n".join(parts)
        + f"\n<footer>as {html.escape(by)} found it at {at}</footer></body></html>\n"
    )


def _table(head: tuple[str, ...], rows: list[list[Any]]) -> str:
    """Without the last column where it only marks: the row is marked instead. Numbers stand right."""
    marks = head[-1] == "MARK"
    names = head[:-1] if marks else head
    cells = [[shown(value) for value in row[: len(names)]] for row in rows]
    right = [bool(cells) and all(is_number(row[i]) for row in cells) for i in range(len(names))]
    lines = [_row("th", [n if n == "MB" else n.capitalize() for n in names], right, False)]
    lines += [_row("td", c, right, marks and bool(row[-1])) for c, row in zip(cells, rows, strict=True)]
    return "<table>" + "\n".join(lines) + "</table>"


def _row(tag: str, cells: list[str], right: list[bool], differs: bool) -> str:
    sides = (' class="n"' if side else "" for side in right)
    inner = "".join(f"<{tag}{side}>{html.escape(c)}</{tag}>" for c, side in zip(cells, sides, strict=True))
    return f'<tr class="differs">{inner}</tr>' if differs else f"<tr>{inner}</tr>"
