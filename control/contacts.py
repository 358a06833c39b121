"""Tells processes outside the group who the members are, so that also those find it whose seeds know nobody.

All members keep the addresses of these processes: a control process without a disk asks every member
regularly, a newcomer asks for a slot, and the leader reports the balancers that are attached. The leader
sends its view to control processes, and dials balancers that are not attached. The other members send their
view to control processes that they don't hear from, as the leader may have been a member for less time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable, Sequence
from typing import Any

from config.settings import Settings
from consensus.messages import JoinRequest, Message, PreVoteRequest, ViewUpdate
from consensus.replica import Replica
from consensus.views import View
from control.known_processes import Kind, KnownProcesses, ProcessAddress
from control.known_processes_store import KnownProcessesStore
from dissemination.messages import MembershipUpdate, PresentBalancer, Redirect
from transport.endpoint import Endpoint
from transport.links import Links

TICK_INTERVAL_S = 1.0
CONTROL_SILENT_AFTER_S = 8.0  # control processes without a disk ask every five seconds
BALANCER_SILENT_AFTER_S = 2.0  # also the time that balancers have to attach to a new leader
REPORT_INTERVAL_S = 5.0  # an unchanged set of balancers is reported to the other members this often


class Contacts:
    """Keeps track of the processes outside the group for one control process, and contacts them."""

    def __init__(self, settings: Settings, links: Links) -> None:
        assert settings.data_dir is not None
        self._settings, self._links = settings, links
        self._known = KnownProcesses()
        self._store = KnownProcessesStore(settings.data_dir)
        self._is_loaded = False
        self._ticked_at = self._reported_at = -1e9
        self._leading_since: float | None = None
        self._reported: Sequence[PresentBalancer] = ()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Load the stored addresses in the background."""
        self._run(self._load())

    def stop(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()

    def reconfigure(self, settings: Settings) -> None:
        """Apply a changed settings file."""
        self._settings = settings

    def count(self) -> int:
        """Return the number of known processes outside the group."""
        return len(self._known.addresses())

    # ---- who is heard from

    def on_control_message(self, ip: str, message: Message) -> None:
        """Record the sender of a message that processes outside the group send."""
        if isinstance(message, JoinRequest | PreVoteRequest):
            self._known.hear(ProcessAddress(Kind.CONTROL, ip), _now())

    def on_balancers(self, balancers: Iterable[PresentBalancer]) -> None:
        """Record the balancers that are present, as the leader sees or reports them."""
        now = _now()
        for balancer in balancers:
            self._known.hear(ProcessAddress(Kind.BALANCER, balancer.ip), now)

    # ---- contacting them

    def tick(self, replica: Replica, members: MembershipUpdate | None) -> None:
        """Contact those that are due; called often. `members`: the latest that this process has published."""
        now, primary = _now(), replica.primary
        begins_to_lead = primary is not None and self._leading_since is None
        if now - self._ticked_at < TICK_INTERVAL_S and not begins_to_lead:
            return
        self._ticked_at = now
        if primary is None:
            self._leading_since = None
        elif begins_to_lead:
            self._leading_since = now
        view = primary.view if primary is not None else replica.acceptor.latest_view
        if view is None:
            return
        self._known.forget(now)
        self._send_view(replica, view, now)
        if self._leading_since is not None and now - self._leading_since >= BALANCER_SILENT_AFTER_S:
            self._report_balancers(view, members, now)
            self._dial_balancers(now)
        if self._is_loaded:
            self._store.save(self._outside(view))

    def _outside(self, view: View) -> frozenset[ProcessAddress]:
        """Return the known processes that are no members; balancers may share a machine with a member."""
        members = {ProcessAddress(Kind.CONTROL, member.ip) for member in view.members if member is not None}
        return self._known.addresses() - members - {ProcessAddress(Kind.CONTROL, self._settings.ip)}

    def _report_balancers(self, view: View, members: MembershipUpdate | None, now: float) -> None:
        """Record the present balancers, and report them to the other members on changes and regularly."""
        if members is None:
            return
        self.on_balancers(members.balancers)
        if members.balancers == self._reported and now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported, self._reported_at = members.balancers, now
        frame = self._links.kinds.encode(members)
        for member in view.members:
            if member is not None and member.ip != self._settings.ip:
                self._links.send_frame(Endpoint(member.ip, self._settings.control_port), frame)

    def _send_view(self, replica: Replica, view: View, now: float) -> None:
        """Send the view to control processes outside the group: as the leader to all, else to silent ones."""
        if replica.primary is not None:
            seeds = [ProcessAddress(Kind.CONTROL, ip) for ip in self._settings.seed_ips]
            self._known.restore(seeds, now)
            candidates = frozenset(a for a in self._outside(view) if a.kind is Kind.CONTROL)
        else:
            silent = self._known.silent(Kind.CONTROL, CONTROL_SILENT_AFTER_S, now)
            candidates = self._outside(view).intersection(silent)
        update = ViewUpdate(replica.me.identity, "", view, view.epoch)
        for address in self._known.take_due(sorted(candidates), now):
            self._links.send(Endpoint(address.ip, self._settings.control_port), update)

    def _dial_balancers(self, now: float) -> None:
        """Redirect balancers here that are not attached."""
        silent = self._known.silent(Kind.BALANCER, BALANCER_SILENT_AFTER_S, now)
        for address in self._known.take_due(silent, now):
            self._run(self._redirect_here(Endpoint(address.ip, self._settings.balancer_port)))

    async def _redirect_here(self, balancer: Endpoint) -> None:
        link = await self._links.dial(balancer)
        if link is not None:
            link.send(Redirect((self._settings.ip,)))
            link.close()

    # ---- tasks

    async def _load(self) -> None:
        self._known.restore(await self._store.load(), _now())
        self._is_loaded = True

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now() -> float:
    return asyncio.get_running_loop().time()
