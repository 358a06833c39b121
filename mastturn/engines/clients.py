"""Simulated clients: they send requests, retry after refusals and failures, and record the outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from mastturn.engines.demand import ClientRequest
from mastturn.engines.records import Record
from passpost.http1 import FlowControl, Response, ResponseStart

RETRY_DELAY_S = 0.2  # after a failure
MAX_UNACCEPTED = 4  # attempts that no balancer accepted and that do not count; the delay doubles with each
RETRY_AFTER_SHARE = 1 / 3  # Retry-After is capped at this share of the remaining time
SILENCE_LIMITS = (2.0, 4.0, 8.0)  # seconds, objectives, pause objectives: the largest applies


class Endpoint(Protocol):
    """What a client needs of a balancer."""

    def accept_request(
        self,
        client_request: ClientRequest,
        request_id: bytes,
        time_left_s: float,
        after: int | None,
        client: ClientAttempt,
    ) -> int | None:
        """Accept a complete request; returns its number, or None if it can't be accepted."""

    def disconnect_client(self, number: int) -> None:
        """Handle the disconnection of a client."""

    def is_starting(self) -> bool:
        """Whether the process listens but does not accept requests yet."""

    def call_when_ready(self, callback: Callable[[], None]) -> None:
        """Call back once the process accepts requests."""


class ClientAttempt:
    """One attempt of a client: the response sink that the balancer writes to."""

    def __init__(self, client: Client, endpoint: Endpoint) -> None:
        self._client, self.endpoint = client, endpoint
        self.number: int | None = None
        self.is_over = False

    def is_connected(self) -> bool:
        """Whether the client still waits for the response."""
        return not self.is_over

    def send_response(self, answer: Response) -> None:
        """Treat an unstreamed response as a failure: emulated requests only get streams."""
        self._client.deliver(self, self._client.on_failure)

    def begin_response(self, start: ResponseStart, flow: FlowControl) -> None:
        """Ignore the start of a stream."""

    def send_body(self, data: bytes) -> None:
        """Deliver events of the stream."""
        self._client.deliver(self, self._client.on_events, data.count(b"id: "))

    def complete(self) -> None:
        """Deliver the end of a complete stream."""
        self._client.deliver(self, self._client.on_complete)

    def abort(self) -> None:
        """Deliver the abort of the response."""
        self._client.deliver(self, self._client.on_failure)

    def refuse(self, retry_after_ms: float) -> None:
        """Deliver a refusal; the request has not run."""
        self._client.deliver(self, self._client.refused, retry_after_ms / 1000)

    def fail(self, status: int) -> None:
        """Deliver a failure; the request may have run."""
        self._client.deliver(self, self._client.on_failure)


