"""Log and counters for upstreams whose answers have neither length nor chunks."""

from __future__ import annotations

import pytest
from loguru import logger

from balancer import answer_log
from balancer.answer_log import AnswerLog
from balancer.upstream_protocol import UpstreamRequest
from passpost.http1 import EndKind, Framing
from passpost.response_end import ResponseEnd

REQUEST = UpstreamRequest(b"GET / HTTP/1.1\r\n", b"", request_id=b"r1")
UNFRAMED = ResponseEnd(EndKind.FIN, Framing.CLOSE, 200, 10)


def test_an_upstream_without_length_and_chunks_is_named_once() -> None:
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{level} {message}", level="INFO")
    try:
        log = AnswerLog()
        for name in ("u1", "u1", "u2"):
            log.on_ended(name, REQUEST, UNFRAMED)
        log.on_ended("u3", REQUEST, ResponseEnd(EndKind.WHOLE, Framing.LENGTH, 200, 10))
        log.on_ended("u4", REQUEST, ResponseEnd(EndKind.RESET, Framing.UNKNOWN, 0, 0))
    finally:
        logger.remove(sink)
    named = [line.strip() for line in lines if "answers_unframed" in line]
    assert named == [f"WARNING event=answers_unframed upstream={name}" for name in ("u1", "u2")]
    assert list(log.unframed) == ["u1", "u2"]


def test_what_is_kept_of_upstreams_that_were_named_has_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(answer_log, "MAX_UNFRAMED", 2)
    log = AnswerLog()
    for name in ("u1", "u2", "u3"):
        log.on_ended(name, REQUEST, UNFRAMED)
    assert list(log.unframed) == ["u2", "u3"]
