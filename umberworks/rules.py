"""All decisions of the load balancer; its types, events and actions are in umberworks/interface.py.

The path of a request: `_on_arrival` queues it, `_dispatch` sends it while the concurrency limit (room.py)
allows, `_try_send` selects a server (choice.py), `_on_ended` records each outcome and may retry.
"""

from __future__ import annotations

import math
import random
from heapq import heapify, heappop, heappush

from umberworks import interface as face
from umberworks.choice import ServerSelector
from umberworks.interface import Effect, ListKind, Outcome, RepeatGroup
from umberworks.members import MEMORY_MS, HeldSlots, Members, Server, evidence
from umberworks.requests import Attempt, Request
from umberworks.room import ConcurrencyLimit
from umberworks.shares import TenantShares
from umberworks.silence import PROBE_THRESHOLD_BESIDE, SilenceDetector
from umberworks.tries import RetryDetector

LOAD_FREE, LOAD_FULL = 0.3, 0.55  # mean service time, in aims, from which some, from which all are refused
LOAD_OVER_SHARE = 0.2  # a tenant over its share is refused from a mean service time lower by this
MIN_ADMITTED = 0.05  # share admitted in any case, so that the end of an overload shows
QUEUE_SLACK = 64  # entries beyond the open requests at which the queue is purged of answered requests
WAIT_SHARE = 0.1  # share of its aim for which a request may wait in the queue before it is refused
RETRY_AFTER_SHARE = 0.25  # share of its aim as retry-after: load changes soon, and the client's aim runs on
# Clients that find every connection busy leave for good, even if no other balancer is there. A refused client
# has its connection back at once, but several may arrive before that. Keeping connections free guards any
# drain under load. It does harm where clients do not share their connections, as a free one is then of no use
# to the others: with few requests open, none is kept free.
MAX_FREE, FREE_EVERY = 6, 3  # connections kept free in a drain; open requests for each of them
RETRY_SHARE = 0.2  # retries allowed per first attempt, so that a failing fleet is not flooded
RETRY_BURST = 10.0  # most retries that may be saved up
CHECK_INTERVAL_CALLS = 0.25  # mean service times between two checks for overdue answers
COPY_AFTER_CALLS = 6.0  # mean service times after which an answer is late enough for a second copy to be sent
ANSWERS = frozenset({Outcome.SERVED, Outcome.ERROR, Outcome.TURNED_AWAY})  # outcomes with an answer
LIST_RETRY_MS = 500.0  # first pause before the list is requested again; doubled at each failure