class Client:
    """The client of one request, over all its attempts."""

    def __init__(
        self,
        record: Record,
        choose: Callable[[ClientRequest, int], Endpoint | None],
        one_way_s: float,
        closed: Callable[[Record], None],
    ) -> None:
        """`one_way_s`: one-way latency to a balancer, in seconds."""
        self._record, self._choose, self._one_way_s, self._closed = record, choose, one_way_s, closed
        self._loop = asyncio.get_running_loop()
        self._start = self._loop.time()
        self._deadline = self._start + record.client_request.kind.deadline_ms / 1000
        self._attempt_start = self._start
        self._attempt: ClientAttempt | None = None
        self._timer = self._loop.call_at(self._deadline, self._on_deadline)
        self._last_event_at = self._start
        kind = record.client_request.kind
        objectives_ms = (kind.aim_ms, kind.stream.gap_aim_ms)
        self._unaccepted = 0
        self._silence_limit_s = max(
            SILENCE_LIMITS[0],
            SILENCE_LIMITS[1] * objectives_ms[0] / 1000,
            SILENCE_LIMITS[2] * objectives_ms[1] / 1000,
        )

    def start_attempt(self) -> None:
        """Start an attempt."""
        record = self._record
        if record.end != "open":
            return
        record.tries += 1
        self._attempt_start = self._loop.time()
        endpoint = self._choose(record.client_request, record.tries + self._unaccepted)
        if endpoint is None:
            self.on_unaccepted()
            return
        self._attempt = ClientAttempt(self, endpoint)
        self._loop.call_later(self._one_way_s, self._arrive, self._attempt)

    def _arrive(self, current: ClientAttempt) -> None:
        if current.is_over:
            return
        request_id = b"%d-%d-%d" % (self._record.client_request.number, self._record.tries, self._unaccepted)
        after = self._record.pieces if self._record.pieces else None
        time_left_s = self._deadline - self._loop.time()
        if current.endpoint.is_starting():
            current.endpoint.call_when_ready(lambda: self._arrive(current))
            return
        current.number = current.endpoint.accept_request(
            self._record.client_request, request_id, time_left_s, after, current
        )
        if current.number is None:
            self.deliver(current, self.on_unaccepted)

    def deliver(self, current: ClientAttempt, callback: Callable[..., None], *args: float) -> None:
        """Deliver a callback of a balancer after the network latency."""
        self._loop.call_later(self._one_way_s, self._on_delivered, current, callback, args)

    def _on_delivered(
        self, current: ClientAttempt, callback: Callable[..., None], args: tuple[float, ...]
    ) -> None:
        if not current.is_over:
            callback(*args)

    def on_events(self, count: int) -> None:
        """Record received events."""
        now, record = self._loop.time(), self._record
        if record.first_event_s is None:
            record.first_event_s = now - self._start
            record.retry_first_event_s = now - self._attempt_start
        else:
            record.longest_pause_s = max(record.longest_pause_s, now - self._last_event_at)
        self._last_event_at = now
        record.pieces += count

    def on_complete(self) -> None:
        """Handle the end of the answer."""
        self._record.is_complete = self._record.pieces == self._record.client_request.pieces
        self._close("served" if self._record.is_complete else "failed")

    def refused(self, after_s: float) -> None:
        """Retry after a refusal, or close the request; it has not run."""
        record, now = self._record, self._loop.time()
        record.refusals += 1
        if record.refused is None:
            record.refused = now - self._start
        self._end_attempt()
        if record.tries > record.client_request.kind.retries:
            self._close("refused")
        else:
            self._retry(min(after_s, max(self._deadline - now, 0.0) * RETRY_AFTER_SHARE))

    def on_failure(self) -> None:
        """Retry after a failure if the request is resumable; it may have run."""
        self._end_attempt()
        kind = self._record.client_request.kind
        if kind.stream.resume and self._record.tries <= kind.retries:
            self._retry(RETRY_DELAY_S)
        else:
            self._close("failed")

    def on_unaccepted(self) -> None:
        """Retry an attempt that no balancer accepted; it does not count as an attempt."""
        self._end_attempt()
        self._unaccepted += 1
        if self._unaccepted <= MAX_UNACCEPTED:
            self._record.tries -= 1
            self._retry(RETRY_DELAY_S * 2 ** (self._unaccepted - 1))
        else:
            self.on_failure()

    def _retry(self, delay_s: float) -> None:
        if self._loop.time() + delay_s >= self._deadline:
            self._close("refused" if self._record.refusals else "failed")
        else:
            self._loop.call_later(delay_s, self.start_attempt)

    def _end_attempt(self) -> None:
        if self._attempt is not None:
            self._attempt.is_over = True
            self._attempt = None

    def _on_deadline(self) -> None:
        current = self._attempt
        if current is not None and current.number is not None:
            self._loop.call_later(self._one_way_s, current.endpoint.disconnect_client, current.number)
        self._close("deadline")

    def _close(self, end: str) -> None:
        if self._record.end == "open":
            self._end_attempt()
            self._timer.cancel()
            self._record.end, self._record.closed_after_s = end, self._loop.time() - self._start
            self._closed(self._record)
