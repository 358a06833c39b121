"""How long an upstream may say nothing while a call of ours is out there."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from balancer.peer import LEAST_TOKENS, Peer
from balancer.tiers import ITSELF, PACE_S

READ_PATIENCE_S, READ_PATIENCE = 0.6, 3.0  # reading may take so long, and so many times what we expect
READ_PATIENCE_MOST_S = 2.0
RUN_PATIENCE_S = 0.6  # a run may pause so long
STOPPED_S = 0.2  # a timer that fires so late shows that this process stood still


def patience(peer: Peer, tokens: int, outstanding: int, reads: bool) -> float:
    """How long a call may bring nothing, in seconds, before its upstream counts as silent.

    `tokens`: of its prompt, 0 if that is read already; `outstanding`: all that is to be read there; `reads`:
    it is a prefill call.
    """
    if not tokens:
        return RUN_PATIENCE_S
    # Nothing comes before all is read; what came later but is more urgent may be read first.
    pace = max(peer.prefill_s_per_token, PACE_S) if reads else PACE_S * ITSELF
    return READ_PATIENCE_S + min(READ_PATIENCE * pace * max(outstanding, LEAST_TOKENS), READ_PATIENCE_MOST_S)


class Watch:
    """Looks in on one call after another: `silent` is told how long nothing came, and the patience."""

    def __init__(self, silent: Callable[[Peer, float, float], None]) -> None:
        self._silent = silent
        self._timer: asyncio.TimerHandle | None = None
        self._sent = 0.0

    def begin(self, peer: Peer, allowed: Callable[[], float]) -> None:
        """A call has gone out; `allowed` tells its patience as it is now."""
        self._sent = time.monotonic()
        self._look_in(allowed(), peer, allowed)

    def end(self) -> None:
        """The call is over."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look_in(self, after: float, peer: Peer, allowed: Callable[[], float]) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after, self._look, loop.time() + after, peer, allowed)

    def _look(self, due: float, peer: Peer, allowed: Callable[[], float]) -> None:
        most = allowed()
        quiet = time.monotonic() - max(self._sent, peer.last_received_at)
        if asyncio.get_running_loop().time() - due > STOPPED_S:  # we stood still: what has come lies unread
            self._look_in(most, peer, allowed)
        elif quiet < most:
            self._look_in(max(most - quiet, 0.01), peer, allowed)
        else:
            self._look_in(most, peer, allowed)
            self._silent(peer, quiet, most)
