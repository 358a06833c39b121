"""Silence time-outs: how long an upstream may send nothing while a call to it is in flight."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from balancer.peer import MIN_PACE_TOKENS, Peer
from balancer.tiers import DECODE_PREFILL_FACTOR, DEFAULT_PREFILL_S_PER_TOKEN

PREFILL_TIMEOUT_S, PREFILL_TIMEOUT_FACTOR = 0.6, 3.0  # base, and multiple of the expected prefill time
MAX_PREFILL_EXTRA_S = 2.0  # beyond the base
RUN_TIMEOUT_S = 0.6  # longest pause of a run
STALLED_S = 0.2  # a timer that fires this late shows that this process was stalled


def silence_timeout_s(peer: Peer, tokens: int, pending_tokens: int, is_prefill: bool) -> float:
    """Return how long a call may be silent, in seconds, before its upstream is considered silent.

    `tokens`: tokens of the call's prompt to be prefilled, 0 if that is done; `pending_tokens`: all tokens to
    be prefilled on the upstream; `is_prefill`: whether it is a prefill call.
    """
    if not tokens:
        return RUN_TIMEOUT_S
    # Nothing arrives before the whole prompt is prefilled, and later prompts of higher priority may go first.
    pace = (
        max(peer.prefill_s_per_token, DEFAULT_PREFILL_S_PER_TOKEN)
        if is_prefill
        else DEFAULT_PREFILL_S_PER_TOKEN * DECODE_PREFILL_FACTOR
    )
    return PREFILL_TIMEOUT_S + min(
        PREFILL_TIMEOUT_FACTOR * pace * max(pending_tokens, MIN_PACE_TOKENS), MAX_PREFILL_EXTRA_S
    )


class SilenceTimer:
    """Watches one call at a time; `on_silent` gets the upstream, the silence and the time-out in seconds."""

    def __init__(self, on_silent: Callable[[Peer, float, float], None]) -> None:
        self._on_silent = on_silent
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = 0.0

    def start(self, peer: Peer, timeout_s: Callable[[], float]) -> None:
        """Start watching a call that was sent; `timeout_s` returns its time-out as of now."""
        self._sent_at = time.monotonic()
        self._schedule(timeout_s(), peer, timeout_s)

    def stop(self) -> None:
        """Stop watching, as the call has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, delay_s: float, peer: Peer, timeout_s: Callable[[], float]) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check, loop.time() + delay_s, peer, timeout_s)

    def _check(self, due: float, peer: Peer, timeout_s: Callable[[], float]) -> None:
        limit_s = timeout_s()
        silent_s = time.monotonic() - max(self._sent_at, peer.last_received_at)
        if asyncio.get_running_loop().time() - due > STALLED_S:  # this process stalled: data may be unread
            self._schedule(limit_s, peer, timeout_s)
        elif silent_s < limit_s:
            self._schedule(max(limit_s - silent_s, 0.01), peer, timeout_s)
        else:
            self._schedule(limit_s, peer, timeout_s)
            self._on_silent(peer, silent_s, limit_s)
