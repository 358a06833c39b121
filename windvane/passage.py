"""The way of one request through the balancer: its `Pair`'s steps become calls, their ends the next steps."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from passpost.engine import Client
from passpost.http1 import Answer, Flow, Start
from passpost.upstream import Attempt, Done, Outgoing
from umberworks.interface import Outcome
from windvane import pair as steps
from windvane.ingress import RoutedCall
from windvane.streams import BadStreamError, EventReader
from windvane.tiers import DECODE, FULL_S, ITSELF, LEAST_TOKENS, MISPLACED_S, PACE_S, PREFILL, Peer
from windvane.wire import Staged, is_ours, is_sound, read_handle

if TYPE_CHECKING:
    from windvane.balancer import Balancer

GRACE_S = 0.25  # past the deadline: so long the upstream's own word is awaited
READ_PATIENCE_S, READ_PATIENCE = 0.6, 3.0  # reading may take so long, and so many times what we expect
READ_PATIENCE_MOST_S = 2.0
RUN_PATIENCE_S = 0.6  # a run may pause so long
RUN_LEFT = 1.6  # times its patience after which a run that may be repeated is left
STOPPED_S = 0.2  # a timer that fires so late shows that this process stood still
QUEUED_S = 0.25  # a prefill upstream's queue that is no shorter may make a decode upstream read by itself
WAIT_MOST, WAIT_RANK, WAIT_LEAST = 1.2, 0.2, 0.5  # of the aim that may pass before a prompt is begun, by rank
AGAIN_MS = 200.0  # a refused client may come back after this
EMPTY_AGAIN_MS = 400.0  # the same where no upstream is there


class Passage:
    """One request from its last byte to its answer."""

    def __init__(
        self,
        balancer: Balancer,
        number: int,
        call: RoutedCall,
        service: str,
        ends: float,
        out: Outgoing,
        client: Client,
    ) -> None:
        """`ends`: when the client stops waiting, in seconds on the steady clock."""
        self._balancer, self._number, self._call, self._service = balancer, number, call, service
        self._out, self._client, self._ends = out, client, ends
        route = call.route
        purse = balancer.purse(service)
        self._pair = steps.Pair(route.tries, route.is_idempotent(), route.resumable, purse)
        self._priority = balancer.priority(route, call.prompt.tokens)
        self._avoid: set[str] = set()
        self._attempt: Attempt | None = None
        self._peer: Peer | None = None  # that the attempt is at
        self._tokens = 0  # booked there
        self._reads = False  # it is a prefill call
        self._booked = 0  # all that was booked there once it was
        self._zone = balancer.settings.zone  # where the memory of the prompt is
        after = int(call.after) if call.after is not None and call.after.isdigit() else None
        self._events = EventReader(after)
        self._begun = False  # the head has gone to the client
        self._head: Start | None = None  # that waits for the first event
        self._flow: Flow | None = None
        self._sent = 0.0  # when the attempt was made
        self._watch: asyncio.TimerHandle | None = None
        self._held_up = False  # its client does not read
        self._fetching: steps.Handle | None = None  # by the run that is out
        self._bad = False  # the attempt was broken by what it brought
        self._finished = False

    def begin(self) -> None:
        """Take the first step."""
        # What tells of no prompt is run by whoever it is sent to, prefill call or not.
        tokens, tiers = self._call.prompt.tokens, self._balancer.tiers
        split = tokens > 0 and tiers.is_split(self._service)
        if split:
            now = time.monotonic()
            reading, itself = tiers.reading(self._service, now), tiers.reading_itself(self._service, now)
            if min(reading, itself) > self._bearable():
                self._follow(steps.Refuse())
                return
            prompt = self._call.prompt
            apart = tiers.cost(self._service, PREFILL, prompt, now)
            split = reading < QUEUED_S or apart < tiers.cost(self._service, DECODE, prompt, now) * ITSELF
        self._follow(self._pair.first(split))

    def _bearable(self) -> float:
        """How long it may take until the prompt is begun, in seconds; the urgent wait where others do not."""
        route = self._call.route
        aim = route.target_ms or route.deadline_ms / 2
        return aim / 1000 * max(WAIT_MOST - WAIT_RANK * route.prio, WAIT_LEAST)

    def left(self) -> None:
        """The client has gone: nobody needs what is under way."""
        if not self._finished:
            self._finish()
            if self._attempt is not None:
                self._attempt.cancel()
            self._free()

    def _finish(self) -> None:
        self._finished = True
        self._balancer.ended(self._number)

    def _free(self) -> None:
        """Free memory that was read for this request and is not fetched."""
        handle, self._pair.handle = self._pair.handle, None
        if handle is not None:
            self._balancer.free(handle)

    # ---- steps

    def _follow(self, step: steps.Step) -> None:
        match step:
            case steps.Read() | steps.Run() if time.monotonic() >= self._ends:
                self._follow(self._pair.expired(step))
            case steps.Read():
                self._read()
            case steps.Run(handle):
                self._run(handle)
            case steps.Refuse():
                self._finish()
                self._free()
                wait = AGAIN_MS if self._balancer.tiers.has_any() else EMPTY_AGAIN_MS
                self._client.refuse(wait)
            case steps.Fail(status):
                self._finish()
                self._free()
                self._client.fail(status)
            case steps.BreakOff():
                self._finish()
                self._free()
                self._client.break_off()

    def _read(self) -> None:
        now = time.monotonic()
        peer = self._balancer.tiers.pick_reader(self._service, self._call.prompt, self._avoid, now)
        if peer is None:
            self._follow(self._pair.no_reader())
            return
        extra = b"Mastturn-Target-Upstream: %b\r\nMastturn-Stage: prefill\r\n%b" % (peer.home, self._common())
        self._bad = False
        self._reads = True
        self._send(peer, extra, peer.missing(self._call.prompt), None, self._read_done)

    def _run(self, handle: steps.Handle | None) -> None:
        now = time.monotonic()
        prompt = self._call.prompt if handle is None else None
        peer = self._balancer.tiers.pick_runner(self._service, prompt, self._zone, self._avoid, now)
        if peer is None:
            self._follow(self._pair.no_runner())
            return
        kv = (
            b"Kv-From: %b/%b\r\n" % (handle.address.encode(), handle.ref.encode())
            if handle is not None
            else b""
        )
        extra = b"Mastturn-Target-Upstream: %b\r\n%b%b" % (peer.home, kv, self._common())
        self._bad, self._head, self._flow = False, None, None
        self._events.begin_anew()
        self._fetching, self._reads = handle, False
        self._send(peer, extra, 0 if prompt is None else peer.missing(prompt), self, self._run_done)

    def _common(self) -> bytes:
        """Header lines of every stage: the rank, and the last event that the client has."""
        prio = b"Priority: %d\r\n" % self._priority
        if self._events.last is None:
            return prio if self._call.after is None else b"%bLast-Event-Id: %b\r\n" % (prio, self._call.after)
        return b"%bLast-Event-Id: %d\r\n" % (prio, self._events.last)

    def _send(self, peer: Peer, extra: bytes, tokens: int, sink: Passage | None, done: Done) -> None:
        now = time.monotonic()
        request = Staged(self._out.head, self._out.body, None, self._ends, self._call.txn, extra)
        self._peer, self._tokens, self._sent = peer, tokens, now
        peer.sent(now, tokens)
        self._booked = self._balancer.tiers.outstanding(peer)
        self._balancer.load_changed()
        timeout = max(self._ends - now, 0.0) + GRACE_S
        attempt = self._balancer.upstreams.send(
            peer.entry.id,
            request,
            timeout,
            done,
            sink=sink,
            wanted=self._is_wanted,
            write_within=timeout - GRACE_S,
        )
        if not attempt.is_over():
            self._attempt = attempt
            self._look_in(self._patience())

    def _is_wanted(self) -> bool:
        return not self._finished

    # ---- silence

    def _look_in(self, after: float) -> None:
        loop = asyncio.get_running_loop()
        self._watch = loop.call_later(after, self._look, loop.time() + after)

    def _patience(self) -> float:
        """How long our upstream may say nothing to us, in seconds, before it counts as silent."""
        peer = self._peer
        assert peer is not None
        if not self._tokens:
            return RUN_PATIENCE_S
        # Nothing comes before all is read; what came later but is more urgent may be read first.
        tokens = max(self._booked, self._balancer.tiers.outstanding(peer), LEAST_TOKENS)
        pace = max(peer.pace, PACE_S) if self._reads else PACE_S * ITSELF
        return READ_PATIENCE_S + min(READ_PATIENCE * pace * tokens, READ_PATIENCE_MOST_S)

    def _look(self, due: float) -> None:
        """See whether the upstream of our attempt is silent; what may be sent again moves on then."""
        self._watch = None
        peer, attempt = self._peer, self._attempt
        if self._finished or peer is None or attempt is None:
            return
        loop = asyncio.get_running_loop()
        patience = self._patience()
        if loop.time() - due > STOPPED_S:  # we stood still: what has come lies unread
            self._look_in(patience)
            return
        now = time.monotonic()
        quiet = now - max(self._sent, peer.heard_at)
        if quiet < patience:
            self._look_in(max(patience - quiet, 0.01))
            return
        self._balancer.silent(peer)
        if self._reads or (quiet >= RUN_LEFT * patience and self._pair.may_repeat()):
            self._bad = True
            attempt.cancel()
        else:
            self._look_in(patience)

    def _ended(self, outcome: Outcome, answer: Answer | None) -> Peer:
        """Book the end of the attempt that was out."""
        peer, now = self._peer, time.monotonic()
        assert peer is not None
        self._attempt, self._peer = None, None
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if answer is not None:
            peer.heard(now)
        served = outcome is Outcome.SERVED and not self._bad
        peer.ended(now, self._tokens, served)
        self._balancer.load_changed()
        if outcome is Outcome.TURNED_AWAY and answer is not None:
            peer.avoid(now, MISPLACED_S if answer.status == 421 else FULL_S)
            self._avoid.add(peer.entry.id)
        elif outcome in (Outcome.UNREACHED, Outcome.BROKEN, Outcome.TIMED_OUT):
            if outcome is Outcome.UNREACHED:
                self._balancer.silent(peer)
            self._avoid.add(peer.entry.id)
        return peer

    # ---- prefill

    def _read_done(self, outcome: Outcome, answer: Answer | None) -> None:
        peer = self._ended(outcome, answer)
        if outcome is not Outcome.SERVED and not self._finished:
            self._log(peer, "read_ended", outcome, answer)
        told = read_handle(answer.body) if outcome is Outcome.SERVED and answer is not None else None
        handle = None
        if told is not None:
            handle = steps.Handle(peer.entry.id, peer.entry.addr, told[0], time.monotonic())
        if self._finished:
            if handle is not None:
                self._balancer.free(handle)
            return
        if handle is None:
            self._avoid.add(peer.entry.id)
        else:
            peer.read(time.monotonic() - self._sent, self._booked)
            self._balancer.kept(peer, self._call.prompt)
            self._zone = peer.entry.zone
            self._avoid.clear()
        self._follow(self._pair.read_ended(steps.End.TAKEN if handle else _end(outcome), handle))

    # ---- the run, and its answer as it comes

    def start(self, start: Start, flow: Flow) -> bool:
        """A stream begins; False if it is not ours or not sound."""
        if self._finished:
            return False
        self._bad = not (is_ours(start.status, start.headers, self._call.txn) and is_sound(start.headers))
        if self._bad:
            return False
        self._head, self._flow = start, flow
        if self._held_up:
            flow.pause()
        return True

    def more(self, data: bytes) -> None:
        """A piece of the stream; only whole events that go on where the last one ended reach the client."""
        if self._finished:
            return
        if self._peer is not None:
            self._peer.heard(time.monotonic())
        try:
            events = self._events.feed(data)
        except BadStreamError as error:
            self._pass_on(error.good)
            logger.warning(
                "event=bad_stream upstream={} request={}", self._peer_id(), self._call.txn.decode()
            )
            self._bad = True
            if self._attempt is not None:
                self._attempt.cancel()
            return
        self._pass_on(events)

    def _peer_id(self) -> str:
        return self._peer.entry.id if self._peer is not None else ""

    def _pass_on(self, events: bytes) -> None:
        if not events:
            return
        if self._fetching is not None:
            self._fetched(True)
        elif self._tokens and self._peer is not None:  # it has read the prompt itself
            self._peer.tokens -= self._tokens
            self._tokens = 0
        if not self._begun and self._peer is not None:
            self._balancer.kept(self._peer, self._call.prompt)
        self._show_head()
        self._client.more(events)

    def _fetched(self, well: bool) -> None:
        handle, self._fetching = self._fetching, None
        holder = self._balancer.tiers.peer(handle.holder) if handle is not None else None
        if holder is not None:
            holder.fetched(time.monotonic(), well)
        if well:
            self._pair.handle = None  # there is nothing to be freed

    def _show_head(self) -> None:
        if self._begun or self._head is None or self._flow is None:
            return
        self._begun = self._pair.started = True
        # The length of one run says nothing of an answer that another may go on with.
        self._client.begin(Start(self._head.headers, None, self._head.status), self)

    def pause(self) -> None:
        """The client is behind: whichever upstream streams now has to wait."""
        self._held_up = True
        if self._flow is not None:
            self._flow.pause()

    def resume(self) -> None:
        """The client reads on."""
        self._held_up = False
        if self._flow is not None:
            self._flow.resume()

    def _run_done(self, outcome: Outcome, answer: Answer | None) -> None:
        passing = self._head is not None
        if passing and outcome is Outcome.SERVED and not self._events.is_between():
            self._bad = True  # it ends in the middle of an event
        peer = self._ended(outcome, answer)
        if self._finished:
            return
        if self._bad:
            outcome = Outcome.BROKEN
        if outcome is Outcome.SERVED and passing:
            self._show_head()
            self._finish()
            self._free()
            self._client.complete()
        elif (
            outcome is Outcome.SERVED and answer is not None and is_sound(answer.headers) and not self._begun
        ):
            self._finish()
            self._client.serve(answer)
        elif (
            outcome is Outcome.ERROR and answer is not None and not self._begun and not self._is_again(answer)
        ):
            self._finish()
            self._free()
            self._client.serve(answer)
        else:
            self._log(peer, "run_ended", outcome, answer)
            if outcome is Outcome.TURNED_AWAY and self._fetching is not None:
                self._fetched(False)
            end = steps.End.BROKEN if outcome is Outcome.SERVED else _end(outcome)
            self._follow(self._pair.run_ended(end))

    def _is_again(self, answer: Answer) -> bool:
        """Statuses that promise what this upstream's answer does not: they are not passed on."""
        return answer.status in (408, 421, 429, 503)

    def _log(self, peer: Peer, what: str, outcome: Outcome, answer: Answer | None) -> None:
        status = answer.status if answer is not None else 0
        name, request = peer.entry.id, self._call.txn.decode("latin-1")
        text = "event={} upstream={} outcome={!r} status={} request={}"
        logger.debug(text, what, name, outcome.value, status, request)


_ENDS = {
    Outcome.TURNED_AWAY: steps.End.REJECTED,
    Outcome.UNREACHED: steps.End.UNSENT,
    Outcome.NOT_SENT: steps.End.UNSENT,
    Outcome.TIMED_OUT: steps.End.LATE,
}


def _end(outcome: Outcome) -> steps.End:
    return _ENDS.get(outcome, steps.End.BROKEN)
