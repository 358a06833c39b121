"""One call at a time to an upstream: accounting, connection outcome, and a watch for silence."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from balancer.context import RequestContext
from balancer.peer import Peer
from balancer.silence_timeout import SilenceTimer, silence_timeout_s
from balancer.upstream_protocol import UpstreamRequest
from passpost.attempt import Attempt, AttemptCallback, ResponseSink
from passpost.http1 import Response
from umberworks.interface import Outcome

ANSWER_GRACE_S = 0.25  # beyond the deadline, to receive the upstream's own answer to it
MISPLACED_S = 0.5  # block of an upstream that answers 421, as it now has another phase
FULL_S = 0.1  # block of an upstream that rejected a request for lack of capacity


class UpstreamCall:
    """The calls of one request, one at a time. Times in seconds on the monotonic clock."""

    def __init__(
        self,
        context: RequestContext,
        is_wanted: Callable[[], bool],
        may_abandon: Callable[[float, float], bool],
    ) -> None:
        """`may_abandon`: whether a run with this silence and silence time-out is abandoned for another."""
        self._context, self._is_wanted, self._may_abandon = context, is_wanted, may_abandon
        self._attempt: Attempt | None = None
        self._silence_timer = SilenceTimer(self._on_silent)
        self._sent_at = 0.0
        self.peer: Peer | None = None  # the upstream of the call in flight
        self.avoid: set[str] = set()  # upstreams where the request failed
        self.is_prefill = False
        self.tokens = 0  # to be prefilled for the call
        self.queued_tokens = 0  # to be prefilled on the upstream when the call was sent, including its own
        self.abandoned = False  # given up because its upstream is silent

    def send(
        self,
        peer: Peer,
        request: UpstreamRequest,
        tokens: int,
        sink: ResponseSink | None,
        done: AttemptCallback,
    ) -> None:
        """Send a request; without a sink it is a prefill call. `done` must call `on_ended` first."""
        now = time.monotonic()
        self.peer, self.tokens, self._sent_at = peer, tokens, now
        self.abandoned, self.is_prefill = False, sink is None
        peer.on_call_sent(now, tokens)
        if peer.is_cold(now):
            self._context.counters.on_cold_call(bool(self.avoid))
        self.queued_tokens = self._context.tiers.pending_tokens(peer)
        self._context.load_changed()
        left = max(request.deadline - now, 0.0)
        attempt = self._context.upstreams.send(
            peer.entry.id,
            request,
            left + ANSWER_GRACE_S,
            done,
            sink=sink,
            is_wanted=self._is_wanted,
            write_within_s=left,
        )
        if not attempt.is_finished():
            self._attempt = attempt
            self._silence_timer.start(peer, self._timeout_s)

    def cancel(self) -> None:
        """Cancel the call in flight."""
        if self._attempt is not None:
            self._attempt.cancel()

    def age_s(self) -> float:
        """Return the seconds since the latest call was sent."""
        return time.monotonic() - self._sent_at

    def on_ended(self, outcome: Outcome, answer: Response | None, valid: bool) -> Peer:
        """Record the end of the call and return its upstream; `valid`: its answer was not invalid."""
        peer, now = self.peer, time.monotonic()
        assert peer is not None
        self._attempt, self.peer = None, None
        self._silence_timer.stop()
        if answer is not None:
            peer.on_data_received(now)
        peer.on_call_ended(now, self.tokens, valid and outcome is Outcome.SERVED)
        self._context.health.on_call_ended(peer, outcome, answer, valid)
        self._context.load_changed()
        if outcome is Outcome.TURNED_AWAY and answer is not None:
            peer.block(now, MISPLACED_S if answer.status == 421 else FULL_S)
            self.avoid.add(peer.entry.id)
        elif outcome in (Outcome.UNREACHED, Outcome.BROKEN, Outcome.TIMED_OUT):
            if outcome is Outcome.UNREACHED:
                self._context.health.on_unreached(peer)
            self.avoid.add(peer.entry.id)
        return peer

    def on_prompt_read(self) -> None:
        """Uncount the call's tokens, as its prompt is prefilled."""
        if self.peer is not None:
            self.peer.pending_tokens -= self.tokens
            self.tokens = 0

    def _timeout_s(self) -> float:
        peer = self.peer
        if peer is None:
            return math.inf
        pending_tokens = max(self.queued_tokens, self._context.tiers.pending_tokens(peer))
        return silence_timeout_s(peer, self.tokens, pending_tokens, self.is_prefill)

    def _on_silent(self, peer: Peer, silent_s: float, timeout_s: float) -> None:
        """Mark the upstream as silent, and abandon a call that may be sent again."""
        self._context.health.on_silent(peer)
        if self.is_prefill or self._may_abandon(silent_s, timeout_s):
            self.abandoned = True
            self.cancel()
