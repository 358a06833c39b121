"""Runs the routing policy: socket events become its events, and its actions are executed.

No routing decision is made here. The engine guarantees what the policy's interface requires: a monotonic
clock, one event at a time, exactly one outcome for each attempt and one response for each request.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

from passpost.attempt import Attempt, OutgoingRequest
from passpost.counters import Counters
from passpost.http1 import Address, FlowControl, Headers, Response, ResponseStart
from passpost.reports import LoadReports
from passpost.upstream import Upstreams
from passpost.validation import RequestHead, parse_request_head
from umberworks import interface
from umberworks.interface import Outcome
from umberworks.rules import Balancer

log = logging.getLogger(__name__)


class Client(Protocol):
    """The receiver of a request's one response."""

    def send_response(self, response: Response) -> None:
        """Send an upstream's response."""

    def begin_response(self, start: ResponseStart, flow: FlowControl) -> None:
        """Start streaming a long response."""

    def send_body(self, data: bytes) -> None:
        """Send a piece of the streamed response."""

    def complete(self) -> None:
        """The streamed response has ended in order."""

    def abort(self) -> None:
        """The streamed response is incomplete: close so that the reader notices."""

    def refuse(self, retry_after_ms: float) -> None:
        """Tell the client that the request has not run and can be retried after so long; 0: no advice."""

    def fail(self, status: int) -> None:
        """Tell the client that the request has failed."""

    def is_connected(self) -> bool:
        """Whether the client is still connected, also where its disconnect has not been read yet."""


class _OpenRequest:
    """A request that is not finished, or that still has attempts in flight."""

    def __init__(
        self, class_name: str, client: Client, outgoing: OutgoingRequest, remaining_s: float
    ) -> None:
        self.class_name, self.client, self.outgoing = class_name, client, outgoing
        self.remaining_s = remaining_s
        self.deadline_timer: asyncio.TimerHandle | None = None  # runs once the request is complete
        self.streamed_attempt: Attempt | None = None  # whose response is being streamed
        self.attempts: list[Attempt | None] = []
        self.attempts_out = 0
        self.is_finished = False  # answered, or the client has disconnected
        self.is_arriving = True  # during the turn of the event loop in which it arrived
        self.failure_status = 502  # for a failure: 504 if the last attempt timed out


class _AttemptSink:
    """Receives the streamed response of one attempt."""

    def __init__(self, engine: Engine, number: int, request: _OpenRequest, index: int) -> None:
        self._engine, self._number, self._request, self._index = engine, number, request, index

    def on_response_start(self, start: ResponseStart, flow: FlowControl) -> bool:
        """The response begins; returns False if it is no longer wanted."""
        return self._engine.on_response_start(self._number, self._request, self._index, start, flow)

    def on_body(self, data: bytes) -> None:
        """A piece of the body."""
        if not self._request.is_finished:
            self._request.client.send_body(data)


