"""HTTP client of the operators' commands: tries each control process, follows redirects and retries."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from config.errors import SettingsError
from config.settings import parse_address
from mastturnd.wrong import NoAnswerError, UsageError

RESPONSE_TIMEOUT_S = 2.0  # for one process, before the next is tried
MAX_ERROR_CHARS = 500  # of an error message
MAX_BODY_BYTES = 16 * 1024 * 1024  # of a response
MAX_REDIRECTS = 2
RETRY_DELAY_S = 0.4  # before the same process is called again
ROUND_DELAY_S, ROUND_DELAY_FACTOR, MAX_ROUND_DELAY_S = 0.1, 1.6, 1.0  # between two rounds over all processes


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP response and the `IP:PORT` that sent it."""

    status: int
    headers: Mapping[str, str]  # names in lower case
    body: bytes
    endpoint: str

    def json(self) -> dict[str, Any]:
        """Return the JSON object in the body; raises NoAnswerError."""
        try:
            parsed = json.loads(self.body)
        except (ValueError, RecursionError):
            parsed = None
        if not isinstance(parsed, dict):
            raise NoAnswerError(
                f"{self.endpoint} does not answer with a JSON object",
                "check that it is a process of this program",
            )
        return parsed

    def error_text(self) -> str:
        """Return the error message, or the status, as a single line of limited length."""
        try:
            return " ".join(str(json.loads(self.body)["error"]).split())[:MAX_ERROR_CHARS]
        except (ValueError, KeyError, TypeError, RecursionError):
            return f"status {self.status}"


def parse_endpoint(text: str) -> str:
    """Validate an `IP:PORT`; raises UsageError."""
    try:
        host, port = parse_address(text)
    except SettingsError as error:
        raise UsageError(error.problem, error.remedy) from None
    return f"{host}:{port}"


def call_once(
    endpoint: str,
    method: str,
    target: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = RESPONSE_TIMEOUT_S,
    max_bytes: int = MAX_BODY_BYTES,
) -> Answer | None:
    """Send one request to one process.

    Returns None if no complete response of at most `max_bytes` arrives; `timeout_s` bounds each wait on the
    socket.
    """
    try:
        host, port = parse_address(endpoint)
        with contextlib.closing(http.client.HTTPConnection(host, port, timeout=timeout_s)) as connection:
            connection.request(method, target, body, dict(headers or {}))
            answer = connection.getresponse()
            content = answer.read(max_bytes + 1)
            is_complete = _is_complete(answer)
    # UnicodeError: invalid host name.
    except (OSError, http.client.HTTPException, SettingsError, UnicodeError):
        return None
    if len(content) > max_bytes or not is_complete:
        return None
    return Answer(answer.status, {k.lower(): v for k, v in answer.getheaders()}, content, endpoint)


def _is_complete(answer: http.client.HTTPResponse) -> bool:
    """Return whether the whole body was read: http.client takes a closed connection as the end of a body.

    Processes of this program always send a length or chunks; a truncated chunked body raises while it is
    read.
    """
    return answer.chunked or answer.length == 0


def call_until_answered(endpoint: str, target: str, within_s: float) -> Answer | None:
    """Call one process, retrying while it does not answer or answers 429; None after `within_s`."""
    deadline = time.monotonic() + within_s
    while True:
        answer = call_once(endpoint, "GET", target, timeout_s=within_s)
        if answer is not None and answer.status != 429:
            return answer
        if time.monotonic() + RETRY_DELAY_S >= deadline:
            return answer
        time.sleep(RETRY_DELAY_S)


def _call_following_redirects(
    endpoint: str, method: str, target: str, body: bytes | None, headers: Mapping[str, str] | None
) -> Answer | None:
    """Send one request, following redirects; returns None without a conclusive answer."""
    for _ in range(MAX_REDIRECTS + 1):
        answer = call_once(endpoint, method, target, body, headers)
        if answer is None or answer.status >= 500 or answer.status in (408, 429):
            return None
        if answer.status != 307:
            return answer
        location = answer.headers.get("location", "").removeprefix("http://").partition("/")[0]
        try:
            endpoint = parse_endpoint(location)
        except UsageError:
            return None
    return None


def call_any(
    ctl: list[str],
    method: str,
    target: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    within_s: float = 8.0,
) -> Answer:
    """Call the control processes in turn for a conclusive answer; raises NoAnswerError after `within_s`."""
    deadline, delay_s = time.monotonic() + within_s, ROUND_DELAY_S
    for number in itertools.count(1):
        answer = _call_following_redirects(ctl[(number - 1) % len(ctl)], method, target, body, headers)
        if answer is not None:
            return answer
        if time.monotonic() >= deadline:
            break
        if number % len(ctl) == 0:
            time.sleep(delay_s)
            delay_s = min(delay_s * ROUND_DELAY_FACTOR, MAX_ROUND_DELAY_S)
    endpoints = ", ".join(ctl)
    raise NoAnswerError(
        f"none of {endpoints} gives a clear answer to {method} {target} within {within_s:g} s",
        "see that a majority of the control processes runs, or give --ctl=IP:PORT of others",
    )
