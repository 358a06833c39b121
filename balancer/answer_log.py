"""How the answers of upstreams ended, counted, and logged where the connection or bad bytes ended them."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus

from loguru import logger

from balancer.wire import Staged
from passpost.answer_end import Misuse, ResponseEnd
from passpost.attempt import UpstreamRequest
from passpost.http1 import EndKind, Framing

MOST_NAMED = 4_096  # upstreams of which it is kept that they were named in the log


class AnswerLog:
    """Watches one balancer's upstream connections; counts since the process started."""

    def __init__(self) -> None:
        self.ends: Counter[tuple[Framing, EndKind]] = Counter()
        self.misuses: Counter[Misuse] = Counter()
        self.unframed: dict[str, None] = {}  # upstreams whose answers end with their connection

    def misused(self, upstream: str, misuse: Misuse) -> None:
        """An upstream has sent what belongs to no request of ours that is out."""
        self.misuses[misuse] += 1
        logger.info("event=connection_misused upstream={} by={}", upstream, misuse.value)

    def ended(self, upstream: str, request: UpstreamRequest, end: ResponseEnd) -> None:
        """An answer, or the wait for one, is over; those to calls of our own are not counted."""
        if not isinstance(request, Staged):
            return
        self.ends[end.framing, end.kind] += 1
        if end.framing is Framing.CLOSE and end.status == HTTPStatus.OK:
            self._name_unframed(upstream)
        if end.kind is EndKind.WHOLE:
            return
        # An upstream may close after each answer without a length: those ends are no trouble.
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

    def _name_unframed(self, upstream: str) -> None:
        """Say once of each upstream that the end of its answers can be taken for that of a broken one."""
        if upstream in self.unframed:
            return
        if len(self.unframed) >= MOST_NAMED:
            del self.unframed[next(iter(self.unframed))]
        self.unframed[upstream] = None
        logger.warning("event=answers_unframed upstream={}", upstream)
