"""The control process: hosts a consensus replica, serves the operators' API and publishes updates."""

from __future__ import annotations

import asyncio
import secrets
from collections import deque
from typing import Any

from loguru import logger

from config.checking import ConfigurationReader
from config.settings import Settings, parse_address
from consensus import messages
from consensus.awake_clock import AwakeClock
from consensus.codec import decode_nested
from consensus.effects import Committed, Effect, Lead, Persist, Reply, Send, Spec, Verdict
from consensus.primary import Command, Get
from consensus.replica import Replica
from consensus.spread import Spread
from consensus.state_store import FOUNDER_PREFIX, StateStore
from consensus.views import Member
from control.contacts import Contacts
from control.departure import leave_group
from control.operators import OPERATOR_ROUTES
from control.publisher import Publisher
from control.tally_api import TALLY_ROUTES
from control.tally_keeper import TallyKeeper
from dissemination import messages as updates
from tallies import messages as tallies
from transport.endpoint import Endpoint
from transport.http_server import HttpServer, Routes
from transport.links import Links
from transport.wire import Link, MessageKinds

TICK_S = 0.03
CONFIRM_TIMEOUT_S = 0.5
KINDS = MessageKinds().include(messages.KINDS).include(updates.KINDS).include(tallies.KINDS)


def spec_from_settings(settings: Settings) -> Spec:
    """Return the number of slots and holders: tolerated losses, and one more holder of the data.

    Where whole zones or regions may be lost, each of them costs at least one slot.
    """
    faults = settings.faults
    max_losses = max(faults.nodes, faults.zones, faults.regions)
    spread = Spread(faults.zones, faults.regions, settings.zones)
    return Spec(slots=2 * max_losses + 1, holders=max_losses + 1, spread=spread)


