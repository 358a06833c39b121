"""The way of one request through the balancer: the steps of its `Pair` become calls, their ends the next steps."""

from __future__ import annotations

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
from windvane.tiers import FULL_S, MISPLACED_S, Peer
from windvane.wire import Staged, is_ours, is_sound, read_handle

if TYPE_CHECKING:
    from windvane.balancer import Balancer

GRACE_S = 0.25  # past the deadline: so long the upstream's own word is awaited
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
        self._avoid: set[str] = set()
        self._attempt: Attempt | None = None
        self._peer: Peer | None = None  # that the attempt is at
        self._tokens = 0  # booked there
        self._zone = balancer.settings.zone  # where the memory of the prompt is
        after = int(call.after) if call.after is not None and call.after.isdigit() else None
        self._events = EventReader(after)
        self._begun = False  # the head has gone to the client
        self._head: Start | None = None  # that waits for the first event
        self._flow: Flow | None = None
        self._held_up = False  # its client does not read
        self._bad = False  # the attempt was broken by what it brought
        self._finished = False

    def begin(self) -> None:
        """Take the first step."""
        # What tells of no prompt has nothing to be read, and is run by whoever it is sent to, prefill call or not.
        split = self._call.prompt.tokens > 0 and self._balancer.tiers.is_split(self._service)
        self._follow(self._pair.first(split))

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
        self._send(peer, extra, self._call.prompt.tokens, None, self._read_done)

    def _run(self, handle: steps.Handle | None) -> None:
        now = time.monotonic()
        peer = self._balancer.tiers.pick_runner(self._service, self._zone, self._avoid, now)
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
        self._send(peer, extra, 0, self, self._run_done)

    def _common(self) -> bytes:
        """Header lines of every stage: the rank, and the last event that the client has."""
        prio = b"Priority: %d\r\n" % min(self._call.route.prio, 9)
        if self._events.last is None:
            return prio if self._call.after is None else b"%bLast-Event-Id: %b\r\n" % (prio, self._call.after)
        return b"%bLast-Event-Id: %d\r\n" % (prio, self._events.last)

    def _send(self, peer: Peer, extra: bytes, tokens: int, sink: Passage | None, done: Done) -> None:
        now = time.monotonic()
        request = Staged(self._out.head, self._out.body, None, self._ends, self._call.txn, extra)
        self._peer, self._tokens = peer, tokens
        peer.sent(now, tokens)
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

    def _is_wanted(self) -> bool:
        return not self._finished

    def _ended(self, outcome: Outcome, answer: Answer | None) -> Peer:
        """Book the end of the attempt that was out."""
        peer, now = self._peer, time.monotonic()
        assert peer is not None
        self._attempt, self._peer = None, None
        served = outcome is Outcome.SERVED and not self._bad
        peer.ended(now, self._tokens, served)
        if outcome is Outcome.TURNED_AWAY and answer is not None:
            peer.misses = 0
            peer.avoid(now, MISPLACED_S if answer.status == 421 else FULL_S)
            self._avoid.add(peer.entry.id)
        elif outcome in (Outcome.UNREACHED, Outcome.BROKEN, Outcome.TIMED_OUT):
            if outcome is Outcome.UNREACHED:
                peer.unreached(now)
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
        if handle is not None:
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
        self._pair.handle = None  # it was fetched
        self._show_head()
        self._client.more(events)

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
            end = steps.End.BROKEN if outcome is Outcome.SERVED else _end(outcome)
            self._follow(self._pair.run_ended(end))

    def _is_again(self, answer: Answer) -> bool:
        """Statuses that promise what this upstream's answer does not: they are not passed on."""
        return answer.status in (408, 421, 429, 503)

    def _log(self, peer: Peer, what: str, outcome: Outcome, answer: Answer | None) -> None:
        status = answer.status if answer is not None else 0
        name, request = peer.entry.id, self._call.txn.decode("latin-1")
        text = "event={} upstream={} outcome={!r} status={} request={}"
        logger.warning(text, what, name, outcome.value, status, request)


_ENDS = {
    Outcome.TURNED_AWAY: steps.End.REJECTED,
    Outcome.UNREACHED: steps.End.UNSENT,
    Outcome.NOT_SENT: steps.End.UNSENT,
    Outcome.TIMED_OUT: steps.End.LATE,
}


def _end(outcome: Outcome) -> steps.End:
    return _ENDS.get(outcome, steps.End.BROKEN)
