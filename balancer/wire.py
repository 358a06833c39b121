"""What is said to upstreams and how their answers are taken."""

from __future__ import annotations

import json
import re
import time
from collections.abc import Callable
from dataclasses import dataclass

from passpost.attempt import UpstreamRequest
from passpost.http1 import Address, Headers, Response
from umberworks.interface import Outcome

SEAL, REQUEST_ID, NOT_RUN = b"mastturn-server-seal", b"mastturn-request-id", b"mastturn-not-run"
REJECTIONS = (400, 421)  # statuses that need no header to say so
IsDue = Callable[[int, Headers], bool]
_REF = re.compile(r"[0-9A-Za-z_.~-]{1,128}")
_EVENTS = b"text/event-stream"


def header(headers: Headers, name: bytes) -> bytes | None:
    """The value of a header, by its name in lower case."""
    return next((v for n, v in headers if n.lower() == name), None)


def is_event_stream(status: int, headers: Headers) -> bool:
    """Whether an answer is a good stream of events: those are passed on as they come."""
    kind = header(headers, b"content-type") if 200 <= status < 300 else None
    return kind is not None and kind.lower().startswith(_EVENTS)


def is_not_run(answer: Response) -> bool:
    """Whether the upstream says that it did not run the request."""
    return answer.status == 421 or header(answer.headers, NOT_RUN) is not None


def outcome(answer: Response) -> Outcome:
    """What an upstream's answer means."""
    if 200 <= answer.status < 300:
        return Outcome.SERVED
    return Outcome.TURNED_AWAY if is_not_run(answer) else Outcome.ERROR


@dataclass(frozen=True, slots=True)
class Staged(UpstreamRequest):
    """A request on its way to one upstream; `ends`: when its client stops waiting, on the steady clock."""

    ends: float = 0.0
    request_id: bytes = b""
    extra: bytes = b""  # header lines of this stage
    is_careful: bool = False  # it may run once, or a call of its request has broken off already

    def encode(self, remaining: float) -> bytes:
        """The bytes for the wire, with the milliseconds that are left now."""
        left = max(self.ends - time.monotonic(), 0.0) * 1000
        return b"%bMastturn-Deadline-Ms: %d\r\n%b\r\n%b" % (self.head, left, self.extra, self.body)

    @property
    def needs_unused_connection(self) -> bool:
        """What crosses an upstream's stray bytes and its close is never read, and nobody can tell."""
        return self.is_careful

    @property
    def response_matcher(self) -> IsDue:
        """By its id; see `is_ours`."""
        return lambda status, headers: is_ours(status, headers, self.request_id)


def is_ours(status: int, headers: Headers, request_id: bytes) -> bool:
    """Whether an answer belongs to this request.

    Every answer carries its request's id; only one that says that nothing was run may lack it (PROTOCOL,
    "Upstreams").
    """
    told = header(headers, REQUEST_ID)
    return told == request_id if told is not None else is_rejection(status, headers)


def is_rejection(status: int, headers: Headers) -> bool:
    """Whether an answer says that its request was not run."""
    return status in REJECTIONS or header(headers, NOT_RUN) is not None


def is_sound(headers: Headers) -> bool:
    """Whether a success is the upstream's own: sealed, and not encoded on its way."""
    fields = {name.lower() for name, _ in headers}
    return SEAL in fields and b"content-encoding" not in fields


@dataclass(frozen=True, slots=True)
class CallWithoutId(UpstreamRequest):
    """A call of the balancer's own; it carries no request's id, and neither does its answer."""

    def encode(self, remaining: float) -> bytes:
        """The bytes for the wire."""
        return self.head

    @property
    def response_matcher(self) -> IsDue:
        """An answer with an id belongs to an earlier request."""
        return lambda status, headers: not header(headers, REQUEST_ID)


def _call(line: str, address: str, upstream: str) -> CallWithoutId:
    """A call without a body; any other upstream at that address answers 421."""
    fields = (f"Host: {address}", f"Mastturn-Target-Upstream: {upstream}", "Content-Length: 0")
    return CallWithoutId("\r\n".join([line, *fields, "", ""]).encode("latin-1"), b"")


def free_handle(address: str, holder: str, ref: str) -> CallWithoutId:
    """Frees the memory behind `ref` at its holder."""
    return _call(f"DELETE /api/kv-handle/{ref} HTTP/1.1", address, holder)


def ask_for_report(upstream: str, address: Address) -> CallWithoutId:
    """Asks an upstream how it stands, which takes no place there (PROTOCOL, "Requests")."""
    host, port = address
    return _call("GET /api/report HTTP/1.1", f"{host}:{port}", upstream)


def read_handle(body: bytes) -> tuple[str, int] | None:
    """The reference and the number of tokens in a prefill call's answer; None if it is none."""
    try:
        told = json.loads(body)
        ref, tokens = told["kv_ref"], int(told.get("ntokens", 0))
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError):
        return None
    return (ref, tokens) if isinstance(ref, str) and _REF.fullmatch(ref) else None
