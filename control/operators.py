"""The operators' API for configurations; any control process answers or redirects to the primary."""

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
from consensus.views import ChangeStatus, Document, Member
from transport.http_server import Request, Response, Routes, json_response

OPERATOR_ROUTES = Routes()
DECISION_TIMEOUT_S = 0.75  # callers try another process after one second without an answer
POLL_INTERVAL_S = 0.02
RETRY_AFTER_S = "0.2"
MAX_VERSION_DIGITS = 19


class Control(Protocol):
    """What the API needs of the control process."""

    reader: ConfigurationReader

    def is_leader(self) -> bool:
        """Return whether this process is the primary."""

    def leader(self) -> Member | None:
        """Return the primary if it is another process and was heard from recently."""

    async def submit(self, command: Command) -> Outcome:
        """Execute a command as the primary."""

    def next_token(self) -> int:
        """Return a unique number for a command."""


async def _run_command(control: Control, command: Command, path: str = "/api/config") -> Outcome | Response:
    """Return the outcome of a command or a redirect, waiting a short time for a primary."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + DECISION_TIMEOUT_S
    while (remaining_s := deadline - loop.time()) > 0:
        if control.is_leader():
            try:
                async with asyncio.timeout(remaining_s):
                    outcome = await control.submit(command)
            except TimeoutError:
                break  # the command may still be committed, so its outcome is unknown
            if outcome.verdict is not Verdict.MOVED:
                return outcome
        elif (leader := control.leader()) is not None:
            return json_response(307, "another process is the primary", Location=f"http://{leader.ctl}{path}")
        await asyncio.sleep(POLL_INTERVAL_S)
    return json_response(503, "no primary at the moment; ask again", Retry_After=RETRY_AFTER_S)


@OPERATOR_ROUTES.route("PUT", "/api/config")
async def put_configuration(control: Control, request: Request) -> Response:
    """Replace the configuration; `If-Match` names the version that it is based on."""
    try:
        checked = control.reader.check(request.body)
        base = _base_version(request)
    except InvalidConfigurationError as error:
        return json_response(400, str(error))
    ver = checked.configuration.ver
    return _change_response(
        await _run_command(control, Put(control.next_token(), base, ver, checked.digest, request.body)), ver
    )


@OPERATOR_ROUTES.route("PATCH", "/api/config")
async def patch_configuration(control: Control, request: Request) -> Response:
    """Change single items of the configuration version that `If-Match` names.

    Only the primary computes the result, which is stored and published as a whole. Versions only rise, so a
    base that is no longer current never returns; the history tells whether the patch was applied.
    """
    try:
        patch = parse_patch(request.body)
        base = _base_version(request)
    except InvalidConfigurationError as error:
        return json_response(400, str(error))
    current = await _run_command(control, Get(control.next_token()))
    if isinstance(current, Response):
        return current
    document = current.document or Document()
    if base != document.ver:
        status = document.change_status(patch.ver, patch.digest)
        return _change_response(Outcome(current.token, _VERDICTS[status], document), patch.ver)
    try:
        result = apply_patch(document.body, patch, control.reader)
    except InvalidConfigurationError as error:
        return json_response(400, str(error))
    put = Put(control.next_token(), base, patch.ver, patch.digest, result.body)
    return _change_response(await _run_command(control, put), patch.ver)


_VERDICTS = {
    ChangeStatus.ACCEPTED: Verdict.DONE,
    ChangeStatus.NOT_ACCEPTED: Verdict.STALE,
    ChangeStatus.UNKNOWN: Verdict.UNSURE,
}


def _base_version(request: Request) -> int:
    """Return the version that a change is based on; raises InvalidConfigurationError."""
    base = request.headers.get("if-match", "").strip().strip('"')
    if not base.isascii() or not base.isdigit() or len(base) > MAX_VERSION_DIGITS:
        raise InvalidConfigurationError(
            "If-Match is not a version number", "send the version that the change builds on, 0 for the first"
        )
    return int(base)


def _change_response(outcome: Outcome | Response, ver: int) -> Response:
    """Return the response to a change that makes version `ver`."""
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
                503, f"version {ver} is older than the history, so its outcome is unknown; {remedy}"
            )


@OPERATOR_ROUTES.route("GET", "/api/config")
async def get_configuration(control: Control, request: Request) -> Response:
    """Return the current configuration as it was sent."""
    outcome = await _run_command(control, Get(control.next_token()))
    if isinstance(outcome, Response):
        return outcome
    document = outcome.document
    if document is None or not document.ver:
        return json_response(404, "no configuration has been accepted yet; send one")
    return Response(200, document.body, {"ETag": str(document.ver)})


@OPERATOR_ROUTES.route("GET", "/api/history")
async def get_history(control: Control, request: Request) -> Response:
    """Return all accepted versions, oldest first, with their digests; their bodies are not stored."""
    outcome = await _run_command(control, Get(control.next_token()), "/api/history")
    if isinstance(outcome, Response):
        return outcome
    document = outcome.document
    taken = document.taken if document is not None else ()
    current = [{"ver": version.ver, "digest": version.digest} for version in taken]
    return Response(200, json.dumps({"taken": current}).encode())
