"""Hears every step of each request of one balancer, while it is laid on; without it nothing is paid for it.

It takes the place of a few methods of that one balancer's parts, and gives them back when it is removed.
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

Hear = Callable[[str, dict[str, Any]], None]


_KEY = "tap of the request steps"


def listen(balancer: Balancer, hear: Hear) -> Callable[[], None]:
    """From now on `hear` is told the name of each event and its fields, in order; the result ends that."""
    tap: Tap | None = balancer.__dict__.get(_KEY)
    if tap is None:
        tap = balancer.__dict__[_KEY] = Tap(balancer)
    tap.hearers.append(hear)

    def stop() -> None:
        tap.hearers.remove(hear)
        if not tap.hearers:
            tap.remove()
            del balancer.__dict__[_KEY]

    return stop


class Tap:
    """What is laid on one balancer; `hearers` are told of each event."""

    def __init__(self, balancer: Balancer) -> None:
        self.hearers: list[Hear] = []
        self._numbers: dict[int, str] = {}  # requests that are open
        self._current = ""  # the request that is being taken up
        self._laid: list[tuple[Any, str]] = []
        tiers = balancer.tiers
        self._lay(balancer, "take_up", self._take_up(balancer.take_up))
        self._lay(balancer, "on_request_ended", self._ended(balancer.on_request_ended))
        self._lay(tiers, "_draw", self._draw(tiers._draw))
        self._lay(balancer.upstreams, "send", self._send(balancer.upstreams.send))

    def remove(self) -> None:
        """All is as it was."""
        while self._laid:
            where, name = self._laid.pop()
            del where.__dict__[name]

    def _hear(self, event: str, fields: dict[str, Any]) -> None:
        for hear in list(self.hearers):
            hear(event, fields)

    def _lay(self, where: Any, name: str, method: Any) -> None:
        where.__dict__[name] = method
        self._laid.append((where, name))

    def _take_up(self, inner: Any) -> Any:
        def take_up(call: RoutedCall, remaining: float, *rest: Any) -> int:
            self._current = call.request_id.decode("latin-1")
            fields = {"request": self._current, "route": call.route.name, "tokens": call.prompt.tokens}
            self._hear("taken", fields | {"left_ms": round(remaining * 1000)})
            try:
                number: int = inner(call, remaining, *rest)
            finally:
                name, self._current = self._current, ""
            if name:  # it has not ended on the way
                self._numbers[number] = name
            return number

        return take_up

    def _ended(self, inner: Any) -> Any:
        def ended(number: int) -> None:
            name = self._numbers.pop(number, "")
            if not name:
                name, self._current = self._current, ""
            if name:
                self._hear("finished", {"request": name})
            inner(number)

        return ended

    def _draw(self, inner: Any) -> Any:
        def draw(group: Group, able: list[Peer], now: float) -> Peer:
            peer: Peer = inner(group, able, now)
            fields = {"upstream": peer.entry.id, "part": peer.entry.phase, "out_of": len(group.peers)}
            self._hear("drawn", fields | {"able": able, "group": group, "now": now})
            return peer

        return draw

    def _send(self, inner: Any) -> Any:
        def send(
            server: str, request: OutgoingRequest, timeout: float, done: Any, *rest: Any, **more: Any
        ) -> Any:
            name = getattr(request, "request_id", b"").decode("latin-1")
            if not name:
                return inner(server, request, timeout, done, *rest, **more)
            extra: bytes = getattr(request, "extra", b"")
            step = "read" if b"Mastturn-Stage" in extra else "fetch" if b"Kv-From" in extra else "run"
            fields = {"request": name, "upstream": server, "step": step}
            self._hear("sent", fields | {"timeout_ms": round(timeout * 1000)})

            def over(outcome: Outcome, answer: Any) -> None:
                status = answer.status if answer is not None else 0
                self._hear("answered", fields | {"outcome": outcome.value, "status": status})
                done(outcome, answer)

            return inner(server, request, timeout, over, *rest, **more)

        return send


SHOWN = (
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
    """Writes each step as a line of the log, at level DEBUG."""

    def __init__(self, balancer: Balancer) -> None:
        self._stop = listen(balancer, self._hear)

    def remove(self) -> None:
        """No more lines."""
        self._stop()

    def _hear(self, event: str, fields: dict[str, Any]) -> None:
        if event != "drawn":
            shown = " ".join(f"{k}={_value(fields[k])}" for k in SHOWN if k in fields)
            logger.debug("event={} {}", event, shown)


def _value(value: Any) -> str:
    text = str(value)
    return text if text and " " not in text and "'" not in text else repr(text)