class Balancer:
    """The decisions of one balancer instance: takes events in order and returns the actions to carry out."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random = random.Random(seed)
        self._servers: dict[str, Server] = {}
        self._selector = ServerSelector(settings, self._random)
        self._members = Members()
        self._requests: dict[int, Request] = {}
        self._queue: list[tuple[bool, float, int]] = []
        self._held = HeldSlots()
        self._retries, self._now = RETRY_BURST, 0.0
        self._limit = ConcurrencyLimit(settings.balancers)
        self._retry_detector = RetryDetector(settings.classes)
        self._silence, self._check_pending = SilenceDetector(), False
        self._shares = TenantShares(settings.tenants, settings.balancers)
        self._subscribed, self._list_failures = False, 0
        self._refusing_until = -math.inf
        self._actions: list[face.Action] = []

    def handle(self, event: face.Event, now: float) -> list[face.Action]:
        """Process one event at time `now` and return the actions to carry out, in order."""
        self._actions = []
        if self._settings.list_is_asked and not self._subscribed:
            self._subscribed = True
            self._actions.append(face.Subscribe())
        self._held.release_expired(now)
        self._limit.advance(now)
        self._now = max(self._now, now)
        match event:
            case face.AttemptEnded():
                self._on_ended(event, now)
            case face.RequestArrived():
                self._on_arrival(event, now)
            case face.TimerDue():
                self._on_timer(event.token, now)
            case face.ListUpdate():
                self._on_list(event, now)
            case face.Probed():
                self._on_probed(event, now)
            case face.ClientLeft():
                self._on_client_left(event.request)
            case face.Cordon():
                self._members.cordon(event, self._servers.get(event.server))
                self._update_ready()
            case face.CallsBeside():
                self._limit.other_process_calls = event.out
            case face.Learned():
                self._limit.restore(event)
                self._members.inherit(event, self._servers.values(), now)
                self._selector.invalidate_median()
            case face.AnswerStarted():
                self._on_answer_started(event, now)
            case face.RequestWhole():
                if (request := self._requests.get(event.request)) is not None:
                    request.on_complete(now)
                    for attempt in request.attempts:
                        if attempt.open and not attempt.started:
                            self._await_answer(attempt, now)
        self._dispatch(now)
        return self._actions

    def excluded(self) -> frozenset[str]:
        """Return the listed servers that get no calls now, whether cordoned or passed over."""
        return self._members.excluded(self._silence.answering(self._selector.subset))

    def cordoned(self) -> frozenset[str]:
        """Return the servers that operators have cordoned, listed or not."""
        return frozenset(self._members.cordoned)

    def learned(self) -> face.Learned:
        """Return what a successor process starts with."""
        return face.Learned(*self._limit.state(), tuple(evidence(s, self._now) for s in self._selector.ready))

    def _on_list(self, event: face.ListUpdate, now: float) -> None:
        if event.kind is ListKind.FAILED:
            # Keep the old list; request it again after a random pause, so that balancers do not synchronize.
            pause = min(LIST_RETRY_MS * 2 ** min(self._list_failures, 9), self._settings.ask_within_ms / 3)
            self._list_failures += 1
            if self._list_failures == 1:
                self._actions.append(face.Log("server list unavailable; using the last one received"))
            self._actions.append(face.SetTimer(now + pause * (0.5 + self._random.random()), "list"))
            return
        if self._list_failures and event.kind is not ListKind.SAVED:
            self._list_failures = 0
            self._actions.append(face.Log("server list available again"))
        if event.kind is not ListKind.CHANGES:
            for known in self._servers.values():
                known.is_ready = False  # a server missing from a whole list is gone
        self._members.apply(event)
        for member in event.members:
            server = self._servers.get(member.server)
            if server is None:
                server = self._servers[member.server] = Server(member, now, self._random.random())
                self._members.restore(server, now)
            if member.up_since_ms > server.member.up_since_ms:
                server.reset_evidence(now)  # the server has restarted
                self._silence.on_answer(server, now)
            server.size = member.size if self._settings.sizes_exact else 1.0
            server.member, server.is_ready = member, member.readiness is face.Readiness.READY
        self._servers = {name: s for name, s in self._servers.items() if s.is_ready or s.in_flight}
        self._update_ready()

    def _update_ready(self) -> None:
        self._selector.set_ready(self._members.usable(self._servers.values()), self._now)
        self._silence.keep_only({s.member.server for s in self._selector.ready})

    # ---- path of a request ----------------------------------------------------------------------

    def _on_arrival(self, event: face.RequestArrived, now: float) -> None:
        if event.request in self._requests:
            raise ValueError(f"request {event.request} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request} is of unknown class {event.class_name!r}")
        request = Request(event, self._classes[event.class_name], now)
        request.over_share = self._shares.is_over(event.tenant, now)
        if self._settings.calling_tier == 0:
            self._retry_detector.classify(request, event.remaining_ms, now)
        self._requests[request.id] = request
        self._retries = min(RETRY_BURST, self._retries + RETRY_SHARE)
        # With all servers cordoned, none returns while a request waits.
        all_cordoned = bool(self._members.cordoned) and not self._selector.ready
        if all_cordoned or event.free_connections < min(MAX_FREE, len(self._requests) // FREE_EVERY):
            self._give_up(request)
            return
        if self._is_shed(request):
            self._refuse_overload(request, now)
            return
        if len(self._queue) > len(self._requests) + QUEUE_SLACK:
            # Under overload the newest request goes first, and refused ones below it would never be removed.
            self._queue = [entry for entry in self._queue if entry[2] in self._requests]
            heapify(self._queue)
        heappush(self._queue, (request.over_share, -now, request.id))
        self._dispatch(now)
        if not request.attempts:
            wait = min(WAIT_SHARE * request.cls.aim_ms, request.useful_ms(now) - self._settings.tick_ms)
            if wait > 0:
                self._actions.append(face.SetTimer(now + wait, f"wait:{request.id}"))
            else:
                self._give_up(request)

    def _on_unserved(self, request: Request) -> None:
        if self._settings.calling_tier == 0:
            self._retry_detector.on_unserved(request, self._now)

    def _on_timer(self, token: str, now: float) -> None:
        kind, _, number = token.partition(":")
        request = self._requests.get(int(number or -1))
        if kind == "list":
            self._actions.append(face.Subscribe())
        elif kind == "look":
            self._check_silence(now)
        elif request is None or not request.is_open:
            return
        elif kind == "copy":
            self._send_copy(request, now)
        elif not request.attempts:
            self._refuse_overload(request, now)

    def _refuse_overload(self, request: Request, now: float) -> None:
        if now > self._refusing_until:
            self._actions.append(face.Log(f"overloaded: refusing; {self._limit.in_flight} calls in flight"))
        self._refusing_until = now + MEMORY_MS
        self._give_up(request)

    def _send_copy(self, request: Request, now: float) -> None:
        """Send a copy of an overdue call if its server has served nothing since, as the call may hang."""
        hung = request.has_calls() and all(a.server.served_at <= a.sent for a in request.attempts if a.open)
        if hung and self._has_capacity():
            self._retry(request, now, RETRY_BURST / 2)

    def _dispatch(self, now: float) -> None:
        """Send queued requests while the limit allows: those within their share first, the newest first."""
        while self._queue and self._has_capacity():
            request = self._requests.get(self._queue[0][2])
            if request is not None and request.is_open and not self._try_send(request, now):
                return
            heappop(self._queue)

    def _is_shed(self, request: Request) -> bool:
        """Return whether to refuse by mean service time, in which calls in flight count, to notice stalls."""
        if self._selector.limits_by_count or self._settings.calling_tier > 0:
            return False
        load = self._limit.load(request.cls.aim_ms)
        chance = (LOAD_FULL - load - LOAD_OVER_SHARE * request.over_share) / (LOAD_FULL - LOAD_FREE)
        return self._random.random() >= max(chance, MIN_ADMITTED)

    def _has_capacity(self) -> bool:
        if self._settings.calling_tier > 0:
            return True  # inner tiers admit everything: a refusal there wastes the work of the tiers above
        if not self._selector.limits_by_count and not self._limit.baseline:
            return True  # with a small part of the traffic there is no limit until the baseline is measured
        return not self._limit.is_full(len(self._silence.answering(self._selector.ready)))

    def _try_send(self, request: Request, now: float) -> bool:
        timeout = request.useful_ms(now)
        if timeout <= self._settings.tick_ms or len(request.attempts) >= self._settings.max_attempts:
            return False
        server = self._pick(request, now)
        if server is None:
            return False
        executed = request.first_executed()
        write_by = math.inf if executed is None else self._repeat_deadline(request, executed)
        server.advance(now)
        server.in_flight, server.last_sent, server.returned = server.in_flight + 1, now, False
        attempt = Attempt(server, now, timeout)
        attempt.is_uncounted = self._silence.is_suspected(server)
        self._limit.in_flight += not attempt.is_uncounted
        request.attempts.append(attempt)
        if request.whole:
            self._await_answer(attempt, now)
        self._actions.append(face.Send(request.id, server.member.server, timeout, write_by))
        if self._limit.mean and self._settings.may_duplicate and request.cls.effect is not Effect.ONCE:
            wait = COPY_AFTER_CALLS * self._limit.mean * request.cls.aim_ms
            self._actions.append(face.SetTimer(now + wait, f"copy:{request.id}"))
        return True

    def _find_attempt(self, event: face.AttemptEnded | face.AnswerStarted) -> tuple[Request, Attempt]:
        request = self._requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            raise ValueError(f"attempt {event.attempt} of request {event.request} was never made")
        return request, request.attempts[event.attempt]

    def _on_ended(self, end: face.AttemptEnded, now: float) -> None:
        request, attempt = self._find_attempt(end)
        if not attempt.open:
            return
        attempt.open, attempt.may_have_run = False, end.outcome not in face.NEVER_RAN
        if end.report is not None:
            self._limit.reports.add(end.report, now)
        self._record(attempt, end.outcome, request.cls, now)
        if end.answered:
            request.is_open = False
            self._cancel_rest(request)
        elif (
            request.is_open and not request.has_calls() and not (end.repeatable and self._retry(request, now))
        ):
            self._give_up(request)
        self._drop_if_done(request)

    def _on_answer_started(self, event: face.AnswerStarted, now: float) -> None:
        """End the service time of a streamed answer at its first bytes; its call goes on."""
        request, attempt = self._find_attempt(event)
        if attempt.open and not attempt.started:
            self._stop_awaiting(attempt, now)
            request.streaming = attempt.started = True
            self._on_answer(attempt.server, now)
            self._limit.in_flight -= not attempt.is_uncounted
            self._limit.on_served(request.cls.aim_ms, now)

    def _retry(self, request: Request, now: float, spare: float = 0.0) -> bool:
        """Make a further attempt from the saved retries, of which `spare` stay for other requests."""
        paid = bool(request.attempts) and request.attempts[-1].is_paid
        if (not paid and self._retries < spare + 1) or request.streaming or not self._try_send(request, now):
            return False
        self._retries -= not paid
        return True

    # ---- silent servers --------------------------------------------------------------------------

    def _await_answer(self, attempt: Attempt, now: float) -> None:
        """Expect an answer from the server, which has the whole request now."""
        if not attempt.is_awaited:
            attempt.is_awaited = True
            self._silence.on_sent(attempt.server, now)
            self._schedule_check(now)

    def _stop_awaiting(self, attempt: Attempt, now: float) -> None:
        if attempt.is_awaited:
            attempt.is_awaited = False
            self._silence.on_ended(attempt.server, now)

    def _schedule_check(self, now: float) -> None:
        if not self._check_pending and self._selector.median and self._settings.may_probe:
            self._check_pending = True
            wait = max(CHECK_INTERVAL_CALLS / self._selector.median, self._settings.tick_ms)
            self._actions.append(face.SetTimer(now + wait, "look"))

    def _check_silence(self, now: float) -> None:
        """Probe the servers whose answers are overdue."""
        self._check_pending = False
        if self._selector.median and self._settings.may_probe:
            overdue = self._silence.servers_to_probe(self._selector.median, now)
            self._actions.extend(face.Probe(s.member.server) for s in overdue)
            if self._silence.has_work():
                self._schedule_check(now)

    def _on_probed(self, event: face.Probed, now: float) -> None:
        if (server := self._servers.get(event.server)) is not None:
            (self._on_answer if event.reached else self._on_silent)(server, now)

    def _on_silent(self, server: Server, now: float) -> None:
        """Stop counting a silent server's calls against the limit, and retry elsewhere those that may be."""
        if self._silence.suspect(server):
            self._actions.append(face.Log(f"{server.member.server} does not answer; excluded"))
        self._limit.on_silent_server(now)
        for request in list(self._requests.values()):
            for number, attempt in enumerate(request.attempts):
                if attempt.server is server and attempt.open and not attempt.started:
                    self._limit.in_flight -= not attempt.is_uncounted
                    attempt.is_uncounted = True
                    self._cancel_for_retry(request, number, attempt, now)

    def _cancel_for_retry(self, request: Request, number: int, attempt: Attempt, now: float) -> None:
        """Cancel a call that hangs at a silent server, to make it elsewhere, if it may run twice."""
        if (
            not self._settings.may_cancel
            or request.cls.effect is not Effect.REPEATABLE
            or not request.is_open
            or not request.whole
            or attempt.is_paid
            or self._retries < 1
            or len(request.attempts) >= self._settings.max_attempts
            or attempt.server.unanswered.waited(now) * self._selector.median < PROBE_THRESHOLD_BESIDE
        ):
            return
        attempt.is_paid = True
        self._retries -= 1
        self._actions.append(face.Cancel(request.id, number))

    def _on_answer(self, server: Server, now: float) -> None:
        """Use a server again; its hung calls stay uncounted, as a new connection says nothing of theirs."""
        if self._silence.on_answer(server, now):
            self._actions.append(face.Log(f"{server.member.server} answers again"))

    def _give_up(self, request: Request) -> None:
        request.is_open = False
        self._on_unserved(request)
        safe = request.cls.effect is Effect.REPEATABLE or not any(a.may_have_run for a in request.attempts)
        retry_after = min(RETRY_AFTER_SHARE * request.cls.aim_ms, self._settings.max_retry_after_ms)
        self._actions.append(face.Refuse(request.id, retry_after) if safe else face.Fail(request.id))
        self._drop_if_done(request)

    def _cancel_rest(self, request: Request) -> None:
        if self._settings.may_cancel and not request.streaming:
            self._actions.extend(face.Cancel(request.id, i) for i, a in enumerate(request.attempts) if a.open)

    def _on_client_left(self, request_id: int) -> None:
        if (request := self._requests.get(request_id)) is not None:
            if request.is_open:
                self._on_unserved(request)
            request.is_open = False
            self._cancel_rest(request)
            self._drop_if_done(request)

    def _drop_if_done(self, request: Request) -> None:
        if not request.is_open and not request.has_calls():
            self._requests.pop(request.id, None)

    def _safe_servers(self, request: Request, now: float) -> list[Server]:
        """Return the servers where the next attempt can do no harm; the whole subset if none may have run."""
        cls, executed = request.cls, request.first_executed()
        if request.has_calls() and not self._settings.may_duplicate:
            return []
        if executed is None or cls.effect is Effect.REPEATABLE:
            return self._selector.subset
        if cls.effect is Effect.ONCE or now >= self._repeat_deadline(request, executed):
            return []
        # A server that has restarted since may have lost the keys it saw and would run the request again.
        servers = [s for s in self._selector.ready if s.member.up_since_ms <= executed.sent]
        if cls.repeat_group is RepeatGroup.ALL:
            return servers
        group = "zone" if cls.repeat_group is RepeatGroup.ZONE else "cell"
        return [s for s in servers if getattr(s.member, group) == getattr(executed.server.member, group)]

    def _repeat_deadline(self, request: Request, executed: Attempt) -> float:
        """Return until when servers that saw the first attempt drop a repeat; later it would run again."""
        if request.cls.effect is Effect.REPEATABLE:
            return math.inf
        return executed.sent + request.cls.repeat_window_ms - self._settings.tick_ms

    # ---- server selection -----------------------------------------------------------------------

    def _pick(self, request: Request, now: float) -> Server | None:
        """Select among the servers that answer and where an attempt can do no harm."""
        selector = self._selector
        median = selector.refresh_median(now)
        pool = self._silence.answering(selector.without_saturated_cold(self._safe_servers(request, now), now))
        if request.attempts:
            tried = [a.server for a in request.attempts]
            pool = [s for s in pool if s not in tried] or pool
        return selector.pick(pool, median, now) if pool else None

    def _record(self, attempt: Attempt, outcome: Outcome, cls: face.RequestClass, now: float) -> None:
        """Count a served call; hold a failure's slot until its time-out, as the server must not look idle."""
        server = attempt.server
        server.advance(now)
        self._limit.in_flight -= not attempt.started and not attempt.is_uncounted
        self._stop_awaiting(attempt, now)
        if outcome in ANSWERS:
            self._on_answer(server, now)
        elif outcome is Outcome.UNREACHED and self._settings.may_probe:
            self._silence.on_unreached(server)
            self._schedule_check(now)
        if outcome is Outcome.SERVED:
            server.served += 1
            server.served_at = now
            if not attempt.started:
                self._limit.on_served(cls.aim_ms, now)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and attempt.ends_at > now:
            self._held.hold(server, attempt.ends_at)
            return
        server.in_flight -= 1
