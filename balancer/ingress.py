"""Validates and routes the head of a client's request."""

from __future__ import annotations

import math
import re
from collections import Counter
from dataclasses import dataclass

from balancer.prompt import Prompt, read_prompt
from balancer.routes import RouteTable
from config.configuration import ClientLimits, Route
from passpost.http1 import Headers, end_to_end_headers
from passpost.validation import BadRequestError, RequestHead

REQUEST_ID, DEADLINE = b"mastturn-request-id", b"mastturn-deadline-ms"

_SINGLE_HEADERS = (b"host", b"content-length", b"transfer-encoding", REQUEST_ID, DEADLINE, b"last-event-id")
_NOT_FORWARDED = frozenset(  # set by the balancer for each upstream, or not accepted from clients
    (DEADLINE, b"mastturn-target-upstream", b"mastturn-stage", b"kv-from", b"priority", b"last-event-id")
)
_METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"))
_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
_TOKEN = re.compile(rb"[\x21-\x7e]+")
_TARGET = re.compile(rb"/[\x21-\x7e]*")
_LENGTH = re.compile(rb"[0-9]{1,18}")
_MS = re.compile(rb"[0-9]{1,9}(\.[0-9]*)?")


@dataclass(frozen=True, slots=True)
class RoutedCall(RequestHead):
    """The head of a valid request, with its route; `after`: id of the last event that its client has."""

    route: Route
    prompt: Prompt
    after: bytes | None


def read_head(
    method: bytes, target: bytes, version: str, headers: Headers, table: RouteTable, limits: ClientLimits
) -> RoutedCall:
    """Parse a head; raises BadRequestError (400, 404, 405, 413, 431).

    Ambiguous heads are refused, as an upstream might interpret them differently (request smuggling).
    """
    if sum(len(n) + len(v) + 4 for n, v in headers) + len(target) > limits.max_header_bytes:
        raise BadRequestError(431)
    fields = {name.lower(): value for name, value in headers}
    if len(fields) < len(headers):
        counts = Counter(name.lower() for name, _ in headers)
        if any(counts[name] > 1 for name in _SINGLE_HEADERS):
            raise BadRequestError(400)
    if not _TARGET.fullmatch(target) or not all(_VALUE.fullmatch(value) for _, value in headers):
        raise BadRequestError(400)

    length, encoding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
    if length is not None and (encoding is not None or not _LENGTH.fullmatch(length)):
        raise BadRequestError(400)  # with both, upstreams may disagree where the request ends
    if encoding is not None and (encoding.lower() != b"chunked" or version != "1.1"):
        raise BadRequestError(400)
    if length is not None and int(length) > limits.max_body_bytes:
        raise BadRequestError(413)
    if method not in _METHODS:
        raise BadRequestError(405)
    txn = fields.get(REQUEST_ID, b"")
    if not _TOKEN.fullmatch(txn):
        raise BadRequestError(400)

    path = target.partition(b"?")[0].decode("latin-1")
    route = table.find(fields.get(b"host", b"").decode("latin-1"), path)
    if route is None:
        raise BadRequestError(404)
    remaining = route.deadline_ms / 1000
    if (limit_ms := fields.get(DEADLINE)) is not None and _MS.fullmatch(limit_ms):
        remaining = min(remaining, float(limit_ms) / 1000)
    passed_on = [(n, v) for n, v in end_to_end_headers(headers) if n.lower() not in _NOT_FORWARDED]
    prompt = read_prompt(fields.get(b"mastturn-prompt-prefix"), fields.get(b"mastturn-token-count"))
    after = fields.get(b"last-event-id")
    if not math.isfinite(remaining):
        raise BadRequestError(400)
    return RoutedCall(route.name, txn, None, remaining, method, target, passed_on, route, prompt, after)
