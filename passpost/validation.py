"""Validates request heads from clients; a request that `parse_request_head` rejects goes no further."""

from __future__ import annotations

import math
import re
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from passpost.http1 import MAX_BODY, MAX_HEAD, Headers, end_to_end_headers
from umberworks.interface import Effect, RequestClass

READINESS_PATH = b"/health/ready"

_SINGLE_HEADERS = (
    b"host",
    b"content-length",
    b"transfer-encoding",
    b"x-txn",
    b"x-org",
    b"x-remaining",
    b"idempotency-key",
)
_HEADER_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
_TOKEN = re.compile(rb"[\x21-\x7e]+")  # for ids and keys, which upstreams compare
_TARGET = re.compile(rb"/[\x21-\x7e]*")
_LENGTH = re.compile(rb"[0-9]{1,18}")
_NUMBER = re.compile(rb"[-+]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][-+]?[0-9]+)?")


class BadRequestError(Exception):
    """The request is answered with this error status, and its connection is closed."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a valid request; `remaining_s` counts from the last byte of the request."""

    class_name: str
    request_id: bytes
    tenant: str | None
    remaining_s: float
    method: bytes
    target: bytes
    forwarded_headers: Headers


def parse_request_head(
    method: bytes, target: bytes, version: str, headers: Headers, classes: Mapping[str, RequestClass]
) -> RequestHead | None:
    """The parsed head of a request, None for a readiness check; raises BadRequestError.

    Whatever can be read in two ways is rejected, so that no upstream can read it differently.
    """
    if sum(len(n) + len(v) + 4 for n, v in headers) + len(target) > MAX_HEAD:
        raise BadRequestError(431)
    seen = Counter(name.lower() for name, _ in headers)
    if any(seen[name] > 1 for name in _SINGLE_HEADERS):
        raise BadRequestError(400)
    if not _TARGET.fullmatch(target) or not all(_HEADER_VALUE.fullmatch(value) for _, value in headers):
        raise BadRequestError(400)
    fields = {name.lower(): value for name, value in headers}

    length, transfer_coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
    if length is not None and (transfer_coding is not None or not _LENGTH.fullmatch(length)):
        raise BadRequestError(400)  # with both, a second request could be smuggled past one side
    if transfer_coding is not None and (transfer_coding.lower() != b"chunked" or version != "1.1"):
        raise BadRequestError(400)
    if length is not None and int(length) > MAX_BODY:
        raise BadRequestError(413)

    if method not in (b"GET", b"POST"):
        raise BadRequestError(405)
    path = target.partition(b"?")[0]
    if path == READINESS_PATH:
        return None
    request_class = classes.get(path.split(b"/")[1].decode("ascii"))
    if request_class is None:
        raise BadRequestError(404)
    if method != (b"GET" if request_class.effect is Effect.REPEATABLE else b"POST"):
        raise BadRequestError(405)
    if method == b"GET" and (transfer_coding is not None or int(length or 0) > 0):
        raise BadRequestError(400)
    request_id, key = fields.get(b"x-txn", b""), fields.get(b"idempotency-key")
    if not _TOKEN.fullmatch(request_id) or (key is not None) != (request_class.effect is Effect.KEYED):
        raise BadRequestError(400)  # without a key a repeat could not be detected
    if key is not None and not _TOKEN.fullmatch(key):
        raise BadRequestError(400)
    remaining = request_class.deadline_ms / 1000
    if (remaining_header := fields.get(b"x-remaining")) is not None:
        if not _NUMBER.fullmatch(remaining_header) or not math.isfinite(float(remaining_header)):
            raise BadRequestError(400)
        remaining = min(float(remaining_header), remaining)
    tenant = fields[b"x-org"].decode("latin-1") if b"x-org" in fields else None
    forwarded_headers = [(n, v) for n, v in end_to_end_headers(headers) if n.lower() != b"x-remaining"]
    return RequestHead(request_class.name, request_id, tenant, remaining, method, target, forwarded_headers)