class ControlNode:
    """Runs one `Replica` with its sockets and disk."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.reader = ConfigurationReader()
        self._loop = asyncio.get_running_loop()
        assert settings.data_dir is not None
        self._keeper = StateStore(settings.data_dir, self._on_disk_health)
        self._replica: Replica | None = None
        self._clock = AwakeClock(self._on_stall)
        own = Endpoint(settings.ip, settings.control_port)
        self._links = Links(KINDS, own, self._on_message, self._on_closed, peers_share_port=False)
        self._publisher = Publisher(settings, self._links, self._confirm_epoch, self._on_newer_epoch)
        self.contacts = Contacts(settings, self._links)
        copies, ready_ms = spec_from_settings(settings).holders, settings.bounds.merge_ms
        self.tallies = TallyKeeper(settings.data_dir, copies, ready_ms, self.now, self._send)
        self._http_server = HttpServer(Routes().include(OPERATOR_ROUTES).include(TALLY_ROUTES), self)
        self._tallies_task: asyncio.Task[None] | None = None  # loads the tallies
        self._own_messages: deque[messages.Message] = deque()
        self._last_token, self._pending_commands = 0, dict[int, asyncio.Future[Reply]]()
        self._is_applying = False
        self._ticker: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Load the stored state, listen and join; raises OSError if an address can't be bound."""
        settings = self.settings
        ctl = settings.listen.ctl or ""
        is_bootstrapping = (
            settings.bootstrap and bool(settings.seed_addrs) and min(settings.seed_addrs) == ctl
        )
        durable_state = await self._keeper.load(is_bootstrapping)
        own_member = Member(
            durable_state.identity, settings.node, settings.ip, settings.control_port, ctl, settings.zone
        )
        founder = durable_state.identity.startswith(FOUNDER_PREFIX)
        self._replica = Replica(
            own_member,
            durable_state,
            spec_from_settings(settings),
            settings.seed_ips,
            founder,
            secrets.randbits(32),
        )
        self._replica.start(self.now())
        await self._links.start()
        self.contacts.start()
        self._tallies_task = self._loop.create_task(self.tallies.load())
        if ctl:
            await self._http_server.start(parse_address(ctl))
        self._publisher.start()
        self._tick()

    async def stop(self) -> None:
        """Leave the view, name a successor if that takes too long, and stop."""
        replica = self._replica
        if replica is not None:
            await leave_group(replica, self.settings.bounds.grace_s, self.now, self._apply_effects)
            self._publisher.on_other_leader(self.leader())  # redirects the balancers that are attached here
        if self._ticker is not None:
            self._ticker.cancel()
        self._publisher.stop()
        self.contacts.stop()
        self._http_server.stop()
        self._links.stop()

    def reconfigure(self, settings: Settings) -> None:
        """Apply a changed settings file."""
        self.settings = settings
        self._publisher.reconfigure(settings)
        self.contacts.reconfigure(settings)
        if self._replica is not None:
            self._replica.set_seeds(settings.seed_ips)

    # ---- interface for the operators' API

    def is_leader(self) -> bool:
        """Return whether this process is the primary."""
        return self._replica is not None and self._replica.primary is not None

    def leader(self) -> Member | None:
        """Return the primary if it is another process and was heard from recently."""
        replica = self._replica
        if replica is None:
            return None
        leader = replica.live_leader(self.now())
        return None if leader is None or leader.identity == replica.me.identity else leader

    def components(self) -> tuple[Replica | None, Publisher, StateStore]:
        """Return the parts that a status report reads."""
        return self._replica, self._publisher, self._keeper

    def next_token(self) -> int:
        """Return a unique number for a command."""
        self._last_token += 1
        return self._last_token

    async def submit(self, command: Command) -> Reply:
        """Execute a command as the primary."""
        assert self._replica is not None
        future: asyncio.Future[Reply] = self._loop.create_future()
        self._pending_commands[command.token] = future
        try:
            self._replica.submit(command, self.now())
            self._apply_effects()
            return await future
        finally:
            self._pending_commands.pop(command.token, None)

    async def _confirm_epoch(self) -> int:
        """Return the current epoch once a quorum confirms that this process still leads; 0 if it does not."""
        replica = self._replica
        if replica is None or replica.primary is None:
            return 0
        epoch = replica.primary.view.epoch
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                reply = await self.submit(Get(self.next_token()))
        except TimeoutError:
            return 0
        is_unchanged = replica.primary is not None and replica.primary.view.epoch == epoch
        return epoch if reply.verdict is Verdict.DONE and is_unchanged else 0

    def _on_newer_epoch(self, epoch: int) -> None:
        """Lead in a later epoch than this one, as others reject leaders of this or an earlier epoch."""
        if self._replica is not None:
            logger.warning("event=epoch_outrun heard={}", epoch)
            self._replica.skip_epochs_to(epoch)

    # ---- the replica

    def now(self) -> float:
        """Milliseconds on the clock that the replica uses."""
        return self._clock.read(self._loop.time() * 1000)

    def _on_stall(self, stall_ms: float, now: float) -> None:
        logger.info("event=stalled ms={:.0f}", stall_ms)
        if self._replica is not None:
            self._replica.on_stall(stall_ms, now)

    def _tick(self) -> None:
        self._ticker = self._loop.call_later(TICK_S, self._tick)
        assert self._replica is not None
        self._keeper.check_health()
        self._replica.tick(self.now())
        self._apply_effects()
        self.tallies.tick(self._other_members(self._replica))
        self._publisher.on_other_leader(self.leader())
        self.contacts.tick(self._replica, self._publisher.latest.members)

    def _on_disk_health(self, is_healthy: bool) -> None:
        if self._replica is not None:
            self._replica.on_disk_health(is_healthy)
            self._apply_effects()

    def _on_message(self, link: Link, message: Any) -> None:
        if self._replica is None:
            return
        if isinstance(message, tallies.Message):
            self._links.identify(link, self._control_endpoint(link.peer))
            self.tallies.on_message(link.peer, message)
            return
        if isinstance(message, updates.MembershipUpdate):
            self.contacts.on_balancers(message.balancers)
        if not isinstance(message, messages.Message):
            self._publisher.on_message(link, message)
            return
        try:
            revived = decode_nested(message)
            if isinstance(revived, messages.InstallView) and revived.view is None:
                raise ValueError("an Install message without a view")
        except (ValueError, KeyError, TypeError) as error:
            logger.warning("event=bad_message peer={} error={!r}", link.peer, str(error))
            link.close()
            return
        self._links.identify(link, self._control_endpoint(link.peer))
        self.contacts.on_control_message(link.peer, revived)
        self._replica.on_message(link.peer, revived, self.now())
        self._apply_effects()

    def _control_endpoint(self, ip: str) -> Endpoint:
        """The endpoint of a machine's control process; a balancer may run on the same machine."""
        return Endpoint(ip, self.settings.control_port)

    def _send(self, ip: str, message: Any) -> None:
        self._links.send(self._control_endpoint(ip), message)

    def _other_members(self, replica: Replica) -> tuple[str, ...] | None:
        """Return the IPs of the other members of the latest known view; None without a view."""
        view = replica.acceptor.latest_view
        if view is None:
            return None
        return tuple(
            member.ip for member in view.members if member is not None and member.ip != replica.me.ip
        )

    def _on_closed(self, link: Link) -> None:
        self._publisher.on_closed(link)

    def _apply_effects(self) -> None:
        """Apply the effects that the replica requests, and those that follow from them."""
        replica = self._replica
        if replica is None or self._is_applying:
            return
        self._is_applying = True
        try:
            while (effects := replica.take_effects()) or self._own_messages:
                for effect in effects:
                    self._apply_or_log(replica, effect)
                while self._own_messages:
                    replica.on_message(replica.me.ip, self._own_messages.popleft(), self.now())
        finally:
            self._is_applying = False

    def _apply_or_log(self, replica: Replica, effect: Effect) -> None:
        """Apply an effect; a lack of memory is logged and the effects after it are still applied.

        This is safe: any message may be lost, and a record that can't be written is reported to the keeper.
        """
        try:
            self._apply(replica, effect)
        except MemoryError:
            logger.error("event=no_memory effect={}", type(effect).__name__)

    def _apply(self, replica: Replica, effect: Effect) -> None:
        match effect:
            case Send(ip, message):
                if ip == replica.me.ip:
                    self._own_messages.append(message)
                else:
                    self._send(ip, message)
            case Persist(record, then):
                self._keeper.append(record, lambda: self._on_synced(then))
            case Reply():
                future = self._pending_commands.get(effect.token)
                if future is not None and not future.done():
                    future.set_result(effect)
            case Committed(_, document):
                if document.ver:
                    self._publisher.on_committed(document)
            case Lead(view, is_continued):
                self._publisher.on_lead(view, is_continued)

    def _on_synced(self, then: tuple[Send, ...]) -> None:
        assert self._replica is not None
        for effect in then:
            self._apply(self._replica, effect)
        self._apply_effects()
