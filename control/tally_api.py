"""The HTTP API for tallies: any process that stores them answers, also without contact to a majority."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import unquote

from config.errors import InvalidTallyError
from control.operators import DECISION_TIMEOUT_S, RETRY_AFTER_S
from control.tally_keeper import TallyKeeper
from transport.http_server import Request, Response, Routes, json_response

TALLY_ROUTES = Routes()
TALLIES_PREFIX = "/api/tallies/"
AMOUNT_FIELD = "actor"  # request field that holds the amount to add
MAX_NAME_LENGTH = 128  # characters of a tally's name and of an id
MAX_AMOUNT = 2**53  # the largest integer that JSON numbers represent exactly


class TallyProcess(Protocol):
    """A control process that stores tallies."""

    tallies: TallyKeeper


@dataclass(frozen=True, slots=True)
class TallyAdd:
    """A request to add an amount to a tally."""

    tally: str
    id: str
    amount: int


def parse_name(text: str, what: str) -> str:
    """Return a valid name; raises InvalidTallyError."""
    if not text or len(text) > MAX_NAME_LENGTH or not text.isascii() or not text.isprintable():
        raise InvalidTallyError(
            f"{what} is not a valid name", f"use 1 to {MAX_NAME_LENGTH} printable ASCII characters"
        )
    return text


def parse_add(name: str, body: bytes) -> TallyAdd:
    """Return the add that a request asks for; raises InvalidTallyError with the reason."""
    tally = parse_name(unquote(name), "the tally")
    try:
        raw: Any = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidTallyError("the body is not valid JSON", 'send {"id":"...","actor":1}') from None
    if not isinstance(raw, dict):
        raise InvalidTallyError("the body is not a JSON object", 'send {"id":"...","actor":1}')
    id_, amount = raw.get("id"), raw.get(AMOUNT_FIELD)
    if not isinstance(id_, str):
        raise InvalidTallyError("id is not a string", "send a unique id with each add")
    if isinstance(amount, bool) or not isinstance(amount, int) or not 0 <= amount <= MAX_AMOUNT:
        raise InvalidTallyError(f"{AMOUNT_FIELD} is not an integer from 0 to 2^53", "send the amount to add")
    return TallyAdd(tally, parse_name(id_, "id"), amount)


@TALLY_ROUTES.route_prefix("POST", TALLIES_PREFIX)
async def add_to_tally(control: TallyProcess, request: Request) -> Response:
    """Count an add once; repeating an id, here or at another process, is acknowledged and changes nothing.

    Statuses 429 and 503 mean that nothing was done; after 504 the outcome is unknown.
    """
    try:
        add = parse_add(request.name, request.body)
    except InvalidTallyError as error:
        return json_response(400, str(error))
    tallies = control.tallies
    if not tallies.is_ready() or not tallies.accepts_adds():
        return json_response(
            503, "not ready to store an add; retry here or at another process", Retry_After=RETRY_AFTER_S
        )
    if not tallies.replica.has_room(add.tally):
        return json_response(429, "the limit of stored add ids is reached; retry later", Retry_After="1")
    try:
        async with asyncio.timeout(DECISION_TIMEOUT_S):
            await tallies.add(add.tally, add.id, add.amount)
    except TimeoutError:
        return json_response(504, "the outcome of the add is unknown; retry with the same id")
    return json_response(200)


@TALLY_ROUTES.route_prefix("GET", TALLIES_PREFIX)
async def get_tally(control: TallyProcess, request: Request) -> Response:
    """Return the sum of a tally as known here: at least what this process has acknowledged."""
    try:
        tally = parse_name(unquote(request.name), "the tally")
    except InvalidTallyError as error:
        return json_response(400, str(error))
    if not control.tallies.is_ready():
        return json_response(
            503, "sums are not loaded here yet; retry here or at another process", Retry_After=RETRY_AFTER_S
        )
    return Response(200, json.dumps({"sum": control.tallies.total(tally)}).encode())
