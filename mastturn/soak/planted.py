"""Planted defects: the fleet's programs with one fault put in, to see that a soak finds it.

`python -m mastturn.soak.planted DEFECT ROLE` runs a role of the system so.
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

Plant = Callable[[], None]


def _stale_error_taken() -> None:
    from balancer import upstream_protocol

    def belongs_to_request(status: int, headers: Headers, request_id: bytes) -> bool:
        told = upstream_protocol.header(headers, upstream_protocol.REQUEST_ID)
        return told == request_id if told is not None else status >= 300

    upstream_protocol.belongs_to_request = belongs_to_request


def _id_not_looked_at() -> None:
    from balancer import upstream_protocol

    upstream_protocol.belongs_to_request = lambda status, headers, request_id: True


def _fin_taken_as_end() -> None:
    from passpost.http1 import EndKind, Framing, Response, ResponseReader

    def end(self: ResponseReader, kind: EndKind) -> Response | None:
        if kind is EndKind.FIN and self.framing() is not Framing.UNKNOWN and self._response is None:
            self._response = Response(self._status, self._headers, self._buffered_body(), False)
            return self._response
        return None

    _replace(ResponseReader, "end", end)


def _reset_taken_as_end() -> None:
    from passpost import upstream_connection
    from passpost.http1 import EndKind

    upstream_connection.__dict__["connection_end"] = lambda peer: EndKind.FIN


def _death_taken_as_end() -> None:
    from balancer import options

    made = options.upstream_options
    options.upstream_options = lambda: dataclasses.replace(made(), liveness_request=None)


def _kept_after_surplus() -> None:
    from passpost.http1 import ResponseReader
    from passpost.upstream_connection import UpstreamConnection

    taken = UpstreamConnection.data_received

    def data_received(self: UpstreamConnection, data: bytes) -> None:
        if self._attempt is not None:
            taken(self, data)

    def is_spent(self: UpstreamConnection) -> bool:
        return self._transport is None or self._transport.is_closing()

    _replace(ResponseReader, "has_surplus", lambda self: False)
    _replace(UpstreamConnection, "data_received", data_received)
    _replace(UpstreamConnection, "is_spent", is_spent)


def _repeated_after_reset() -> None:
    from balancer.request_machine import Budget, RequestStateMachine

    made = RequestStateMachine.__init__

    def make(
        self: RequestStateMachine, tries: int, idempotent: bool, resumable: bool, budget: Budget
    ) -> None:
        made(self, tries, True, resumable, budget)

    _replace(RequestStateMachine, "__init__", make)


def _dropped_at_sigterm() -> None:
    from balancer.balancer import Balancer

    _replace(Balancer, "drain", Balancer.stop)


def _gap_in_resumed_stream() -> None:
    from balancer.active_request import ActiveRequest
    from balancer.streams import EventReader

    common = ActiveRequest._common_headers

    def skip_one(self: ActiveRequest, rank: int) -> bytes:
        last = self._relay.last_event_id
        told = common(self, rank)
        return told if last is None else told.replace(b"Event-Id: %d" % last, b"Event-Id: %d" % (last + 1))

    check = EventReader._check

    def accept(self: EventReader, data: bytes, start: int, end: int) -> bool:
        is_next = check(self, data, start, end)
        if not is_next:
            self.last_event_id = None
            check(self, data, start, end)
        return True

    _replace(ActiveRequest, "_common_headers", skip_one)
    _replace(EventReader, "_check", accept)


def _late_list_taken() -> None:
    from control.platform import PlatformList

    read = PlatformList.read
    held: deque[list[dict[str, Any]]] = deque(maxlen=LISTS_LATE)

    async def read_late(self: PlatformList) -> list[dict[str, Any]]:
        entries = await read(self)
        held.append(entries)
        return held[0] if len(held) == LISTS_LATE and int(time.monotonic()) % 2 else entries

    _replace(PlatformList, "read", read_late)


def _held_past_deadline() -> None:
    from balancer import options

    made = options.upstream_options
    options.upstream_options = lambda: dataclasses.replace(made(), applies_timeout_to_streams=False)


def _body_altered() -> None:
    from balancer.upstream_protocol import UpstreamRequest

    encode = UpstreamRequest.encode

    def alter(self: UpstreamRequest, remaining: float) -> bytes:
        data = encode(self, remaining)
        return data[:-BYTES_ALTERED] + bytes(BYTES_ALTERED) if len(self.body) > BYTES_LONG else data

    _replace(UpstreamRequest, "encode", alter)


def _replace(where: type, name: str, method: Any) -> None:
    setattr(where, name, method)


BYTES_LONG, BYTES_ALTERED = 65_536, 100
LISTS_LATE = 5  # a list that is so many calls old
_PLANTS: dict[str, tuple[str, Plant]] = {
    "stale-error-taken": ("a late error without an id passes for the next answer", _stale_error_taken),
    "id-not-looked-at": ("whatever comes next passes for the answer", _id_not_looked_at),
    "fin-taken-as-end": ("a FIN ends an answer that has a length or chunks", _fin_taken_as_end),
    "reset-taken-as-end": ("a reset ends an answer as if in order", _reset_taken_as_end),
    "death-taken-as-end": ("a FIN ends an answer whose upstream has died", _death_taken_as_end),
    "kept-after-surplus": ("a connection is used again after bytes of no request", _kept_after_surplus),
    "repeated-after-reset": ("what may run once is sent again after a reset", _repeated_after_reset),
    "dropped-at-sigterm": ("requests are dropped at SIGTERM", _dropped_at_sigterm),
    "gap-in-resumed-stream": ("a stream that is resumed skips an event", _gap_in_resumed_stream),
    "late-list-taken": ("an older list is taken over a newer one", _late_list_taken),
    "body-altered": ("a long body reaches its upstream with other bytes at its end", _body_altered),
    "held-past-deadline": ("an answer that has begun has no deadline", _held_past_deadline),
}


def described() -> dict[str, str]:
    """The defects by name, each in a line."""
    return {name: what for name, (what, _) in _PLANTS.items()}


def known(name: str) -> str:
    """The name, if it is one of them or empty; raises LabError."""
    if name and name not in _PLANTS:
        raise LabError(f"--defect {name!r}: allowed: {', '.join(_PLANTS)}")
    return name


def main(argv: list[str]) -> None:
    """Plant a defect and run the role."""
    name, *words = argv
    _PLANTS[known(name)][1]()
    sys.argv = ["mastturnd", *words]
    runpy.run_module("mastturnd", run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1:])
