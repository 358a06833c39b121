"""The way of one request through the balancer: its `Pair`'s steps become calls, their ends the next steps."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from balancer import pair as steps
from balancer.context import RequestContext
from balancer.ingress import RoutedCall
from balancer.peer import Peer
from balancer.relay import Relay
from balancer.request_counters import Refusal
from balancer.tiers import DECODE, ITSELF, PREFILL
from balancer.upstream_call import UpstreamCall
from balancer.wire import Staged, is_sound, read_handle
from config.configuration import Route
from passpost.attempt import UpstreamRequest
from passpost.http1 import Response
from umberworks.interface import Outcome

if TYPE_CHECKING:
    from passpost.engine import Client

PROMISES = (408, 421, 429, 503)  # statuses that promise what an error which ran does not: not passed on
RUN_LEFT = 1.6  # times its patience after which a run that may be repeated is left
QUEUED_S = 0.25  # a prefill upstream's queue that is no shorter may make a decode upstream read by itself
WAIT_MOST, WAIT_RANK, WAIT_LEAST = 1.2, 0.2, 0.5  # of the aim that may pass before a prompt is begun, by rank
AGAIN_MS = 200.0  # a refused client may come back after this
EMPTY_AGAIN_MS = 400.0  # the same where no upstream is there


class ActiveRequest:
    """One request from its last byte to its answer."""

    def __init__(
        self,
        context: RequestContext,
        number: int,
        call: RoutedCall,
        service: str,
        ends: float,
        out: UpstreamRequest,
        client: Client,
    ) -> None:
        """`ends`: when the client stops waiting, in seconds on the steady clock."""
        self._context, self._number, self._call, self._service = context, number, call, service
        self._out, self._client, self._ends = out, client, ends
        route = call.route
        budget = context.budget(service)
        self._pair = steps.Pair(route.tries, route.is_idempotent(), route.resumable, budget)
        self._run_rank = context.urgency.of_run(route, call.prompt.tokens)
        self._upstream_call = UpstreamCall(context, self.wants, self._may_leave)
        self._zone = context.settings.zone  # where the memory of the prompt is
        after = int(call.after) if call.after is not None and call.after.isdigit() else None
        self._relay = Relay(self, client, after)
        self._fetching: steps.Handle | None = None  # by the run that is out
        self._taken_at = time.monotonic()
        self._was_read = False  # an upstream was sent the prompt to read
        self._finished = False

    def begin(self) -> None:
        """Take the first step."""
        # What tells of no prompt is run by whoever it is sent to, prefill call or not.
        tokens, tiers = self._call.prompt.tokens, self._context.tiers
        split = tokens > 0 and tiers.is_split(self._service)
        if split:
            now = time.monotonic()
            reading, itself = tiers.reading(self._service, now), tiers.reading_itself(self._service, now)
            if min(reading, itself) > _bearable(self._call.route):
                self._follow(steps.Refuse(), Refusal.QUEUES)
                return
            prompt = self._call.prompt
            apart = tiers.cost(self._service, PREFILL, prompt, now)
            split = reading < QUEUED_S or apart < tiers.cost(self._service, DECODE, prompt, now) * ITSELF
        self._follow(self._pair.first(split))

    def left(self) -> None:
        """The client has gone: nobody needs what is under way."""
        if not self._finished:
            self._finish()
            self._upstream_call.cancel()
            self._free()

    def _finish(self) -> None:
        self._finished = True
        self._context.ended(self._number)

    def _free(self) -> None:
        """Free memory that was read for this request and is not fetched."""
        handle, self._pair.handle = self._pair.handle, None
        if handle is not None:
            self._context.free(handle)

    # ---- steps

    def _follow(self, step: steps.Step, why: Refusal = Refusal.TURNED_AWAY) -> None:
        """Take a step; `why` it is refused, if it is."""
        match step:
            case steps.Read() | steps.Run() if time.monotonic() >= self._ends:
                self._follow(self._pair.expired(step), Refusal.LATE)
            case steps.Read():
                self._read()
            case steps.Run(handle):
                self._run(handle)
            case steps.Refuse():
                self._finish()
                self._free()
                self._context.counters.refused(why)
                wait = AGAIN_MS if self._context.tiers.has_any() else EMPTY_AGAIN_MS
                self._client.refuse(wait)
            case steps.Fail(status):
                self._finish()
                self._free()
                self._client.fail(status)
            case steps.BreakOff():
                self._finish()
                self._free()
                self._client.abort()

    def _read(self) -> None:
        now = time.monotonic()
        peer = self._context.tiers.pick_reader(
            self._service, self._call.prompt, self._upstream_call.avoid, now
        )
        if peer is None:
            self._follow(self._pair.no_reader(), self._none_left())
            return
        missing = self._to_read(peer)
        rank = self._context.urgency.of_reading(self._call.route, missing)
        extra = b"Mastturn-Target-Upstream: %b\r\nMastturn-Stage: prefill\r\n%b" % (
            peer.home,
            self._common(rank),
        )
        self._upstream_call.send(
            peer, self._request(extra, self._pair.has_broken), missing, None, self._read_done
        )

    def _run(self, handle: steps.Handle | None) -> None:
        now = time.monotonic()
        prompt = self._call.prompt if handle is None else None
        avoid, repeatable = self._upstream_call.avoid, self._call.route.is_idempotent()
        peer = self._context.tiers.pick_runner(self._service, prompt, self._zone, avoid, now, repeatable)
        if peer is None:
            self._follow(self._pair.no_runner(), self._none_left())
            return
        kv = (
            b"Kv-From: %b/%b\r\n" % (handle.address.encode(), handle.ref.encode())
            if handle is not None
            else b""
        )
        tokens = 0 if prompt is None else self._to_read(peer)
        urgency, route = self._context.urgency, self._call.route
        rank = urgency.of_reading(route, tokens) if tokens else self._run_rank
        extra = b"Mastturn-Target-Upstream: %b\r\n%b%b" % (peer.home, kv, self._common(rank))
        self._relay.begin_anew()
        self._fetching = handle
        request = self._request(extra, self._pair.has_broken or not repeatable)
        self._upstream_call.send(peer, request, tokens, self._relay, self._run_done)

    def _none_left(self) -> Refusal:
        return Refusal.TURNED_AWAY if self._upstream_call.avoid else Refusal.NO_UPSTREAM

    def _to_read(self, peer: Peer) -> int:
        """The tokens that an upstream has to read for it, counted."""
        prompt, context = self._call.prompt, self._context
        tokens = context.tiers.missing(peer, prompt)
        context.counters.reads(tokens, self._was_read)
        if prompt.shared and tokens == prompt.tokens and context.tiers.kept.holders(prompt.subject):
            context.counters.shared_again += prompt.shared
        self._was_read = True
        return tokens

    def _common(self, rank: int) -> bytes:
        """Header lines of every stage: the rank, and the last event that the client has."""
        prio = b"Priority: %d\r\n" % rank
        last = self._relay.last
        if last is None:
            return prio if self._call.after is None else b"%bLast-Event-Id: %b\r\n" % (prio, self._call.after)
        return b"%bLast-Event-Id: %d\r\n" % (prio, last)

    def _request(self, extra: bytes, is_careful: bool) -> Staged:
        return Staged(
            self._out.head, self._out.body, None, self._ends, self._call.request_id, extra, is_careful
        )

    def _may_leave(self, quiet: float, most: float) -> bool:
        return quiet >= RUN_LEFT * most and self._pair.may_repeat()

    # ---- prefill

    def _read_done(self, outcome: Outcome, answer: Response | None) -> None:
        peer = self._upstream_call.ended(outcome, answer, good=True)
        if outcome is not Outcome.SERVED and not self._finished:
            _log(peer, "read_ended", outcome, answer, self._call)
        told = read_handle(answer.body) if outcome is Outcome.SERVED and answer is not None else None
        handle = None
        if told is not None:
            handle = steps.Handle(peer.entry.id, peer.entry.addr, told[0], time.monotonic())
        if self._finished:
            if handle is not None:
                self._context.free(handle)
            return
        if handle is None:
            self._upstream_call.avoid.add(peer.entry.id)
        else:
            peer.read(self._upstream_call.age(), self._upstream_call.booked)
            self._context.kept(peer, self._call.prompt)
            self._zone = peer.entry.zone
            self._upstream_call.avoid.clear()
        end = steps.End.TAKEN if handle else _end(outcome)
        why = Refusal.LATE if end is steps.End.LATE else Refusal.TURNED_AWAY
        self._follow(self._pair.read_ended(end, handle), why)

    # ---- the run, and its answer as it comes

    def wants(self) -> bool:
        """Whether its client still waits."""
        return not self._finished

    def heard(self) -> None:
        """Something has come from the upstream."""
        if self._upstream_call.peer is not None:
            self._upstream_call.peer.heard(time.monotonic())

    def spoilt(self) -> None:
        """The stream is broken: nothing more of this upstream is wanted."""
        peer = self._upstream_call.peer
        name = peer.entry.id if peer is not None else ""
        logger.warning(
            "event=bad_stream upstream={} request={}", name, self._call.request_id.decode("latin-1")
        )
        self._upstream_call.cancel()

    def passes(self) -> None:
        """Events, or pieces of another answer, go to the client now."""
        self._pair.begin_answer(self._relay.is_stream)
        if self._fetching is not None:
            self._fetched(True)
        else:
            self._upstream_call.prompt_is_read()
        if not self._relay.begun:
            self._context.counters.first_event(time.monotonic() - self._taken_at)
        if not self._relay.begun and self._upstream_call.peer is not None:
            self._context.kept(self._upstream_call.peer, self._call.prompt)

    def _fetched(self, well: bool) -> None:
        handle, self._fetching = self._fetching, None
        holder = self._context.tiers.peer(handle.holder) if handle is not None else None
        if holder is not None:
            holder.fetched(time.monotonic(), well)
        if well:
            self._pair.handle = None  # there is nothing to be freed

    def _run_done(self, outcome: Outcome, answer: Response | None) -> None:
        relay = self._relay
        passing = relay.is_streaming()
        if passing and outcome is Outcome.SERVED and not relay.is_whole():
            relay.bad = True  # it ends in the middle of an event
        peer = self._upstream_call.ended(outcome, answer, not relay.bad)
        if self._finished:
            return
        if relay.bad or self._upstream_call.left:
            outcome = Outcome.BROKEN
        if outcome is Outcome.SERVED and passing:
            relay.show_head()
            self._finish()
            self._free()
            self._client.complete()
        elif (
            outcome is Outcome.SERVED and answer is not None and is_sound(answer.headers) and not relay.begun
        ):
            self._finish()
            self._client.send_response(answer)
        elif (
            outcome is Outcome.ERROR
            and answer is not None
            and not relay.begun
            and answer.status not in PROMISES
        ):
            self._finish()
            self._free()
            self._client.send_response(answer)
        else:
            _log(peer, "run_ended", outcome, answer, self._call)
            if outcome is Outcome.TURNED_AWAY and self._fetching is not None:
                self._fetched(False)
            end = steps.End.BROKEN if outcome is Outcome.SERVED else _end(outcome)
            self._follow(self._pair.run_ended(end))


_ENDS = {
    Outcome.TURNED_AWAY: steps.End.REJECTED,
    Outcome.UNREACHED: steps.End.UNSENT,
    Outcome.NOT_SENT: steps.End.UNSENT,
    Outcome.TIMED_OUT: steps.End.LATE,
}


def _end(outcome: Outcome) -> steps.End:
    return _ENDS.get(outcome, steps.End.BROKEN)


def _bearable(route: Route) -> float:
    """How long it may take until a prompt is begun, in seconds; the urgent wait where others do not."""
    aim = route.target_ms or route.deadline_ms / 2
    return aim / 1000 * max(WAIT_MOST - WAIT_RANK * route.prio, WAIT_LEAST)


def _log(peer: Peer, what: str, outcome: Outcome, answer: Response | None, call: RoutedCall) -> None:
    status = answer.status if answer is not None else 0
    text = "event={} upstream={} outcome={!r} status={} request={}"
    logger.debug(text, what, peer.entry.id, outcome.value, status, call.request_id.decode("latin-1"))
