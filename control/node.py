"""One control process on sockets and a disk: hosts the machine, answers operators, tells the news."""

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
from consensus.awake_clock import AwakeClock
from consensus.codec import decode_nested
from consensus.effects import Committed, Effect, Lead, Persist, Reply, Send, Spec, Verdict
from consensus.keeper import FOUNDER_PREFIX, StateStore
from consensus.primary import Command, Get
from consensus.replica import Replica
from consensus.spread import Spread
from consensus.views import Member
from control.operators import CALLS
from control.publisher import Publisher
from control.tally_calls import TALLY_CALLS
from control.tally_keeper import TallyKeeper
from dissemination import messages as news
from tallies import messages as tallies
from transport.calls import Calls, CallServer
from transport.endpoint import Endpoint
from transport.links import Links
from transport.wire import Kinds, Link

TICK_S = 0.03
PROOF_S = 0.5
STAY_SHARE = 0.7  # of the time until we are killed: so long we wait until no view rests on us
FOLLOWED_S = 0.5  # a successor is waited for so long
KINDS = Kinds().include(messages.KINDS).include(news.KINDS).include(tallies.KINDS)


def spec_of(settings: Settings) -> Spec:
    """How many slots and holders there are: what may be lost at once, and one more that has the data.

    Where whole zones or regions may be lost, each of them costs one slot at the least.
    """
    faults = settings.faults
    lost = max(faults.nodes, faults.zones, faults.regions)
    spread = Spread(faults.zones, faults.regions, settings.zones)
    return Spec(slots=2 * lost + 1, holders=lost + 1, spread=spread)


