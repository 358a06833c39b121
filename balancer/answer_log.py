"""Counts how upstream answers ended, and logs those cut off by their connection or by invalid bytes."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus

from loguru import logger

from balancer.upstream_protocol import UpstreamRequest
from passpost.attempt import OutgoingRequest
from passpost.http1 import EndKind, Framing
from passpost.response_end import Misuse, ResponseEnd

MAX_UNFRAMED = 4_096  # upstreams remembered as logged for answers without framing


class AnswerLog:
    """Observes one balancer's upstream connections; its counters run from the start of the process."""

    def __init__(self) -> None:
        self.ends: Counter[tuple[Framing, EndKind]] = Counter()
        self.misuses: Counter[Misuse] = Counter()
        self.unframed: dict[str, None] = {}  # upstreams whose answers end with their connection

    def on_misuse(self, upstream: str, misuse: Misuse) -> None:
        """Count and log bytes of an upstream that belong to no request in flight."""
        self.misuses[misuse] += 1
        logger.info("event=connection_misused upstream={} by={}", upstream, misuse.value)

    def on_ended(self, upstream: str, request: OutgoingRequest, end: ResponseEnd) -> None:
        """Count the end of an answer, or of the wait for one; the balancer's own calls are not counted."""
        if not isinstance(request, UpstreamRequest):
            return
        self.ends[end.framing, end.kind] += 1
        if end.framing is Framing.CLOSE and end.status == HTTPStatus.OK:
            self._log_unframed(upstream)
        if end.kind is EndKind.WHOLE:
            return
        # An upstream may close after each answer without a length: such ends are normal.
        usual = end.framing is Framing.CLOSE and end.kind is EndKind.FIN
        logger.log(
            "DEBUG" if usual else "INFO",
            "event=answer_cut upstream={} request={} end={} framing={} status={} bytes={}",
            upstream,
            request.request_id.decode("latin-1"),
            end.kind.value,
            end.framing.value,
            end.status,
            end.body_bytes,
        )

    def _log_unframed(self, upstream: str) -> None:
        """Log once per upstream that the end of its answers is indistinguishable from a broken connection."""
        if upstream in self.unframed:
            return
        if len(self.unframed) >= MAX_UNFRAMED:
            del self.unframed[next(iter(self.unframed))]
        self.unframed[upstream] = None
        logger.warning("event=answers_unframed upstream={}", upstream)
