"""Emits an event for every step of each request of one balancer, while a listener is subscribed.

It replaces a few methods on that balancer's parts and restores them afterwards, so that there is no cost
without a listener.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from balancer.balancer import Balancer
from balancer.ingress import RoutedCall
from balancer.peer import Peer
from balancer.tiers import Group
from passpost.attempt import OutgoingRequest
from umberworks.interface import Outcome

EventListener = Callable[[str, dict[str, Any]], None]


_KEY = "request step tap"


def subscribe(balancer: Balancer, listener: EventListener) -> Callable[[], None]:
    """Call `listener` with the name and fields of each event; returns a function that unsubscribes."""
    tap: Tap | None = balancer.__dict__.get(_KEY)
    if tap is None:
        tap = balancer.__dict__[_KEY] = Tap(balancer)
    tap.listeners.append(listener)

    def stop() -> None:
        tap.listeners.remove(listener)
        if not tap.listeners:
            tap.remove()
            del balancer.__dict__[_KEY]

    return stop


class Tap:
    """The method wrappers of one balancer, which notify `listeners`."""

    def __init__(self, balancer: Balancer) -> None:
        self.listeners: list[EventListener] = []
        self._open_requests: dict[int, str] = {}  # request id by number
        self._current = ""  # id of the request being taken up
        self._wrapped: list[tuple[Any, str]] = []
        tiers = balancer.tiers
        self._wrap(balancer, "take_up", self._wrap_take_up(balancer.take_up))
        self._wrap(balancer, "on_request_ended", self._wrap_request_ended(balancer.on_request_ended))
        self._wrap(tiers, "_draw", self._wrap_draw(tiers._draw))
        self._wrap(balancer.upstreams, "send", self._wrap_send(balancer.upstreams.send))

    def remove(self) -> None:
        """Restore the original methods."""
        while self._wrapped:
            owner, name = self._wrapped.pop()
            del owner.__dict__[name]

    def _emit(self, event: str, fields: dict[str, Any]) -> None:
        for listener in list(self.listeners):
            listener(event, fields)

    def _wrap(self, owner: Any, name: str, method: Any) -> None:
        owner.__dict__[name] = method
        self._wrapped.append((owner, name))

    def _wrap_take_up(self, original: Any) -> Any:
        def take_up(call: RoutedCall, remaining: float, *rest: Any) -> int:
            self._current = call.request_id.decode("latin-1")
            fields = {"request": self._current, "route": call.route.name, "tokens": call.prompt.tokens}
            self._emit("taken", fields | {"left_ms": round(remaining * 1000)})
            try:
                number: int = original(call, remaining, *rest)
            finally:
                name, self._current = self._current, ""
            if name:  # the request did not end during the call
                self._open_requests[number] = name
            return number

        return take_up

    def _wrap_request_ended(self, original: Any) -> Any:
        def ended(number: int) -> None:
            name = self._open_requests.pop(number, "")
            if not name:
                name, self._current = self._current, ""
            if name:
                self._emit("finished", {"request": name})
            original(number)

        return ended

    def _wrap_draw(self, original: Any) -> Any:
        def draw(group: Group, candidates: list[Peer], now: float) -> Peer:
            peer: Peer = original(group, candidates, now)
            fields = {"upstream": peer.entry.id, "part": peer.entry.phase, "out_of": len(group.peers)}
            self._emit("drawn", fields | {"able": candidates, "group": group, "now": now})
            return peer

        return draw

    def _wrap_send(self, original: Any) -> Any:
        def send(
            server: str, request: OutgoingRequest, timeout: float, done: Any, *rest: Any, **options: Any
        ) -> Any:
            name = getattr(request, "request_id", b"").decode("latin-1")
            if not name:
                return original(server, request, timeout, done, *rest, **options)
            extra: bytes = getattr(request, "extra", b"")
            step = "read" if b"Mastturn-Stage" in extra else "fetch" if b"Kv-From" in extra else "run"
            fields = {"request": name, "upstream": server, "step": step}
            self._emit("sent", fields | {"timeout_ms": round(timeout * 1000)})

            def on_done(outcome: Outcome, answer: Any) -> None:
                status = answer.status if answer is not None else 0
                self._emit("answered", fields | {"outcome": outcome.value, "status": status})
                done(outcome, answer)

            return original(server, request, timeout, on_done, *rest, **options)

        return send


LOGGED_FIELDS = (
    "request",
    "route",
    "step",
    "upstream",
    "part",
    "tokens",
    "left_ms",
    "timeout_ms",
    "outcome",
    "status",
)


class StepLog:
    """Logs each step at level DEBUG."""

    def __init__(self, balancer: Balancer) -> None:
        self._stop = subscribe(balancer, self._emit)

    def remove(self) -> None:
        """Stop logging."""
        self._stop()

    def _emit(self, event: str, fields: dict[str, Any]) -> None:
        if event != "drawn":
            text = " ".join(f"{k}={_format_value(fields[k])}" for k in LOGGED_FIELDS if k in fields)
            logger.debug("event={} {}", event, text)


def _format_value(value: Any) -> str:
    text = str(value)
    return text if text and " " not in text and "'" not in text else repr(text)
