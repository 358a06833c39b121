"""The protocol with upstreams: requests, and the interpretation of their answers."""

from __future__ import annotations

import json
import re
import time
from collections.abc import Callable
from dataclasses import dataclass

from passpost.attempt import OutgoingRequest
from passpost.http1 import Address, Headers, Response
from umberworks.interface import Outcome

SEAL, REQUEST_ID, NOT_RUN = b"mastturn-server-seal", b"mastturn-request-id", b"mastturn-not-run"
REJECTIONS = (400, 421)  # statuses that mean a rejection without the header Mastturn-Not-Run
IsDue = Callable[[int, Headers], bool]
_REF = re.compile(r"[0-9A-Za-z_.~-]{1,128}")
_EVENT_STREAM = b"text/event-stream"


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header; `name` is in lower case."""
    return next((v for n, v in headers if n.lower() == name), None)


def is_event_stream(status: int, headers: Headers) -> bool:
    """Return whether an answer is a successful event stream, which is forwarded as it arrives."""
    content_type = header(headers, b"content-type") if 200 <= status < 300 else None
    return content_type is not None and content_type.lower().startswith(_EVENT_STREAM)


def is_not_run(answer: Response) -> bool:
    """Return whether the upstream reports that it did not run the request."""
    return answer.status == 421 or header(answer.headers, NOT_RUN) is not None


def outcome(answer: Response) -> Outcome:
    """Return the outcome that an upstream's answer stands for."""
    if 200 <= answer.status < 300:
        return Outcome.SERVED
    return Outcome.TURNED_AWAY if is_not_run(answer) else Outcome.ERROR


@dataclass(frozen=True, slots=True)
class UpstreamRequest(OutgoingRequest):
    """A client's request for one upstream; `deadline`: when its client stops waiting, monotonic clock."""

    deadline: float = 0.0
    request_id: bytes = b""
    extra: bytes = b""  # headers of this stage
    needs_fresh_connection: bool = False  # it must run only once, or an earlier call broke off

    def encode(self, remaining: float) -> bytes:
        """Return the bytes to send, with the milliseconds that are left now."""
        left = max(self.deadline - time.monotonic(), 0.0) * 1000
        return b"%bMastturn-Deadline-Ms: %d\r\n%b\r\n%b" % (self.head, left, self.extra, self.body)

    @property
    def needs_unused_connection(self) -> bool:
        """Whether to use a new connection: a request that crosses an upstream's close is lost unnoticed."""
        return self.needs_fresh_connection

    @property
    def response_matcher(self) -> IsDue:
        """The check of an answer's request id; see `belongs_to_request`."""
        return lambda status, headers: belongs_to_request(status, headers, self.request_id)


def belongs_to_request(status: int, headers: Headers, request_id: bytes) -> bool:
    """Return whether an answer belongs to this request.

    Every answer carries its request's id, except that a rejection may lack it (PROTOCOL, "Upstreams").
    """
    value = header(headers, REQUEST_ID)
    return value == request_id if value is not None else is_rejection(status, headers)


def is_rejection(status: int, headers: Headers) -> bool:
    """Return whether an answer reports that its request was not run."""
    return status in REJECTIONS or header(headers, NOT_RUN) is not None


def is_sound(headers: Headers) -> bool:
    """Return whether a success is the upstream's own: sealed, and not encoded by an intermediary."""
    fields = {name.lower() for name, _ in headers}
    return SEAL in fields and b"content-encoding" not in fields


@dataclass(frozen=True, slots=True)
class BalancerCall(OutgoingRequest):
    """A call of the balancer itself; neither it nor its answer carries a request id."""

    def encode(self, remaining: float) -> bytes:
        """Return the bytes to send."""
        return self.head

    @property
    def response_matcher(self) -> IsDue:
        """The check of an answer: one with a request id belongs to an earlier request."""
        return lambda status, headers: not header(headers, REQUEST_ID)


def _balancer_call(line: str, address: str, upstream: str) -> BalancerCall:
    """Return a call without a body; any other upstream at that address answers it with 421."""
    fields = (f"Host: {address}", f"Mastturn-Target-Upstream: {upstream}", "Content-Length: 0")
    return BalancerCall("\r\n".join([line, *fields, "", ""]).encode("latin-1"), b"")


def free_handle_call(address: str, holder: str, ref: str) -> BalancerCall:
    """Return the call that frees the KV cache behind `ref` on its holder."""
    return _balancer_call(f"DELETE /api/kv-handle/{ref} HTTP/1.1", address, holder)


def ask_for_report(upstream: str, address: Address) -> BalancerCall:
    """Return the call that asks for an upstream's load report, which takes no slot (PROTOCOL, "Requests")."""
    host, port = address
    return _balancer_call("GET /api/report HTTP/1.1", f"{host}:{port}", upstream)


def read_handle(body: bytes) -> tuple[str, int] | None:
    """Return the handle reference and token count in a prefill answer; None if it is malformed."""
    try:
        value = json.loads(body)
        ref, tokens = value["kv_ref"], int(value.get("ntokens", 0))
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError):
        return None
    return (ref, tokens) if isinstance(ref, str) and _REF.fullmatch(ref) else None
