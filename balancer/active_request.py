"""Drives one request through the balancer: executes the steps of its state machine as calls to upstreams."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from balancer import request_machine as steps
from balancer.context import RequestContext
from balancer.ingress import RoutedCall
from balancer.peer import Peer
from balancer.relay import Relay
from balancer.request_counters import Refusal
from balancer.tiers import DECODE, DECODE_PREFILL_FACTOR, PREFILL
from balancer.upstream_call import UpstreamCall
from balancer.upstream_protocol import UpstreamRequest, is_sound, read_handle
from config.configuration import Route
from passpost.attempt import OutgoingRequest
from passpost.http1 import Response
from umberworks.interface import Outcome

if TYPE_CHECKING:
    from passpost.engine import Client

NOT_RUN_STATUSES = (408, 421, 429, 503)  # mean "not run" to clients; errors that did run must not use them
ABANDON_FACTOR = 1.6  # a run that may be repeated is abandoned after this many times its silence time-out
SHORT_QUEUE_S = 0.25  # shortest prefill queue at which a decode upstream may prefill by itself
MAX_WAIT, WAIT_PER_PRIORITY, MIN_WAIT = 1.2, 0.2, 0.5  # shares of the aim that may pass before prefill begins
RETRY_AFTER_MS = 200.0  # advice to refused clients
NO_UPSTREAM_RETRY_AFTER_MS = 400.0  # the same where no upstream is ready


class ActiveRequest:
    """One request from its last byte to its final answer."""

    def __init__(
        self,
        context: RequestContext,
        number: int,
        call: RoutedCall,
        service: str,
        deadline: float,
        out: OutgoingRequest,
        client: Client,
    ) -> None:
        """`deadline`: when the client stops waiting, in seconds on the monotonic clock."""
        self._context, self._number, self._call, self._service = context, number, call, service
        self._out, self._client, self._deadline = out, client, deadline
        route = call.route
        budget = context.budget(service)
        self._machine = steps.RequestStateMachine(route.tries, route.is_idempotent(), route.resumable, budget)
        self._run_priority = context.priorities.run_priority(route, call.prompt.tokens)
        self._upstream_call = UpstreamCall(context, self.is_wanted, self._may_abandon)
        self._zone = context.settings.zone  # the zone that holds the prompt's KV cache
        after = int(call.after) if call.after is not None and call.after.isdigit() else None
        self._relay = Relay(self, client, after)
        self._fetching: steps.Handle | None = None  # handle that the run in flight fetches
        self._started_at = time.monotonic()
        self._prefill_sent = False  # an upstream was sent the prompt to prefill
        self._finished = False

    def start(self) -> None:
        """Execute the first step."""
        # A request without prompt information goes straight to a run.
        tokens, tiers = self._call.prompt.tokens, self._context.tiers
        split = tokens > 0 and tiers.is_split(self._service)
        if split:
            now = time.monotonic()
            prefill_s, decode_s = (
                tiers.prefill_wait_s(self._service, now),
                tiers.decode_wait_s(self._service, now),
            )
            if min(prefill_s, decode_s) > _max_wait_s(self._call.route):
                self._execute(steps.Refuse(), Refusal.QUEUES)
                return
            prompt = self._call.prompt
            cost = tiers.prefill_cost(self._service, PREFILL, prompt, now)
            split = (
                prefill_s < SHORT_QUEUE_S
                or cost < tiers.prefill_cost(self._service, DECODE, prompt, now) * DECODE_PREFILL_FACTOR
            )
        self._execute(self._machine.start(split))

    def on_client_left(self) -> None:
        """Cancel what is in flight, as the client has disconnected."""
        if not self._finished:
            self._finish()
            self._upstream_call.cancel()
            self._free_handle()

    def _finish(self) -> None:
        self._finished = True
        self._context.on_request_ended(self._number)

    def _free_handle(self) -> None:
        """Free the KV cache that was prefilled for this request and will not be fetched."""
        handle, self._machine.handle = self._machine.handle, None
        if handle is not None:
            self._context.free_handle(handle)

    # ---- steps

    def _execute(self, step: steps.Step, reason: Refusal = Refusal.TURNED_AWAY) -> None:
        """Execute a step; `reason`: why the request is refused, if it is."""
        match step:
            case steps.Prefill() | steps.Run() if time.monotonic() >= self._deadline:
                self._execute(self._machine.on_expired(step), Refusal.LATE)
            case steps.Prefill():
                self._prefill()
            case steps.Run(handle):
                self._run(handle)
            case steps.Refuse():
                self._finish()
                self._free_handle()
                self._context.counters.refused(reason)
                wait = RETRY_AFTER_MS if self._context.tiers.has_ready() else NO_UPSTREAM_RETRY_AFTER_MS
                self._client.refuse(wait)
            case steps.Fail(status):
                self._finish()
                self._free_handle()
                self._client.fail(status)
            case steps.Abort():
                self._finish()
                self._free_handle()
                self._client.abort()

    def _prefill(self) -> None:
        now = time.monotonic()
        peer = self._context.tiers.pick_prefill(
            self._service, self._call.prompt, self._upstream_call.avoid, now
        )
        if peer is None:
            self._execute(self._machine.no_prefill_upstream(), self._refusal_reason())
            return
        uncached = self._count_prefill(peer)
        priority = self._context.priorities.prefill_priority(self._call.route, uncached)
        extra = b"Mastturn-Target-Upstream: %b\r\nMastturn-Stage: prefill\r\n%b" % (
            peer.id_bytes,
            self._common_headers(priority),
        )
        self._upstream_call.send(
            peer, self._request(extra, self._machine.has_broken), uncached, None, self._on_prefill_ended
        )

    def _run(self, handle: steps.Handle | None) -> None:
        now = time.monotonic()
        prompt = self._call.prompt if handle is None else None
        avoid, repeatable = self._upstream_call.avoid, self._call.route.is_idempotent()
        peer = self._context.tiers.pick_decode(self._service, prompt, self._zone, avoid, now, repeatable)
        if peer is None:
            self._execute(self._machine.no_run_upstream(), self._refusal_reason())
            return
        kv = (
            b"Kv-From: %b/%b\r\n" % (handle.address.encode(), handle.ref.encode())
            if handle is not None
            else b""
        )
        tokens = 0 if prompt is None else self._count_prefill(peer)
        priorities, route = self._context.priorities, self._call.route
        priority = priorities.prefill_priority(route, tokens) if tokens else self._run_priority
        extra = b"Mastturn-Target-Upstream: %b\r\n%b%b" % (peer.id_bytes, kv, self._common_headers(priority))
        self._relay.on_new_run()
        self._fetching = handle
        request = self._request(extra, self._machine.has_broken or not repeatable)
        self._upstream_call.send(peer, request, tokens, self._relay, self._on_run_ended)

    def _refusal_reason(self) -> Refusal:
        return Refusal.TURNED_AWAY if self._upstream_call.avoid else Refusal.NO_UPSTREAM

    def _count_prefill(self, peer: Peer) -> int:
        """Count and return the tokens that an upstream has to prefill for this request."""
        prompt, context = self._call.prompt, self._context
        tokens = context.tiers.uncached_tokens(peer, prompt)
        context.counters.on_prefill_sent(tokens, self._prefill_sent)
        if (
            prompt.shared_tokens
            and tokens == prompt.tokens
            and context.tiers.prefix_index.holders(prompt.prefix)
        ):
            context.counters.shared_tokens_reread += prompt.shared_tokens
        self._prefill_sent = True
        return tokens

    def _common_headers(self, priority: int) -> bytes:
        """Return the headers of every stage: the priority, and the last event that the client has."""
        prio = b"Priority: %d\r\n" % priority
        last = self._relay.last_event_id
        if last is None:
            return prio if self._call.after is None else b"%bLast-Event-Id: %b\r\n" % (prio, self._call.after)
        return b"%bLast-Event-Id: %d\r\n" % (prio, last)

    def _request(self, extra: bytes, needs_fresh_connection: bool) -> UpstreamRequest:
        return UpstreamRequest(
            self._out.head,
            self._out.body,
            None,
            self._deadline,
            self._call.request_id,
            extra,
            needs_fresh_connection,
        )

    def _may_abandon(self, silent_s: float, timeout_s: float) -> bool:
        return silent_s >= ABANDON_FACTOR * timeout_s and self._machine.may_repeat()

    # ---- prefill

    def _on_prefill_ended(self, outcome: Outcome, answer: Response | None) -> None:
        peer = self._upstream_call.on_ended(outcome, answer, valid=True)
        if outcome is not Outcome.SERVED and not self._finished:
            _log_ended(peer, "read_ended", outcome, answer, self._call)
        result = read_handle(answer.body) if outcome is Outcome.SERVED and answer is not None else None
        handle = None
        if result is not None:
            handle = steps.Handle(peer.entry.id, peer.entry.addr, result[0], time.monotonic())
        if self._finished:
            if handle is not None:
                self._context.free_handle(handle)
            return
        if handle is None:
            self._upstream_call.avoid.add(peer.entry.id)
        else:
            peer.on_prompt_read(self._upstream_call.age_s(), self._upstream_call.queued_tokens)
            self._context.on_prompt_cached(peer, self._call.prompt)
            self._zone = peer.entry.zone
            self._upstream_call.avoid.clear()
        end = steps.CallEnd.PREFILLED if handle else _call_end(outcome)
        reason = Refusal.LATE if end is steps.CallEnd.LATE else Refusal.TURNED_AWAY
        self._execute(self._machine.prefill_ended(end, handle), reason)

    # ---- the run, and its answer as it arrives

    def is_wanted(self) -> bool:
        """Return whether the client still waits."""
        return not self._finished

    def on_upstream_data(self) -> None:
        """Note that the upstream has sent something."""
        if self._upstream_call.peer is not None:
            self._upstream_call.peer.on_data_received(time.monotonic())

    def on_bad_stream(self) -> None:
        """Cancel the call, as its event stream is invalid."""
        peer = self._upstream_call.peer
        name = peer.entry.id if peer is not None else ""
        logger.warning(
            "event=bad_stream upstream={} request={}", name, self._call.request_id.decode("latin-1")
        )
        self._upstream_call.cancel()

    def on_forward(self) -> None:
        """Update the state before a part of the answer is forwarded to the client."""
        self._machine.on_answer_begun(self._relay.is_stream)
        if self._fetching is not None:
            self._on_fetch_ended(True)
        else:
            self._upstream_call.on_prompt_read()
        if not self._relay.begun:
            self._context.counters.on_first_event(time.monotonic() - self._started_at)
        if not self._relay.begun and self._upstream_call.peer is not None:
            self._context.on_prompt_cached(self._upstream_call.peer, self._call.prompt)

    def _on_fetch_ended(self, succeeded: bool) -> None:
        handle, self._fetching = self._fetching, None
        holder = self._context.tiers.peer(handle.holder) if handle is not None else None
        if holder is not None:
            holder.on_fetch_ended(time.monotonic(), succeeded)
        if succeeded:
            self._machine.handle = None  # fetched: nothing is left to free

    def _on_run_ended(self, outcome: Outcome, answer: Response | None) -> None:
        relay = self._relay
        forwarding = relay.is_forwarding()
        if forwarding and outcome is Outcome.SERVED and not relay.is_complete():
            relay.bad = True  # the stream ends in the middle of an event
        peer = self._upstream_call.on_ended(outcome, answer, not relay.bad)
        if self._finished:
            return
        if relay.bad or self._upstream_call.abandoned:
            outcome = Outcome.BROKEN
        if outcome is Outcome.SERVED and forwarding:
            relay.forward_head()
            self._finish()
            self._free_handle()
            self._client.complete()
        elif (
            outcome is Outcome.SERVED and answer is not None and is_sound(answer.headers) and not relay.begun
        ):
            self._finish()
            self._client.send_response(answer)
        elif (
            outcome is Outcome.ERROR
            and answer is not None
            and not relay.begun
            and answer.status not in NOT_RUN_STATUSES
        ):
            self._finish()
            self._free_handle()
            self._client.send_response(answer)
        else:
            _log_ended(peer, "run_ended", outcome, answer, self._call)
            if outcome is Outcome.TURNED_AWAY and self._fetching is not None:
                self._on_fetch_ended(False)
            end = steps.CallEnd.BROKEN if outcome is Outcome.SERVED else _call_end(outcome)
            self._execute(self._machine.run_ended(end))


_CALL_ENDS = {
    Outcome.TURNED_AWAY: steps.CallEnd.REJECTED,
    Outcome.UNREACHED: steps.CallEnd.UNSENT,
    Outcome.NOT_SENT: steps.CallEnd.UNSENT,
    Outcome.TIMED_OUT: steps.CallEnd.LATE,
}


def _call_end(outcome: Outcome) -> steps.CallEnd:
    return _CALL_ENDS.get(outcome, steps.CallEnd.BROKEN)


def _max_wait_s(route: Route) -> float:
    """Return how long prefill may take to begin, in seconds; urgent routes bear more than others."""
    aim = route.target_ms or route.deadline_ms / 2
    return aim / 1000 * max(MAX_WAIT - WAIT_PER_PRIORITY * route.prio, MIN_WAIT)


def _log_ended(peer: Peer, event: str, outcome: Outcome, answer: Response | None, call: RoutedCall) -> None:
    status = answer.status if answer is not None else 0
    text = "event={} upstream={} outcome={!r} status={} request={}"
    logger.debug(text, event, peer.entry.id, outcome.value, status, call.request_id.decode("latin-1"))
