"""What is said to upstreams and how their answers are taken."""

from __future__ import annotations

import json
import re
import time
from dataclasses import dataclass

from passpost.http1 import Answer, Headers
from passpost.upstream import Outgoing
from umberworks.interface import Outcome

SEAL = b"mastturn-server-seal"
_REF = re.compile(r"[0-9A-Za-z_.~-]{1,128}")
_EVENTS = b"text/event-stream"


def header(headers: Headers, name: bytes) -> bytes | None:
    """The value of a header, by its name in lower case."""
    return next((v for n, v in headers if n.lower() == name), None)


def is_event_stream(status: int, headers: Headers) -> bool:
    """Whether an answer is a good stream of events: those are passed on as they come."""
    kind = header(headers, b"content-type") if 200 <= status < 300 else None
    return kind is not None and kind.lower().startswith(_EVENTS)


def is_not_run(answer: Answer) -> bool:
    """Whether the upstream says that it did not run the request."""
    return answer.status == 421 or header(answer.headers, b"mastturn-not-run") is not None


def outcome(answer: Answer) -> Outcome:
    """What an upstream's answer means."""
    if 200 <= answer.status < 300:
        return Outcome.SERVED
    return Outcome.TURNED_AWAY if is_not_run(answer) else Outcome.ERROR


@dataclass(frozen=True, slots=True)
class Staged(Outgoing):
    """A request on its way to one upstream; `ends`: when its client stops waiting, on the steady clock."""

    ends: float = 0.0
    request_id: bytes = b""
    extra: bytes = b""  # header lines of this stage

    def write(self, remaining: float) -> bytes:
        """The bytes for the wire, with the milliseconds that are left now."""
        left = max(self.ends - time.monotonic(), 0.0) * 1000
        return b"%bMastturn-Deadline-Ms: %d\r\n%b\r\n%b" % (self.head, left, self.extra, self.body)

    def is_answered_by(self, answer: Answer) -> bool:
        """By its id; only rejections may come without one."""
        return is_ours(answer.status, answer.headers, self.request_id)


def is_ours(status: int, headers: Headers, request_id: bytes) -> bool:
    """Whether an answer belongs to this request: by its id, which only those that are no success may lack."""
    told = header(headers, b"mastturn-request-id")
    return told == request_id if told is not None else status >= 300


def is_sound(headers: Headers) -> bool:
    """Whether a success is the upstream's own: sealed, and not encoded on its way."""
    fields = {name.lower() for name, _ in headers}
    return SEAL in fields and b"content-encoding" not in fields


@dataclass(frozen=True, slots=True)
class Freed(Outgoing):
    """The call that frees a handle; its answer carries no id."""

    def write(self, remaining: float) -> bytes:
        """The bytes for the wire."""
        return self.head


def free_handle(address: str, holder: str, ref: str) -> Freed:
    """Frees the memory behind `ref` at its holder."""
    lines = (
        f"DELETE /api/kv-handle/{ref} HTTP/1.1",
        f"Host: {address}",
        f"Mastturn-Target-Upstream: {holder}",
        "Content-Length: 0",
    )
    return Freed("\r\n".join([*lines, "", ""]).encode("latin-1"), b"")


def read_handle(body: bytes) -> tuple[str, int] | None:
    """The reference and the number of tokens in a prefill call's answer; None if it is none."""
    try:
        told = json.loads(body)
        ref, tokens = told["kv_ref"], int(told.get("ntokens", 0))
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError):
        return None
    return (ref, tokens) if isinstance(ref, str) and _REF.fullmatch(ref) else None