class ControlNode:
    """Hosts one `Replica`."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.reader = ConfigurationReader()
        self._loop = asyncio.get_running_loop()
        assert settings.data_dir is not None
        self._keeper = StateStore(settings.data_dir, self._disk)
        self._replica: Replica | None = None
        self._clock = AwakeClock(self._stalled)
        own = Endpoint(settings.ip, settings.control_port)
        self._links = Links(KINDS, own, self._heard, self._ended, callers_share_port=False)
        self._publisher = Publisher(settings, self._links, self._prove, self._outrun)
        copies, ready_ms = spec_of(settings).holders, settings.bounds.merge_ms
        self.tallies = TallyKeeper(settings.data_dir, copies, ready_ms, self.now, self._send)
        self._calls = CallServer(Calls().include(CALLS).include(TALLY_CALLS), self)
        self._loading: asyncio.Task[None] | None = None  # of the tallies
        self._local: deque[messages.Message] = deque()
        self._tokens, self._owed = 0, dict[int, asyncio.Future[Reply]]()
        self._running = False
        self._ticker: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Load what is kept, listen and take part; raises OSError where an address can't be had."""
        settings = self.settings
        ctl = settings.listen.ctl or ""
        is_first = settings.bootstrap and bool(settings.seed_addrs) and min(settings.seed_addrs) == ctl
        durable_state = await self._keeper.load(is_first)
        me = Member(
            durable_state.identity, settings.node, settings.ip, settings.control_port, ctl, settings.zone
        )
        founder = durable_state.identity.startswith(FOUNDER_PREFIX)
        self._replica = Replica(
            me, durable_state, spec_of(settings), settings.seed_ips, founder, secrets.randbits(32)
        )
        self._replica.start(self.now())
        await self._links.start()
        self._loading = self._loop.create_task(self.tallies.load())
        if ctl:
            await self._calls.start(parse_address(ctl))
        self._publisher.start()
        self._tick()

    async def stop(self) -> None:
        """Wait until nothing rests on us any more, name a successor if that took too long, and end."""
        replica = self._replica
        if replica is not None:
            replica.stop(self.now())
            self._carry_out()
            await self._until(replica.may_end, self.settings.bounds.grace_s * STAY_SHARE)
            replica.resign(self.now())
            self._carry_out()
            await self._until(lambda: self._is_followed(replica), FOLLOWED_S)
            self._publisher.led_by(self.leader())  # whoever hears the news from us goes there at once
        if self._ticker is not None:
            self._ticker.cancel()
        self._publisher.stop()
        self._calls.stop()
        self._links.stop()

    async def _until(self, is_so: Callable[[], bool], most_s: float) -> None:
        """Wait until something is so, at most so long."""
        until = self._loop.time() + most_s
        while self._loop.time() < until and not is_so():
            await asyncio.sleep(TICK_S)

    def _is_followed(self, replica: Replica) -> bool:
        leader = replica.leader()
        return (
            leader is not None
            and leader.identity != replica.me.identity
            and replica.has_live_leader(self.now())
        )

    def reconfigure(self, settings: Settings) -> None:
        """The settings file has changed."""
        self.settings = settings
        self._publisher.reconfigure(settings)
        if self._replica is not None:
            self._replica.set_seeds(settings.seed_ips)

    # ---- what operators' calls need

    def leads(self) -> bool:
        """Whether we are the primary."""
        return self._replica is not None and self._replica.primary is not None

    def leader(self) -> Member | None:
        """Another that is the primary, as far as we know, and was heard of a moment ago."""
        replica = self._replica
        if replica is None:
            return None
        leader = replica.live_leader(self.now())
        return None if leader is None or leader.identity == replica.me.identity else leader

    def parts(self) -> tuple[Replica | None, Publisher, StateStore]:
        """What a report of this process is read off."""
        return self._replica, self._publisher, self._keeper

    def token(self) -> int:
        """A number for a command."""
        self._tokens += 1
        return self._tokens

    async def submit(self, command: Command) -> Reply:
        """Carry out a command as the primary."""
        assert self._replica is not None
        future: asyncio.Future[Reply] = self._loop.create_future()
        self._owed[command.token] = future
        try:
            self._replica.submit(command, self.now())
            self._carry_out()
            return await future
        finally:
            self._owed.pop(command.token, None)

    async def _prove(self) -> int:
        """Our epoch once it is sure that nobody had taken our place when we asked, else 0."""
        replica = self._replica
        if replica is None or replica.primary is None:
            return 0
        epoch = replica.primary.view.epoch
        try:
            async with asyncio.timeout(PROOF_S):
                reply = await self.submit(Get(self.token()))
        except TimeoutError:
            return 0
        still = replica.primary is not None and replica.primary.view.epoch == epoch
        return epoch if reply.verdict is Verdict.DONE and still else 0

    def _outrun(self, epoch: int) -> None:
        """Somebody believes no leader of this epoch or an earlier one."""
        if self._replica is not None:
            logger.warning("event=epoch_outrun heard={}", epoch)
            self._replica.skip_epochs_to(epoch)

    # ---- the machine

    def now(self) -> float:
        """Milliseconds by the clock that the replica's times are of."""
        return self._clock.read(self._loop.time() * 1000)

    def _stalled(self, stall_ms: float, now: float) -> None:
        logger.info("event=stalled ms={:.0f}", stall_ms)
        if self._replica is not None:
            self._replica.on_stall(stall_ms, now)

    def _tick(self) -> None:
        self._ticker = self._loop.call_later(TICK_S, self._tick)
        assert self._replica is not None
        self._keeper.check_health()
        self._replica.tick(self.now())
        self._carry_out()
        self.tallies.tick(self._other_members(self._replica))
        self._publisher.led_by(self.leader())

    def _disk(self, well: bool) -> None:
        if self._replica is not None:
            self._replica.on_disk_health(well)
            self._carry_out()

    def _heard(self, link: Link, message: Any) -> None:
        if self._replica is None:
            return
        if isinstance(message, tallies.Message):
            self._links.identify(link, self._control_at(link.peer))
            self.tallies.heard(link.peer, message)
            return
        if not isinstance(message, messages.Message):
            self._publisher.heard(link, message)
            return
        try:
            revived = decode_nested(message)
            if isinstance(revived, messages.Install) and revived.view is None:
                raise ValueError("there is no view to install")
        except (ValueError, KeyError, TypeError) as error:
            logger.warning("event=bad_message peer={} error={!r}", link.peer, str(error))
            link.close()
            return
        self._links.identify(link, self._control_at(link.peer))
        self._replica.on_message(link.peer, revived, self.now())
        self._carry_out()

    def _control_at(self, ip: str) -> Endpoint:
        """The control process of a machine, which may have a balancer beside it."""
        return Endpoint(ip, self.settings.control_port)

    def _send(self, ip: str, message: Any) -> None:
        self._links.send(self._control_at(ip), message)

    def _other_members(self, replica: Replica) -> tuple[str, ...] | None:
        """The IPs of the other members of the latest view that was heard of; None without one."""
        view = replica.acceptor.latest_view
        if view is None:
            return None
        return tuple(m.ip for m in view.members if m is not None and m.ip != replica.me.ip)

    def _ended(self, link: Link) -> None:
        self._publisher.ended(link)

    def _carry_out(self) -> None:
        """Do what the machine asks for, also what that leads to at once."""
        replica = self._replica
        if replica is None or self._running:
            return
        self._running = True
        try:
            while (effects := replica.take_effects()) or self._local:
                for effect in effects:
                    self._do_in_turn(replica, effect)
                while self._local:
                    replica.on_message(replica.me.ip, self._local.popleft(), self.now())
        finally:
            self._running = False

    def _do_in_turn(self, replica: Replica, effect: Effect) -> None:
        """Do it; where that fails, for want of memory, what comes after it is done all the same.

        A message may be lost at any time, and a record that can't be kept is told to the keeper.
        """
        try:
            self._do(replica, effect)
        except MemoryError:
            logger.error("event=no_memory effect={}", type(effect).__name__)

    def _do(self, replica: Replica, effect: Effect) -> None:
        match effect:
            case Send(ip, message):
                if ip == replica.me.ip:
                    self._local.append(message)
                else:
                    self._send(ip, message)
            case Persist(record, then):
                self._keeper.append(record, lambda: self._synced(then))
            case Reply():
                future = self._owed.get(effect.token)
                if future is not None and not future.done():
                    future.set_result(effect)
            case Committed(_, document):
                if document.ver:
                    self._publisher.committed(document)
            case Lead(view, goes_on):
                self._publisher.lead(view, goes_on)

    def _synced(self, then: tuple[Send, ...]) -> None:
        assert self._replica is not None
        for effect in then:
            self._do(self._replica, effect)
        self._carry_out()
