"""The calls of applications on tallies: any process that keeps them answers, on either side of a cut."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import unquote

from config.errors import InvalidTallyError
from control.operators import DECISION_TIMEOUT_S, RETRY_AFTER_S
from control.tally_keeper import TallyKeeper
from transport.calls import Request, Response, Routes, json_response

TALLY_ROUTES = Routes()
TALLIES_PREFIX = "/api/tallies/"
AMOUNT = "actor"  # the field of a call that says how much is added
MOST_NAME = 128  # characters of a tally's name and of an id
MOST_AMOUNT = 2**53  # what JSON numbers tell exactly


class Keeps(Protocol):
    """A control process that keeps tallies."""

    tallies: TallyKeeper


@dataclass(frozen=True, slots=True)
class TallyAdd:
    """What an application asks to be added."""

    tally: str
    id: str
    amount: int


def parse_name(text: str, what: str) -> str:
    """A name as it may be kept; raises InvalidTallyError."""
    if not text or len(text) > MOST_NAME or not text.isascii() or not text.isprintable():
        raise InvalidTallyError(f"{what} is no name", f"give it 1 to {MOST_NAME} printable ASCII characters")
    return text


def parse_add(name: str, body: bytes) -> TallyAdd:
    """The add that a call asks for; raises InvalidTallyError that names what is wrong."""
    tally = parse_name(unquote(name), "the tally")
    try:
        raw: Any = json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidTallyError("the body is no JSON", 'send {"id":"...","actor":1}') from None
    if not isinstance(raw, dict):
        raise InvalidTallyError("the body is no object", 'send {"id":"...","actor":1}')
    id_, amount = raw.get("id"), raw.get(AMOUNT)
    if not isinstance(id_, str):
        raise InvalidTallyError("id is no text", "give each add an id of its own")
    if isinstance(amount, bool) or not isinstance(amount, int) or not 0 <= amount <= MOST_AMOUNT:
        raise InvalidTallyError(f"{AMOUNT} is no whole number from 0 to 2^53", "give what is to be added")
    return TallyAdd(tally, parse_name(id_, "id"), amount)


@TALLY_ROUTES.route_prefix("POST", TALLIES_PREFIX)
async def add_to_tally(control: Keeps, request: Request) -> Response:
    """Count an add once; the same id again, here or elsewhere, changes nothing and is acknowledged.

    429 and 503 promise that nothing was done, 504 promises nothing.
    """
    try:
        asked = parse_add(request.name, request.body)
    except InvalidTallyError as error:
        return json_response(400, str(error))
    tallies = control.tallies
    if not tallies.is_ready() or not tallies.accepts_adds():
        return json_response(
            503, "not ready to keep an add; ask again or elsewhere", Retry_After=RETRY_AFTER_S
        )
    if not tallies.replica.has_room(asked.tally):
        return json_response(
            429, "as many adds as can be told apart are kept; ask again later", Retry_After="1"
        )
    try:
        async with asyncio.timeout(DECISION_TIMEOUT_S):
            await tallies.add(asked.tally, asked.id, asked.amount)
    except TimeoutError:
        return json_response(504, "the add may have been taken; send it again with the same id")
    return json_response(200)


@TALLY_ROUTES.route_prefix("GET", TALLIES_PREFIX)
async def get_tally(control: Keeps, request: Request) -> Response:
    """The sum of a tally as far as it is known here: at least what this process has acknowledged."""
    try:
        tally = parse_name(unquote(request.name), "the tally")
    except InvalidTallyError as error:
        return json_response(400, str(error))
    if not control.tallies.is_ready():
        return json_response(
            503, "sums are not known here yet; ask again or elsewhere", Retry_After=RETRY_AFTER_S
        )
    return Response(200, json.dumps({"sum": control.tallies.total(tally)}).encode())
