"""State of one upstream: its list entry, this balancer's calls to it, and what they showed."""

from __future__ import annotations

from config.configuration import Upstream
from umberworks import interface as face
from umberworks.members import Server

MAX_FAILED_FETCHES, FETCH_BLOCK_S = 2, 1.0  # failed fetches in a row that block an upstream, and for how long
MIN_PACE_TOKENS = 500  # shorter prompts are counted as this long: overhead dominates their prefill time
PACE_SMOOTHING = 0.2  # weight of the latest call in the smoothed prefill pace


class Peer:
    """One upstream: its list entry and its observed state. Times in seconds on the monotonic clock."""

    __slots__ = (
        "blocked_until",
        "cold_since",
        "cold_until",
        "entry",
        "failed_fetches",
        "id_bytes",
        "is_silent",
        "last_received_at",
        "pending_tokens",
        "prefill_s_per_token",
        "server",
    )

    def __init__(self, entry: Upstream, now: float, rank: float) -> None:
        self.entry = entry
        self.server = Server(face.Member(entry.id, zone=entry.zone), now * 1000, rank)
        self.pending_tokens = 0  # of prompts being prefilled there for this balancer
        self.blocked_until = 0.0
        self.cold_since, self.cold_until = 0.0, 0.0  # warming up in between, according to the list
        self.last_received_at, self.is_silent = now, False  # silent: data is overdue, or it can't be reached
        self.failed_fetches = 0  # of handles held here, since the last fetch that succeeded
        self.prefill_s_per_token = 0.0  # prefill time per token pending when the call was sent, smoothed
        self.id_bytes = entry.id.encode()

    def on_call_sent(self, now: float, tokens: int) -> None:
        """Count a call with this many tokens to prefill."""
        self.server.advance(now * 1000)
        self.server.in_flight += 1
        self.server.last_sent = now * 1000
        self.pending_tokens += tokens

    def on_prompt_read(self, seconds: float, tokens: int) -> None:
        """Update the prefill pace by a call that took `seconds`, with `tokens` pending when it was sent."""
        pace = seconds / max(tokens, MIN_PACE_TOKENS)
        self.prefill_s_per_token += (pace - self.prefill_s_per_token) * (
            PACE_SMOOTHING if self.prefill_s_per_token else 1.0
        )

    def on_fetch_ended(self, now: float, succeeded: bool) -> None:
        """Note a fetch of a handle from here; repeated failures block the upstream for a while."""
        self.failed_fetches = 0 if succeeded else self.failed_fetches + 1
        if self.failed_fetches >= MAX_FAILED_FETCHES:
            self.block(now, FETCH_BLOCK_S)

    def on_call_ended(self, now: float, tokens: int, served: bool) -> None:
        """Uncount a call that has ended; one that did not run adds nothing to the served rate."""
        self.server.advance(now * 1000)
        self.server.in_flight -= 1
        self.pending_tokens -= tokens
        if served:
            self.server.served += 1

    def set_cold(self, now: float, left_ms: float) -> None:
        """Apply the list's remaining warm-up time; 0: the upstream is warm."""
        self.cold_since, self.cold_until = now, now + left_ms / 1000 if left_ms else 0.0

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is still warming up and can take only few requests."""
        return now < self.cold_until

    def on_data_received(self, now: float) -> None:
        """Note that the upstream has sent something."""
        self.last_received_at, self.is_silent = now, False

    def block(self, now: float, duration_s: float) -> None:
        """Send the upstream nothing for this long."""
        self.blocked_until = max(self.blocked_until, now + duration_s)
