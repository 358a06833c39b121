"""The control role on a machine without a disk: stores nothing and redirects callers to the primary.

A deploy file may place the role on a class of machines of which only some have disks. A process without a
disk can't be a member, as it could not keep a promise; it queries the members for the primary on demand.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import deque
from collections.abc import Callable
from typing import Any

from loguru import logger

from config.checking import ConfigurationReader
from config.settings import Settings, parse_address
from consensus import messages
from consensus.codec import decode_nested
from consensus.effects import Reply as Outcome
from consensus.messages import JoinRequest, PreVoteRequest, PreVoteResponse, ViewUpdate
from consensus.primary import Command
from consensus.views import Member, View
from control.operators import DECISION_TIMEOUT_S, OPERATOR_ROUTES, POLL_INTERVAL_S
from control.tally_api import TALLIES_PREFIX as TALLIES
from dissemination import messages as news
from dissemination.messages import Attach, Redirect
from tallies import messages as tallies
from transport.endpoint import Endpoint
from transport.http_server import HttpServer, Request, Response, Routes, json_response
from transport.links import Links
from transport.tasks import run_forever
from transport.wire import Link, MessageKinds

QUERY_INTERVAL_S = 0.25  # minimum interval between two queries of the members
MEMBER_TIMEOUT_S = 1.5  # a member that answered within this counts as reachable
REFRESH_INTERVAL_S = 5.0  # the members are queried at least this often, as their addresses are in memory only
MAX_ASKERS = 32  # processes outside the group that are remembered as they have asked here
SILENCE_LOG_INTERVAL_S = 5.0  # while no member answers, those asked are logged at most this often
KINDS = MessageKinds().include(messages.KINDS).include(news.KINDS).include(tallies.KINDS)
# Operators' calls are redirected: this process is never the primary.
REFERRAL_ROUTES = Routes().include(OPERATOR_ROUTES)


class ReferralNode:
    """Redirects operators' calls at `ctl`, and balancers and newcomers that use it as a seed."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.reader = ConfigurationReader()
        self._identity = f"referral-{secrets.token_hex(8)}"
        own = Endpoint(settings.ip, settings.control_port)
        self._links = Links(KINDS, own, self._on_message, lambda link: None, peers_share_port=False)
        self._calls = HttpServer(REFERRAL_ROUTES, self)
        self._view: View | None = None  # the latest received from a member
        self._answered_at: dict[str, float] = {}  # time of the last answer by member identity
        # Other processes outside the group that have asked here, needed if no seed knows a member.
        self._asker_ips: deque[str] = deque(maxlen=MAX_ASKERS)
        self._queried_at = self._silence_logged_at = -1e9
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening; raises OSError if an address is not available."""
        await self._links.start()
        if self.settings.listen.ctl:
            await self._calls.start(parse_address(self.settings.listen.ctl))
        self._task = asyncio.get_running_loop().create_task(run_forever(self._refresh_members))

    async def stop(self) -> None:
        """Close all connections; there is no state to save."""
        if self._task is not None:
            self._task.cancel()
        self._calls.stop()
        self._links.stop()

    def reconfigure(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.settings = settings

    # ---- interface of the operators' calls

    def is_leader(self) -> bool:
        """Return whether this process is the primary: never."""
        return False

    def leader(self) -> Member | None:
        """Return the primary if it has answered recently; else None, and the members are queried."""
        view, now = self._view, asyncio.get_running_loop().time()
        if view is not None and now - self._answered_at.get(view.leader().identity, -1e9) <= MEMBER_TIMEOUT_S:
            return view.leader()
        self._query_members(now)
        return None

    def member_in_reach(self) -> Member | None:
        """Return a member that answered recently, preferably of this zone; else query the members."""
        now = asyncio.get_running_loop().time()
        members = self._view.members if self._view is not None else ()
        reachable = [
            member
            for member in members
            if member is not None and now - self._answered_at.get(member.identity, -1e9) <= MEMBER_TIMEOUT_S
        ]
        if not reachable:
            self._query_members(now)
        return min(reachable, key=lambda member: member.zone != self.settings.zone, default=None)

    async def submit(self, command: Command) -> Outcome:
        """Commands are not executed here."""
        raise NotImplementedError("a process without a disk leads nothing")

    def next_token(self) -> int:
        """Return a command number; no command is executed here."""
        return 0

    def known_members(self) -> int:
        """Return the number of members of the latest known view."""
        return len([m for m in self._view.members if m is not None]) if self._view is not None else 0

    # ---- the members

    async def _refresh_members(self) -> None:
        """Keep the members known, and this process known to them.

        By the time of a request, the seeds that know the members may have changed.
        """
        while True:
            now = asyncio.get_running_loop().time()
            if not self._answered_at or now - self._queried_at >= REFRESH_INTERVAL_S:
                self._query_members(now)
            await asyncio.sleep(MEMBER_TIMEOUT_S)

    def _query_members(self, now: float) -> None:
        if now - self._queried_at < QUERY_INTERVAL_S:
            return
        self._queried_at = now
        members = self._view.members if self._view is not None else ()
        known = {member.ip for member in members if member is not None}
        known |= set(self.settings.seed_ips) | set(self._asker_ips)
        asked = sorted(known - {self.settings.ip})
        self._log_silence(asked, now)
        for ip in asked:
            self._links.send(self._control_at(ip), PreVoteRequest(self._identity, "", 0, False))

    def _log_silence(self, asked: list[str], now: float) -> None:
        """Log whom this process asks while no member answers, at most every few seconds."""
        heard_at = max(self._answered_at.values(), default=-1e9)
        if self._silence_logged_at < 0:
            self._silence_logged_at = now
        if now - max(heard_at, self._silence_logged_at) > SILENCE_LOG_INTERVAL_S + MEMBER_TIMEOUT_S:
            self._silence_logged_at = now
            logger.warning("event=members_silent known={} asked={}", self.known_members(), ",".join(asked))

    def _control_at(self, ip: str) -> Endpoint:
        return Endpoint(ip, self.settings.control_port)

    def _on_message(self, link: Link, message: Any) -> None:
        if isinstance(message, Attach):
            leader = self.leader()
            link.send(Redirect((leader.ip,) if leader is not None else ()))
            return
        if not isinstance(message, messages.Message):
            return
        try:
            decoded = decode_nested(message)
        except (ValueError, KeyError, TypeError) as error:
            logger.warning("event=bad_message peer={} error={!r}", link.peer, str(error))
            link.close()
            return
        self._links.identify(link, self._control_at(link.peer))
        match decoded:
            case PreVoteResponse(sender=sender, to=self._identity, view=view):
                self._on_view(sender, view)
            case ViewUpdate(sender=sender, view=view):
                self._on_view(sender, view)
            case JoinRequest(sender=sender) | PreVoteRequest(sender=sender):
                self._on_asked(link, sender)

    def _on_asked(self, link: Link, sender: str) -> None:
        """Answer a process that looks for the members with the latest known view."""
        if link.peer not in self._asker_ips:
            self._asker_ips.append(link.peer)
        if self._view is not None:
            link.send(ViewUpdate(self._identity, sender, self._view, 0))

    def _on_view(self, sender: str, view: View | None) -> None:
        """Store a later view, whose members are then queried; record that a member has answered."""
        now = asyncio.get_running_loop().time()
        is_later = view is not None and (self._view is None or view.epoch > self._view.epoch)
        if view is not None and is_later:
            logger.info("event=view_learned epoch={} leader={}", view.epoch, view.leader().node)
            self._view = view
            named = self._member_identities()
            self._answered_at = {i: at for i, at in self._answered_at.items() if i in named}
        if sender in self._member_identities():
            self._answered_at[sender] = now
        if is_later:
            self._query_members(now)

    def _member_identities(self) -> set[str]:
        members = self._view.members if self._view is not None else ()
        return {member.identity for member in members if member is not None}


async def _redirect(find: Callable[[], Member | None], request: Request) -> Response:
    """Redirect a call to the member that answers it, waiting briefly until one is known."""
    loop = asyncio.get_running_loop()
    until = loop.time() + DECISION_TIMEOUT_S
    while loop.time() < until:
        if (member := find()) is not None:
            return json_response(
                307, "another process answers this", Location=f"http://{member.ctl}{request.path}"
            )
        await asyncio.sleep(POLL_INTERVAL_S)
    return json_response(503, "no process answers this at the moment; retry", Retry_After="0.2")


async def _redirect_to_leader(node: ReferralNode, request: Request) -> Response:
    return await _redirect(node.leader, request)


async def _redirect_to_member(node: ReferralNode, request: Request) -> Response:
    """Redirect to any member: all answer for tallies, also on a side of a partition without a primary."""
    return await _redirect(node.member_in_reach, request)


REFERRAL_ROUTES.route_prefix("POST", TALLIES)(_redirect_to_member)
REFERRAL_ROUTES.route_prefix("GET", TALLIES)(_redirect_to_member)
REFERRAL_ROUTES.route("GET", "/api/status")(_redirect_to_leader)
REFERRAL_ROUTES.route("GET", "/dashboard")(_redirect_to_leader)


@REFERRAL_ROUTES.route("GET", "/metrics")
async def _metrics(node: ReferralNode, request: Request) -> Response:
    from mastturnd import figures

    body = await figures.render_text("mastturnd.referral_figures", node)
    return Response(200, body, content_type=figures.CONTENT_TYPE)
