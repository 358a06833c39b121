"""What a balancer's log and figures say of upstreams whose answers tell no end."""

from __future__ import annotations

import pytest
from loguru import logger

from balancer import answer_log
from balancer.answer_log import AnswerLog
from balancer.wire import Staged
from passpost.answer_end import ResponseEnd
from passpost.http1 import EndKind, Framing

REQUEST = Staged(b"GET / HTTP/1.1\r\n", b"", request_id=b"r1")
UNFRAMED = ResponseEnd(EndKind.FIN, Framing.CLOSE, 200, 10)


def test_an_upstream_without_length_and_chunks_is_named_once() -> None:
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{level} {message}", level="INFO")
    try:
        watched = AnswerLog()
        for name in ("u1", "u1", "u2"):
            watched.ended(name, REQUEST, UNFRAMED)
        watched.ended("u3", REQUEST, ResponseEnd(EndKind.WHOLE, Framing.LENGTH, 200, 10))
        watched.ended("u4", REQUEST, ResponseEnd(EndKind.RESET, Framing.UNKNOWN, 0, 0))
    finally:
        logger.remove(sink)
    named = [line.strip() for line in lines if "answers_unframed" in line]
    assert named == [f"WARNING event=answers_unframed upstream={name}" for name in ("u1", "u2")]
    assert list(watched.unframed) == ["u1", "u2"]


def test_what_is_kept_of_upstreams_that_were_named_has_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(answer_log, "MOST_NAMED", 2)
    watched = AnswerLog()
    for name in ("u1", "u2", "u3"):
        watched.ended(name, REQUEST, UNFRAMED)
    assert list(watched.unframed) == ["u2", "u3"]
