"""The operators' calls: a configuration is put and read back; any process answers or says who can."""

from __future__ import annotations

import asyncio
import json
from typing import Protocol

from config.checking import ConfigurationReader
from config.errors import InvalidConfigurationError
from config.patching import apply_patch, parse_patch
from consensus.effects import Reply as Outcome
from consensus.effects import Verdict
from consensus.primary import Command, Get, Put
from consensus.views import Document, Member, Past
from transport.calls import Request, Response, Routes, json_response

OPERATOR_ROUTES = Routes()
DECISION_TIMEOUT_S = 0.75  # callers go elsewhere after a second of silence
POLL_INTERVAL_S = 0.02
RETRY_AFTER_S = "0.2"
MOST_DIGITS = 19  # of a version


class Control(Protocol):
    """What the calls need of the control process."""

    reader: ConfigurationReader

    def is_leader(self) -> bool:
        """Whether we are the primary."""

    def leader(self) -> Member | None:
        """Another that is the primary, as far as we know, and was heard of a moment ago."""

    async def submit(self, command: Command) -> Outcome:
        """Carry out a command as the primary."""

    def next_token(self) -> int:
        """A number for a command."""


async def _decide(control: Control, command: Command, path: str = "/api/config") -> Outcome | Response:
    """The outcome of a command, or where to take it; a primary is waited for a little."""
    loop = asyncio.get_running_loop()
    until = loop.time() + DECISION_TIMEOUT_S
    while (left := until - loop.time()) > 0:
        if control.is_leader():
            try:
                async with asyncio.timeout(left):
                    outcome = await control.submit(command)
            except TimeoutError:
                break  # it may yet be taken: no clear answer
            if outcome.verdict is not Verdict.MOVED:
                return outcome
        elif (leader := control.leader()) is not None:
            return json_response(307, "another leads", Location=f"http://{leader.ctl}{path}")
        await asyncio.sleep(POLL_INTERVAL_S)
    return json_response(503, "no primary at the moment; ask again", Retry_After=RETRY_AFTER_S)


@OPERATOR_ROUTES.route("PUT", "/api/config")
async def put_configuration(control: Control, request: Request) -> Response:
    """Take a whole configuration on top of the version that `If-Match` names."""
    try:
        checked = control.reader.check(request.body)
        base = _base(request)
    except InvalidConfigurationError as error:
        return json_response(400, str(error))
    ver = checked.configuration.ver
    return _told(
        await _decide(control, Put(control.next_token(), base, ver, checked.digest, request.body)), ver
    )


@OPERATOR_ROUTES.route("PATCH", "/api/config")
async def patch_configuration(control: Control, request: Request) -> Response:
    """Change named items of the version that `If-Match` names.

    The primary alone makes the result, which is kept and told whole. A base that is not in place can't come
    back, as versions rise; so what has become of the patch is in the history.
    """
    try:
        patch = parse_patch(request.body)
        base = _base(request)
    except InvalidConfigurationError as error:
        return json_response(400, str(error))
    found = await _decide(control, Get(control.next_token()))
    if isinstance(found, Response):
        return found
    document = found.document or Document()
    if base != document.ver:
        past = document.past(patch.ver, patch.digest)
        return _told(Outcome(found.token, _VERDICTS[past], document), patch.ver)
    try:
        result = apply_patch(document.body, patch, control.reader)
    except InvalidConfigurationError as error:
        return json_response(400, str(error))
    put = Put(control.next_token(), base, patch.ver, patch.digest, result.body)
    return _told(await _decide(control, put), patch.ver)


_VERDICTS = {Past.TAKEN: Verdict.DONE, Past.NEVER: Verdict.STALE, Past.FORGOTTEN: Verdict.UNSURE}


def _base(request: Request) -> int:
    """The version that a change builds on; raises InvalidConfigurationError."""
    base = request.headers.get("if-match", "").strip().strip('"')
    if not base.isascii() or not base.isdigit() or len(base) > MOST_DIGITS:
        raise InvalidConfigurationError(
            "If-Match holds no version", "name the version that this one builds on, 0 for the first"
        )
    return int(base)


def _told(outcome: Outcome | Response, ver: int) -> Response:
    """What an operator is told of a change to version `ver`."""
    if isinstance(outcome, Response):
        return outcome
    current = outcome.document.ver if outcome.document is not None else 0
    match outcome.verdict:
        case Verdict.DONE:
            return json_response(200)
        case Verdict.STALE:
            return json_response(412, f"version {current} is in place; build on that", ETag=str(current))
        case Verdict.NOT_ABOVE:
            return json_response(400, f"version {ver} is not above {current}; give it a higher number")
        case _:
            remedy = f"read the configuration and build on version {current}"
            return json_response(
                503, f"version {ver} is older than the history, it may have been taken; {remedy}"
            )


@OPERATOR_ROUTES.route("GET", "/api/config")
async def get_configuration(control: Control, request: Request) -> Response:
    """The newest configuration as it was sent."""
    outcome = await _decide(control, Get(control.next_token()))
    if isinstance(outcome, Response):
        return outcome
    document = outcome.document
    if document is None or not document.ver:
        return json_response(404, "no configuration has been taken yet; put one")
    return Response(200, document.body, {"ETag": str(document.ver)})


@OPERATOR_ROUTES.route("GET", "/api/history")
async def get_history(control: Control, request: Request) -> Response:
    """The versions that were ever taken, the oldest first, with the digest of each; bodies are not kept."""
    outcome = await _decide(control, Get(control.next_token()), "/api/history")
    if isinstance(outcome, Response):
        return outcome
    document = outcome.document
    taken = document.taken if document is not None else ()
    found = [{"ver": t.ver, "digest": t.digest} for t in taken]
    return Response(200, json.dumps({"taken": found}).encode())
