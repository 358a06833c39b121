"""The control role on a machine without a disk: it keeps nothing, and leads callers on to who leads.

A deploy file may place the role on a class of machines of which only some have disks. One without a disk can
be no member, as it could keep no promise. It asks the members who leads when somebody wants to know.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

from loguru import logger

from config.checking import ConfigurationReader
from config.settings import Settings, parse_address
from consensus import messages
from consensus.codec import decode_nested
from consensus.effects import Reply as Outcome
from consensus.messages import Answer, Ask, Join, Known
from consensus.primary import Command
from consensus.views import Member, View
from control.operators import DECISION_TIMEOUT_S, OPERATOR_ROUTES, POLL_INTERVAL_S
from control.tally_calls import TALLIES_PREFIX as TALLIES
from dissemination import messages as news
from dissemination.messages import Attach, Moved
from tallies import messages as tallies
from transport.calls import HttpServer, Request, Response, Routes, json_response
from transport.endpoint import Endpoint
from transport.links import Links
from transport.tasks import run_forever
from transport.wire import Link, MessageKinds

ASK_S = 0.25  # the members are asked no sooner after the last time
HEARD_S = 1.5  # a leader that was heard within this is there
KEEP_S = 5.0  # the members are asked so often while nobody wants to know: whom to ask is in memory alone
KINDS = MessageKinds().include(messages.KINDS).include(news.KINDS).include(tallies.KINDS)
REFERRED = Routes().include(OPERATOR_ROUTES)  # operators' calls find no primary here, and are led on


class ReferralNode:
    """Answers at `ctl`, and balancers and newcomers that have it for a seed, with where to go."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.reader = ConfigurationReader()
        self._identity = f"referral-{secrets.token_hex(8)}"
        own = Endpoint(settings.ip, settings.control_port)
        self._links = Links(KINDS, own, self._heard, lambda link: None, peers_share_port=False)
        self._calls = HttpServer(REFERRED, self)
        self._view: View | None = None  # the latest that a member has told
        self._heard_at: dict[str, float] = {}  # by member's identity: when it answered last
        self._callers: set[str] = set()  # IPs of newcomers, where all seeds are as we are
        self._asked_at = -1e9
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; raises OSError where an address can't be had."""
        await self._links.start()
        if self.settings.listen.ctl:
            await self._calls.start(parse_address(self.settings.listen.ctl))
        self._task = asyncio.get_running_loop().create_task(run_forever(self._keep_in_touch))

    async def stop(self) -> None:
        """Close everything: nothing rests on us."""
        if self._task is not None:
            self._task.cancel()
        self._calls.stop()
        self._links.stop()

    def reconfigure(self, settings: Settings) -> None:
        """The settings file has changed."""
        self.settings = settings

    # ---- what operators' calls need

    def is_leader(self) -> bool:
        """Whether we are the primary: never."""
        return False

    def leader(self) -> Member | None:
        """The primary, if it has answered a moment ago; else the members are asked."""
        view, now = self._view, asyncio.get_running_loop().time()
        if view is not None and now - self._heard_at.get(view.leader().identity, -1e9) <= HEARD_S:
            return view.leader()
        self._ask(now)
        return None

    def member_in_reach(self) -> Member | None:
        """A member that has answered a moment ago, one of our zone first; without one they are asked."""
        now = asyncio.get_running_loop().time()
        members = self._view.members if self._view is not None else ()
        heard = [
            member
            for member in members
            if member is not None and now - self._heard_at.get(member.identity, -1e9) <= HEARD_S
        ]
        if not heard:
            self._ask(now)
        return min(heard, key=lambda member: member.zone != self.settings.zone, default=None)

    async def submit(self, command: Command) -> Outcome:
        """No command is carried out here."""
        raise NotImplementedError("a process without a disk leads nothing")

    def next_token(self) -> int:
        """A number for a command that is not carried out here."""
        return 0

    # ---- the members

    async def _keep_in_touch(self) -> None:
        """Know the members before somebody asks: the seeds that could tell may be others by then."""
        while True:
            now = asyncio.get_running_loop().time()
            if now - max(self._heard_at.values(), default=-1e9) >= KEEP_S:
                self._ask(now)
            await asyncio.sleep(HEARD_S)

    def _ask(self, now: float) -> None:
        if now - self._asked_at < ASK_S:
            return
        self._asked_at = now
        members = self._view.members if self._view is not None else ()
        known = {member.ip for member in members if member is not None} | self._callers
        known |= set(self.settings.seed_ips)
        for ip in sorted(known - {self.settings.ip}):
            self._links.send(self._control_at(ip), Ask(self._identity, "", 0, False))

    def _control_at(self, ip: str) -> Endpoint:
        return Endpoint(ip, self.settings.control_port)

    def _heard(self, link: Link, message: Any) -> None:
        if isinstance(message, Attach):
            leader = self.leader()
            link.send(Moved((leader.ip,) if leader is not None else ()))
            return
        if not isinstance(message, messages.Message):
            return
        try:
            revived = decode_nested(message)
        except (ValueError, KeyError, TypeError) as error:
            logger.warning("event=bad_message peer={} error={!r}", link.peer, str(error))
            link.close()
            return
        self._links.identify(link, self._control_at(link.peer))
        match revived:
            case Answer(sender=sender, to=self._identity, view=view):
                self._heard_at[sender] = asyncio.get_running_loop().time()
                self._learn(view)
            case Known(sender=sender, view=view):
                self._heard_at[sender] = asyncio.get_running_loop().time()
                self._learn(view)
            case Join(sender=sender):
                self._callers.add(link.peer)
                if self._view is not None:
                    link.send(Known(self._identity, sender, self._view, 0))

    def _learn(self, view: View | None) -> None:
        if view is not None and (self._view is None or view.epoch > self._view.epoch):
            self._view = view
            named = {member.identity for member in view.members if member is not None}
            self._heard_at = {i: at for i, at in self._heard_at.items() if i in named}


async def _lead_on(find: Callable[[], Member | None], request: Request) -> Response:
    """Where the call is answered; a member that answers it is waited for a little."""
    loop = asyncio.get_running_loop()
    until = loop.time() + DECISION_TIMEOUT_S
    while loop.time() < until:
        if (member := find()) is not None:
            return json_response(307, "another answers this", Location=f"http://{member.ctl}{request.path}")
        await asyncio.sleep(POLL_INTERVAL_S)
    return json_response(503, "nobody who answers this at the moment; ask again", Retry_After="0.2")


async def _lead_to_leader(node: ReferralNode, request: Request) -> Response:
    return await _lead_on(node.leader, request)


async def _lead_to_member(node: ReferralNode, request: Request) -> Response:
    """Every member answers for tallies, also on a side of a cut where nobody leads."""
    return await _lead_on(node.member_in_reach, request)


REFERRED.route_prefix("POST", TALLIES)(_lead_to_member)
REFERRED.route_prefix("GET", TALLIES)(_lead_to_member)
REFERRED.route("GET", "/api/status")(_lead_to_leader)
REFERRED.route("GET", "/dashboard")(_lead_to_leader)


@REFERRED.route("GET", "/metrics")
async def _metrics(node: ReferralNode, request: Request) -> Response:
    from mastturnd import figures

    found = await figures.text("mastturnd.referral_figures", node)
    return Response(200, found, content_type=figures.CONTENT_TYPE)
