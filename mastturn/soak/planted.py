"""Planted defects: patches one defect into the fleet's programs, to check that a soak detects it.

`python -m mastturn.soak.planted DEFECT ROLE` runs a role of the system with that defect.
"""

from __future__ import annotations

import dataclasses
import runpy
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from mastturn.files import LabError
from passpost.http1 import Headers

Patch = Callable[[], None]


def _accept_stale_error() -> None:
    from balancer import upstream_protocol

    def belongs_to_request(status: int, headers: Headers, request_id: bytes) -> bool:
        value = upstream_protocol.header(headers, upstream_protocol.REQUEST_ID)
        return value == request_id if value is not None else status >= 300

    upstream_protocol.belongs_to_request = belongs_to_request


def _ignore_request_id() -> None:
    from balancer import upstream_protocol

    upstream_protocol.belongs_to_request = lambda status, headers, request_id: True


def _accept_fin_as_end() -> None:
    from passpost.http1 import EndKind, Framing, Response, ResponseReader

    def end(self: ResponseReader, kind: EndKind) -> Response | None:
        if kind is EndKind.FIN and self.framing() is not Framing.UNKNOWN and self._response is None:
            self._response = Response(self._status, self._headers, self._buffered_body(), False)
            return self._response
        return None

    _patch(ResponseReader, "end", end)


def _accept_reset_as_end() -> None:
    from passpost import upstream_connection
    from passpost.http1 import EndKind

    upstream_connection.__dict__["connection_end"] = lambda peer: EndKind.FIN


def _skip_liveness_check() -> None:
    from balancer import options

    original = options.upstream_options
    options.upstream_options = lambda: dataclasses.replace(original(), liveness_request=None)


def _keep_connection_after_surplus() -> None:
    from passpost.http1 import ResponseReader
    from passpost.upstream_connection import UpstreamConnection

    original_data_received = UpstreamConnection.data_received

    def data_received(self: UpstreamConnection, data: bytes) -> None:
        if self._attempt is not None:
            original_data_received(self, data)

    def is_spent(self: UpstreamConnection) -> bool:
        return self._transport is None or self._transport.is_closing()

    _patch(ResponseReader, "has_surplus", lambda self: False)
    _patch(UpstreamConnection, "data_received", data_received)
    _patch(UpstreamConnection, "is_spent", is_spent)


def _repeat_after_reset() -> None:
    from balancer.request_machine import Budget, RequestStateMachine

    original = RequestStateMachine.__init__

    def patched_init(
        self: RequestStateMachine, tries: int, idempotent: bool, resumable: bool, budget: Budget
    ) -> None:
        original(self, tries, True, resumable, budget)

    _patch(RequestStateMachine, "__init__", patched_init)


def _drop_requests_at_sigterm() -> None:
    from balancer.balancer import Balancer

    _patch(Balancer, "drain", Balancer.stop)


def _skip_event_in_resumed_stream() -> None:
    from balancer.active_request import ActiveRequest
    from balancer.streams import EventReader

    original_headers = ActiveRequest._common_headers

    def skip_one_event(self: ActiveRequest, priority: int) -> bytes:
        last = self._relay.last_event_id
        value = original_headers(self, priority)
        return value if last is None else value.replace(b"Event-Id: %d" % last, b"Event-Id: %d" % (last + 1))

    check = EventReader._check

    def accept(self: EventReader, data: bytes, start: int, end: int) -> bool:
        is_next = check(self, data, start, end)
        if not is_next:
            self.last_event_id = None
            check(self, data, start, end)
        return True

    _patch(ActiveRequest, "_common_headers", skip_one_event)
    _patch(EventReader, "_check", accept)


def _accept_outdated_list() -> None:
    from control.platform import PlatformList

    read = PlatformList.read
    recent_lists: deque[list[dict[str, Any]]] = deque(maxlen=LIST_AGE_CALLS)

    async def read_late(self: PlatformList) -> list[dict[str, Any]]:
        entries = await read(self)
        recent_lists.append(entries)
        return (
            recent_lists[0] if len(recent_lists) == LIST_AGE_CALLS and int(time.monotonic()) % 2 else entries
        )

    _patch(PlatformList, "read", read_late)


def _drop_deadline_of_streams() -> None:
    from balancer import options

    original = options.upstream_options
    options.upstream_options = lambda: dataclasses.replace(original(), applies_timeout_to_streams=False)


def _alter_long_body() -> None:
    from balancer.upstream_protocol import UpstreamRequest

    encode = UpstreamRequest.encode

    def alter(self: UpstreamRequest, remaining: float) -> bytes:
        data = encode(self, remaining)
        return data[:-ALTERED_BYTES] + bytes(ALTERED_BYTES) if len(self.body) > LONG_BODY_BYTES else data

    _patch(UpstreamRequest, "encode", alter)


def _forget_addresses() -> None:
    from control.known_processes_store import KnownProcessesStore

    async def load(self: KnownProcessesStore) -> frozenset[Any]:
        return frozenset()

    _patch(KnownProcessesStore, "load", load)


def _patch(owner: type, name: str, method: Any) -> None:
    setattr(owner, name, method)


LONG_BODY_BYTES, ALTERED_BYTES = 65_536, 100
LIST_AGE_CALLS = 5  # age of the outdated list, in calls
_DEFECTS: dict[str, tuple[str, Patch]] = {
    "stale-error-taken": ("a late error without an id is taken for the next response", _accept_stale_error),
    "id-not-looked-at": ("whatever arrives next is taken for the response", _ignore_request_id),
    "fin-taken-as-end": ("a FIN completes a response that has a length or chunks", _accept_fin_as_end),
    "reset-taken-as-end": ("a reset completes a response like an orderly close", _accept_reset_as_end),
    "death-taken-as-end": ("a FIN completes a response whose upstream has crashed", _skip_liveness_check),
    "kept-after-surplus": (
        "a connection is reused after bytes that belong to no request",
        _keep_connection_after_surplus,
    ),
    "repeated-after-reset": ("a non-idempotent request is sent again after a reset", _repeat_after_reset),
    "dropped-at-sigterm": ("requests in flight are dropped at SIGTERM", _drop_requests_at_sigterm),
    "gap-in-resumed-stream": ("a resumed stream skips an event", _skip_event_in_resumed_stream),
    "late-list-taken": ("an outdated list replaces a newer one", _accept_outdated_list),
    "body-altered": ("the last bytes of a long request body are altered", _alter_long_body),
    "addresses-forgotten": ("members start without the addresses of others", _forget_addresses),
    "held-past-deadline": ("a response that has begun has no deadline", _drop_deadline_of_streams),
}


def descriptions() -> dict[str, str]:
    """Return a one-line description of each defect, by name."""
    return {name: description for name, (description, _) in _DEFECTS.items()}


def validated(name: str) -> str:
    """Return the name if it is empty or names a defect; raises LabError otherwise."""
    if name and name not in _DEFECTS:
        raise LabError(f"--defect {name!r}: allowed: {', '.join(_DEFECTS)}")
    return name


def main(argv: list[str]) -> None:
    """Patch in a defect and run the role."""
    name, *arguments = argv
    _DEFECTS[validated(name)][1]()
    sys.argv = ["mastturnd", *arguments]
    runpy.run_module("mastturnd", run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1:])
