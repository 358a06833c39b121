"""One upstream as a balancer knows it: its entry in the list, our calls there, and what they have told."""

from __future__ import annotations

from config.configuration import Upstream
from umberworks import interface as face
from umberworks.members import Server

SPOILT, SPOILT_S = 2, 1.0  # so many handles in a row that could not be fetched, and it is avoided so long
LEAST_TOKENS = 500  # a shorter prompt tells the pace no better
PACE_SHARE = 0.2  # of the smoothed pace that the latest call makes up


class Peer:
    """One upstream: its list entry, and what we know of it. Times in seconds on the steady clock."""

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
        self.pending_tokens = 0  # of prompts that are being read there for us
        self.blocked_until = 0.0
        self.cold_since, self.cold_until = 0.0, 0.0  # it is slow yet, as the list says
        self.last_received_at, self.is_silent = (
            now,
            False,
        )  # silent: it owes us a word for too long, or can't be reached
        self.failed_fetches = 0  # handles from here that could not be fetched, since the last one that was
        self.prefill_s_per_token = (
            0.0  # seconds for each of our outstanding tokens that a prefill call has taken, smoothed
        )
        self.id_bytes = entry.id.encode()

    def on_call_sent(self, now: float, tokens: int) -> None:
        """A call goes out to it."""
        self.server.catch_up(now * 1000)
        self.server.in_flight += 1
        self.server.last_sent = now * 1000
        self.pending_tokens += tokens

    def on_prompt_read(self, seconds: float, tokens: int) -> None:
        """A prompt was read, with so many tokens outstanding when it was sent."""
        pace = seconds / max(tokens, LEAST_TOKENS)
        self.prefill_s_per_token += (pace - self.prefill_s_per_token) * (
            PACE_SHARE if self.prefill_s_per_token else 1.0
        )

    def on_fetch_ended(self, now: float, well: bool) -> None:
        """Memory from here was fetched, or could not be: if that goes on nothing is read here for a while."""
        self.failed_fetches = 0 if well else self.failed_fetches + 1
        if self.failed_fetches >= SPOILT:
            self.block(now, SPOILT_S)

    def on_call_ended(self, now: float, tokens: int, served: bool) -> None:
        """A call there is over; one that did not run adds nothing to its rate."""
        self.server.catch_up(now * 1000)
        self.server.in_flight -= 1
        self.pending_tokens -= tokens
        if served:
            self.server.served += 1

    def set_cold(self, now: float, left_ms: float) -> None:
        """The list has a new word on how long it is cold yet; 0: it is not."""
        self.cold_since, self.cold_until = now, now + left_ms / 1000 if left_ms else 0.0

    def is_cold(self, now: float) -> bool:
        """Whether it is slow yet, and bears few requests."""
        return now < self.cold_until

    def on_data_received(self, now: float) -> None:
        """Something has come from it."""
        self.last_received_at, self.is_silent = now, False

    def block(self, now: float, span: float) -> None:
        """Send nothing there for so long."""
        self.blocked_until = max(self.blocked_until, now + span)
