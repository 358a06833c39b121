"""HTML page on the whole fleet, served by a control process; imported on the first request.

The page is self-contained: no scripts, no external resources. A thread queries the fleet at most once in
CACHE_S, however many clients request the page.
"""

from __future__ import annotations

import asyncio
import html
import time
from typing import Any

from config.settings import Settings, parse_address
from mastturnd import fleet_status
from mastturnd.tables import format_cell, is_number
from mastturnd.wrong import NoAnswerError
from transport.http_server import Response, json_response

CACHE_S = 2.0  # a rendered page is served for this long
REFRESH_INTERVAL_S = 5  # a browser reloads the page
MAX_BALANCERS = 100  # queried for one page; above this, only the names are shown
CONTENT_SECURITY_POLICY = "default-src 'none'; style-src 'unsafe-inline'"
HEADERS = {
    "Content-Security-Policy": CONTENT_SECURITY_POLICY,
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
SECTION_TITLES = ("Control processes", "Balancers", "Upstreams by part")


class Dashboard:
    """The page of one control process, rendered once for concurrent requests and cached."""

    def __init__(self) -> None:
        self._pending: asyncio.Task[Response] | None = None
        self._response, self._rendered_at = json_response(503), float("-inf")

    async def page(self, settings: Settings) -> Response:
        """Return the page, at most CACHE_S old."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._rendered_at > CACHE_S:
            if self._pending is None:
                self._pending = loop.create_task(self._render(settings))
            return await asyncio.shield(self._pending)
        return self._response

    async def _render(self, settings: Settings) -> Response:
        try:
            self._response = await asyncio.to_thread(build_response, settings)
            self._rendered_at = asyncio.get_running_loop().time()
            return self._response
        finally:
            self._pending = None


def build_response(settings: Settings) -> Response:
    """Query the whole fleet and return the page; takes a few seconds if some processes do not answer."""
    own = settings.listen.ctl
    ctl = list(dict.fromkeys([*([own] if own else []), *settings.seed_addrs]))
    endpoints = [f"{host}:{port}" for host, port in map(parse_address, ctl)]
    try:
        found = fleet_status.gather(endpoints, settings.readyz_port or None, MAX_BALANCERS)
    except NoAnswerError as error:
        return json_response(503, str(error))
    at = time.strftime("%H:%M:%S")
    return Response(200, render_page(found, settings.node, at).encode(), HEADERS, "text/html; charset=utf-8")


def render_page(found: dict[str, Any], by: str, at: str) -> str:
    """Render the result of `fleet_status.gather` as HTML; all of it is untrusted and escaped."""
    parts = []
    for title, (head, rows) in zip(SECTION_TITLES, fleet_status.build_tables(found), strict=True):
        parts.append(f"<h2>{title}</h2>\n{_render_table(head, rows)}")
        if title == "Balancers" and not found["balancers_asked"]:
            parts.append(
                "<p>Balancers were not asked: let readyz_port of the settings name the port of their "
                f"readiness; of more than {MAX_BALANCERS} none is.</p>"
            )
    differs = "".join(f"<li>{html.escape(line)}</li>" for line in found["differs"])
    note = f'<ul class="differs">{differs}</ul>' if differs else '<p class="well">Nothing differs.</p>'
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>mastturn</title>\n'
        f'<meta http-equiv="refresh" content="{REFRESH_INTERVAL_S}"><style>{STYLE}</style></head>\n<body>'
        f"<h1>{html.escape(fleet_status.summary(found))}</h1>\n{note}\n"
        + "\n".join(parts)
        + f"\n<footer>as {html.escape(by)} found it at {at}</footer></body></html>\n"
    )


def _render_table(head: tuple[str, ...], rows: list[list[Any]]) -> str:
    """Render a table; a MARK column is left out and highlights the row instead. Numbers are right-aligned."""
    has_mark_column = head[-1] == "MARK"
    names = head[:-1] if has_mark_column else head
    cells = [[format_cell(value) for value in row[: len(names)]] for row in rows]
    right = [bool(cells) and all(is_number(row[i]) for row in cells) for i in range(len(names))]
    lines = [_render_row("th", [n if n == "MB" else n.capitalize() for n in names], right, False)]
    lines += [
        _render_row("td", c, right, has_mark_column and bool(row[-1]))
        for c, row in zip(cells, rows, strict=True)
    ]
    return "<table>" + "\n".join(lines) + "</table>"


def _render_row(tag: str, cells: list[str], right: list[bool], differs: bool) -> str:
    sides = (' class="n"' if side else "" for side in right)
    inner = "".join(f"<{tag}{side}>{html.escape(c)}</{tag}>" for c, side in zip(cells, sides, strict=True))
    return f'<tr class="differs">{inner}</tr>' if differs else f"<tr>{inner}</tr>"
