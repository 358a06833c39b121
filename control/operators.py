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
from consensus.views import ChangeStatus, Document, Member
from transport.calls import Call, Calls, Reply, say

CALLS = Calls()
HELD_S = 0.75  # callers go elsewhere after a second of silence
LOOK_S = 0.02
AGAIN_S = "0.2"
MOST_DIGITS = 19  # of a version


class Control(Protocol):
    """What the calls need of the control process."""

    reader: ConfigurationReader

    def leads(self) -> bool:
        """Whether we are the primary."""

    def leader(self) -> Member | None:
        """Another that is the primary, as far as we know, and was heard of a moment ago."""

    async def submit(self, command: Command) -> Outcome:
        """Carry out a command as the primary."""

    def token(self) -> int:
        """A number for a command."""


async def _decide(control: Control, command: Command, path: str = "/api/config") -> Outcome | Reply:
    """The outcome of a command, or where to take it; a primary is waited for a little."""
    loop = asyncio.get_running_loop()
    until = loop.time() + HELD_S
    while (left := until - loop.time()) > 0:
        if control.leads():
            try:
                async with asyncio.timeout(left):
                    outcome = await control.submit(command)
            except TimeoutError:
                break  # it may yet be taken: no clear answer
            if outcome.verdict is not Verdict.MOVED:
                return outcome
        elif (leader := control.leader()) is not None:
            return say(307, "another leads", Location=f"http://{leader.ctl}{path}")
        await asyncio.sleep(LOOK_S)
    return say(503, "no primary at the moment; ask again", Retry_After=AGAIN_S)


@CALLS.on("PUT", "/api/config")
async def put_configuration(control: Control, call: Call) -> Reply:
    """Take a whole configuration on top of the version that `If-Match` names."""
    try:
        checked = control.reader.check(call.body)
        base = _base(call)
    except InvalidConfigurationError as error:
        return say(400, str(error))
    ver = checked.configuration.ver
    return _told(await _decide(control, Put(control.token(), base, ver, checked.digest, call.body)), ver)


@CALLS.on("PATCH", "/api/config")
async def patch_configuration(control: Control, call: Call) -> Reply:
    """Change named items of the version that `If-Match` names.

    The primary alone makes the result, which is kept and told whole. A base that is not in place can't come
    back, as versions rise; so what has become of the patch is in the history.
    """
    try:
        patch = parse_patch(call.body)
        base = _base(call)
    except InvalidConfigurationError as error:
        return say(400, str(error))
    found = await _decide(control, Get(control.token()))
    if isinstance(found, Reply):
        return found
    document = found.document or Document()
    if base != document.ver:
        past = document.change_status(patch.ver, patch.digest)
        return _told(Outcome(found.token, _VERDICTS[past], document), patch.ver)
    try:
        result = apply_patch(document.body, patch, control.reader)
    except InvalidConfigurationError as error:
        return say(400, str(error))
    put = Put(control.token(), base, patch.ver, patch.digest, result.body)
    return _told(await _decide(control, put), patch.ver)


_VERDICTS = {
    ChangeStatus.ACCEPTED: Verdict.DONE,
    ChangeStatus.NOT_ACCEPTED: Verdict.STALE,
    ChangeStatus.UNKNOWN: Verdict.UNSURE,
}


def _base(call: Call) -> int:
    """The version that a change builds on; raises InvalidConfigurationError."""
    base = call.headers.get("if-match", "").strip().strip('"')
    if not base.isascii() or not base.isdigit() or len(base) > MOST_DIGITS:
        raise InvalidConfigurationError(
            "If-Match holds no version", "name the version that this one builds on, 0 for the first"
        )
    return int(base)


def _told(outcome: Outcome | Reply, ver: int) -> Reply:
    """What an operator is told of a change to version `ver`."""
    if isinstance(outcome, Reply):
        return outcome
    current = outcome.document.ver if outcome.document is not None else 0
    match outcome.verdict:
        case Verdict.DONE:
            return say(200)
        case Verdict.STALE:
            return say(412, f"version {current} is in place; build on that", ETag=str(current))
        case Verdict.NOT_ABOVE:
            return say(400, f"version {ver} is not above {current}; give it a higher number")
        case _:
            remedy = f"read the configuration and build on version {current}"
            return say(503, f"version {ver} is older than the history, it may have been taken; {remedy}")


@CALLS.on("GET", "/api/config")
async def get_configuration(control: Control, call: Call) -> Reply:
    """The newest configuration as it was sent."""
    outcome = await _decide(control, Get(control.token()))
    if isinstance(outcome, Reply):
        return outcome
    document = outcome.document
    if document is None or not document.ver:
        return say(404, "no configuration has been taken yet; put one")
    return Reply(200, document.body, {"ETag": str(document.ver)})


@CALLS.on("GET", "/api/history")
async def get_history(control: Control, call: Call) -> Reply:
    """The versions that were ever taken, the oldest first, with the digest of each; bodies are not kept."""
    outcome = await _decide(control, Get(control.token()), "/api/history")
    if isinstance(outcome, Reply):
        return outcome
    document = outcome.document
    taken = document.taken if document is not None else ()
    found = [{"ver": t.ver, "digest": t.digest} for t in taken]
    return Reply(200, json.dumps({"taken": found}).encode())