class Engine:
    """Owns the policy, its clock, its timers and the open requests."""

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        upstreams: Upstreams,
        subscribe: Callable[[], None],
        grace_s: float,
        report_fields: tuple[str, ...] = (),
    ) -> None:
        self._balancer = Balancer(settings, seed)
        self.classes = {c.name: c for c in settings.classes}
        self.counters = Counters(self.classes)
        self._upstreams, self._subscribe, self._grace_s = upstreams, subscribe, grace_s
        self._reports = LoadReports(report_fields)
        self._requests: dict[int, _OpenRequest] = {}
        self._last_number = 0
        self._events: deque[interface.Event] = deque()
        self._is_handling = False
        # The policy treats an `up_since_ms` of 0 or less as long ago and compares others with its clock, so
        # that it needs Unix time. The system clock may be set back, so it is read only once.
        self._epoch_ms = time.time() * 1000 - time.monotonic() * 1000
        self._now = 0.0
        self.has_upstreams = False

    def now(self) -> float:
        """The policy's clock, in milliseconds of Unix time; never goes back."""
        self._now = max(self._now, self._epoch_ms + time.monotonic() * 1000)
        return self._now

    def excluded_count(self) -> int:
        """How many listed upstreams the policy avoids now."""
        return len(self._balancer.excluded())

    def cordoned(self) -> frozenset[str]:
        """The upstreams cordoned by operators, listed or not."""
        return self._balancer.cordoned()

    # ---- events

    def learned(self) -> interface.Learned:
        """The policy's learned state, for the process that replaces this one."""
        return self._balancer.learned()

    def attempts_in_flight(self) -> int:
        """The number of attempts in flight."""
        return sum(request.attempts_out for request in self._requests.values())

    def on_peer_event(self, event: interface.Learned | interface.CallsBeside) -> None:
        """Pass on an event from the other process of an upgrade."""
        self._post_event(event)

    def cordon(self, server: str, is_cordoned: bool) -> None:
        """Cordon an upstream, or end that."""
        self._post_event(interface.Cordon(server, is_cordoned))
        self._upstreams.set_cordoned(self.cordoned())

    def on_list_update(self, update: interface.ListUpdate, addresses: dict[str, Address]) -> None:
        """Apply a list update; the addresses are set first, as the policy may send at once."""
        self._upstreams.set_addresses(addresses)
        self.has_upstreams = self.has_upstreams or any(
            m.readiness is interface.Readiness.READY for m in update.members
        )
        self._post_event(update)

    def on_request(
        self,
        class_name: str,
        tenant: str | None,
        remaining_s: float,
        outgoing: OutgoingRequest,
        client: Client,
        free_connections: float,
    ) -> int:
        """Start a request that has `remaining` seconds to be answered; returns its number."""
        self._last_number += 1
        number = self._last_number
        request = self._requests[number] = _OpenRequest(class_name, client, outgoing, remaining_s)
        is_complete = outgoing.upload is None or outgoing.upload.is_complete
        if is_complete:
            self._start_deadline_timer(number, request)
        self._post_event(
            interface.RequestArrived(
                number, class_name, remaining_s * 1000, tenant, free_connections, is_complete
            )
        )
        request.is_arriving = False
        return number

    def parse_head(self, method: bytes, target: bytes, version: str, headers: Headers) -> RequestHead | None:
        """The parsed head of a request, None for a readiness check; raises BadRequestError."""
        return parse_request_head(method, target, version, headers, self.classes)

    def take_up(
        self,
        head: RequestHead,
        remaining_s: float,
        outgoing: OutgoingRequest,
        client: Client,
        free_connections: float,
    ) -> int:
        """Start a request whose head was parsed; see `on_request`."""
        return self.on_request(head.class_name, head.tenant, remaining_s, outgoing, client, free_connections)

    def on_request_complete(self, number: int) -> None:
        """The last byte of a streamed request has arrived: its deadline starts."""
        request = self._requests.get(number)
        if request is not None and not request.is_finished:
            if request.streamed_attempt is None:
                self._start_deadline_timer(number, request)
            self._post_event(interface.RequestWhole(number))

    def _start_deadline_timer(self, number: int, request: _OpenRequest) -> None:
        delay = request.remaining_s + self._grace_s
        request.deadline_timer = asyncio.get_running_loop().call_later(delay, self._on_deadline, number)

    def on_client_disconnected(self, number: int) -> None:
        """The client has disconnected."""
        request = self._requests.get(number)
        if request is not None and self._finish(number, request):
            self._post_event(interface.ClientLeft(number))
            if request.streamed_attempt is not None:
                request.streamed_attempt.cancel()  # frees the upstream, as nobody reads the rest

    def _on_deadline(self, number: int) -> None:
        """Respond to a request that the policy has left without a response in time."""
        log.error("request %d had no response before its deadline", number)
        self._fail_request(number, 504)

    def _fail_request(self, number: int, status: int) -> None:
        """Fail a request on our own; for the policy its client has disconnected."""
        request = self._requests.get(number)
        if request is not None and self._finish(number, request):
            request.client.fail(status)
            self._post_event(interface.ClientLeft(number))

    # ---- the policy

    def _post_event(self, event: interface.Event) -> None:
        """Pass an event to the policy; events that arise while one is handled are queued."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: interface.Event) -> None:
        # An exception in one request must fail only that request.
        try:
            actions = self._balancer.handle(event, self.now())
        except Exception:
            log.exception("policy failed on event %s", type(event).__name__)
            self._on_fault(event)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("could not execute action %s", type(action).__name__)
                self._on_fault(action)

    def _on_fault(self, cause: interface.Event | interface.Action) -> None:
        number = getattr(cause, "request", None)
        if number is not None:
            self._fail_request(number, 500)

    def _execute(self, action: interface.Action) -> None:
        match action:
            case interface.Send():
                self._send(action)
            case interface.SetTimer(at, token):
                delay = max(at - self.now(), 0.0) / 1000
                asyncio.get_running_loop().call_later(delay, self._on_timer, at, token)
            case interface.Cancel(number, index):
                request = self._requests.get(number)
                if request is not None and (attempt := request.attempts[index]) is not None:
                    attempt.cancel()
            case interface.Refuse(number, retry_after):
                request = self._requests.get(number)
                if request is not None and self._finish(number, request):
                    request.client.refuse(retry_after)
            case interface.Fail(number):
                request = self._requests.get(number)
                if request is not None and self._finish(number, request):
                    request.client.fail(request.failure_status)
            case interface.Probe(server):
                self._upstreams.probe(
                    server, lambda is_established: self._post_event(interface.Probed(server, is_established))
                )
            case interface.Subscribe():
                self._subscribe()
            case interface.Log(text):
                log.info("%s", text)

    def _on_timer(self, at: float, token: str) -> None:
        self._now = max(self._now, at)  # event loop timers are coarse and may fire slightly early
        self._post_event(interface.TimerDue(token))

    def _send(self, action: interface.Send) -> None:
        number, server = action.request, action.server
        request = self._requests[number]
        index = len(request.attempts)
        request.attempts.append(None)
        request.attempts_out += 1
        sink = _AttemptSink(self, number, request, index)

        def on_done(outcome: Outcome, response: Response | None) -> None:
            self._on_attempt_end(number, request, index, server, outcome, response)

        def is_wanted() -> bool:
            # A request sent in the turn in which it arrived has not waited, so its client is not checked.
            if not request.is_finished and not request.is_arriving and not request.client.is_connected():
                self.on_client_disconnected(number)
            return not request.is_finished

        if not is_wanted():  # nothing may be sent after the final response
            on_done(Outcome.NOT_SENT, None)
            return

        def on_written() -> None:
            self.counters.attempt_written(request.class_name)

        attempt = self._upstreams.send(
            server,
            request.outgoing,
            action.timeout_ms / 1000,
            on_done,
            on_written,
            sink,
            is_wanted,
            max(action.write_by_ms - self.now(), 0.0) / 1000,
        )
        if not attempt.is_finished():
            request.attempts[index] = attempt

    def on_response_start(
        self, number: int, request: _OpenRequest, index: int, start: ResponseStart, flow: FlowControl
    ) -> bool:
        """Whether a long response is wanted; if so, starts streaming it and cancels the deadline."""
        if request.is_finished or request.streamed_attempt is not None:
            return False
        request.streamed_attempt = request.attempts[index]
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.client.begin_response(start, flow)
        self._post_event(interface.AnswerStarted(number, index))
        return True

    def _on_attempt_end(
        self,
        number: int,
        request: _OpenRequest,
        index: int,
        server: str,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        was_streamed = (
            request.streamed_attempt is not None and request.streamed_attempt is request.attempts[index]
        )
        request.attempts[index] = None
        request.attempts_out -= 1
        request.failure_status = 504 if outcome is Outcome.TIMED_OUT else 502
        repeatable = request.outgoing.is_sendable()
        try:
            if was_streamed:
                self._end_stream(number, request, outcome)
            elif outcome is Outcome.SERVED and response is not None and self._finish(number, request):
                request.client.send_response(response)
        finally:  # the policy gets the outcome whatever became of the response
            self._remove_if_done(number, request)
            report = self._reports.read(response.headers) if response is not None else None
            self._post_event(
                interface.AttemptEnded(
                    number, index, server, outcome, request.is_finished, repeatable, report
                )
            )

    def _end_stream(self, number: int, request: _OpenRequest, outcome: Outcome) -> None:
        """The streamed response, the only one of its request, has ended, in order or not."""
        if self._finish(number, request):
            if outcome is Outcome.SERVED:
                request.client.complete()
            else:
                request.client.abort()

    def _finish(self, number: int, request: _OpenRequest) -> bool:
        """Mark a request as finished; returns True the first time, when its response is sent."""
        if request.is_finished:
            return False
        request.is_finished = True
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        for attempt in request.attempts:
            if attempt is not None and not attempt.is_written():
                attempt.finish(Outcome.NOT_SENT)  # nothing may be sent after the final response
        self._remove_if_done(number, request)
        return True

    def _remove_if_done(self, number: int, request: _OpenRequest) -> None:
        if request.is_finished and not request.attempts_out:
            self._requests.pop(number, None)
