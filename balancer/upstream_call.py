"""One call of ours at an upstream: booked there while it is out, and looked in on."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from balancer.context import RequestContext
from balancer.patience import Watch, patience
from balancer.peer import Peer
from balancer.wire import Staged
from passpost.attempt import Attempt, AttemptCallback, ResponseSink
from passpost.http1 import Response
from umberworks.interface import Outcome

ANSWER_GRACE_S = 0.25  # past the deadline: so long the upstream's own word is awaited
MISPLACED_S = 0.5  # so long nothing is sent to an upstream that says that it plays another part
FULL_S = 0.1  # the same where it had no place


class UpstreamCall:
    """The calls of one request, of which one is out at a time. Times in seconds on the steady clock."""

    def __init__(
        self,
        context: RequestContext,
        wants: Callable[[], bool],
        may_leave: Callable[[float, float], bool],
    ) -> None:
        """`may_leave`: whether a run that was quiet so long, beyond its patience, is left for another."""
        self._context, self._wants, self._may_leave = context, wants, may_leave
        self._attempt: Attempt | None = None
        self._watch = Watch(self._silent)
        self._sent = 0.0
        self.peer: Peer | None = None  # that it is at
        self.avoid: set[str] = set()  # where it failed
        self.reads = False  # it is a prefill call
        self.tokens = 0  # booked for it
        self.booked = 0  # all that was outstanding there once it was booked
        self.left = False  # it was given up, as its upstream is silent

    def send(
        self, peer: Peer, request: Staged, tokens: int, sink: ResponseSink | None, done: AttemptCallback
    ) -> None:
        """Send a request; without a sink it is a prefill call. `done` calls `ended` first."""
        now = time.monotonic()
        self.peer, self.tokens, self._sent = peer, tokens, now
        self.left, self.reads = False, sink is None
        peer.sent(now, tokens)
        if peer.is_cold(now):
            self._context.counters.to_cold(bool(self.avoid))
        self.booked = self._context.tiers.outstanding(peer)
        self._context.load_changed()
        left = max(request.ends - now, 0.0)
        attempt = self._context.upstreams.send(
            peer.entry.id,
            request,
            left + ANSWER_GRACE_S,
            done,
            sink=sink,
            is_wanted=self._wants,
            write_within_s=left,
        )
        if not attempt.is_finished():
            self._attempt = attempt
            self._watch.begin(peer, self._patience)

    def cancel(self) -> None:
        """Nobody wants it any more."""
        if self._attempt is not None:
            self._attempt.cancel()

    def age(self) -> float:
        """Seconds since the latest call went out."""
        return time.monotonic() - self._sent

    def ended(self, outcome: Outcome, answer: Response | None, good: bool) -> Peer:
        """Book the end of the call that was out, and where none should go next; `good`: it was served."""
        peer, now = self.peer, time.monotonic()
        assert peer is not None
        self._attempt, self.peer = None, None
        self._watch.end()
        if answer is not None:
            peer.heard(now)
        peer.ended(now, self.tokens, good and outcome is Outcome.SERVED)
        self._context.standing.ended(peer, outcome, answer, good)
        self._context.load_changed()
        if outcome is Outcome.TURNED_AWAY and answer is not None:
            peer.avoid(now, MISPLACED_S if answer.status == 421 else FULL_S)
            self.avoid.add(peer.entry.id)
        elif outcome in (Outcome.UNREACHED, Outcome.BROKEN, Outcome.TIMED_OUT):
            if outcome is Outcome.UNREACHED:
                self._context.standing.unreached(peer)
            self.avoid.add(peer.entry.id)
        return peer

    def prompt_is_read(self) -> None:
        """Its upstream has read the prompt: nothing is outstanding there for it."""
        if self.peer is not None:
            self.peer.tokens -= self.tokens
            self.tokens = 0

    def _patience(self) -> float:
        peer = self.peer
        if peer is None:
            return math.inf
        outstanding = max(self.booked, self._context.tiers.outstanding(peer))
        return patience(peer, self.tokens, outstanding, self.reads)

    def _silent(self, peer: Peer, quiet: float, most: float) -> None:
        """The upstream is silent; what may be sent again moves on."""
        self._context.standing.silent(peer)
        if self.reads or self._may_leave(quiet, most):
            self.left = True
            self.cancel()
