"""Every decision of the balancer; its types, events and actions are in umberworks/interface.py.

A request's path: `_arrived` puts it in the waiting line, `_pump` lets it out while there is room (room.py),
`_try_send` picks its server (choice.py: the ordinary path), `_ended` books each outcome and may try again.
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
from umberworks.shares import Shares
from umberworks.silence import DOUBT_BESIDE, Silence
from umberworks.tries import Tries

LOAD_FREE, LOAD_FULL = 0.3, 0.55  # mean time in service, in aims, from which some, from which all are refused
LOAD_OVER_SHARE = 0.2  # a tenant past its share is held back this much sooner
LEAST_ADMITTED = 0.05  # the share let in all the same, to notice that the crowd has gone
WAITING_SPARE = 64  # entries beyond the open requests from which the waiting line is rid of the answered ones
WAIT_SHARE = 0.1  # share of its aim that a request may wait for room before it is refused
AWAY_SHARE = 0.25  # share of its aim that a refused client is told to stay away: room changes, its aim runs
# Callers that find every connection busy go elsewhere for good, even if nobody is there. One that is refused
# has its connection back at once, but several may come before that. Guards any drain under load; it does harm
# where callers don't share their connections, as what is kept free is then of no use to the others: a few
# callers are therefore let be.
KEPT_FREE, KEPT_FOR = 6, 3  # at most so many connections kept free in a drain, one for each so many requests
RETRY_SHARE = 0.2  # further attempts allowed for each first one, so that a failing fleet is not flooded
RETRY_BURST = 10.0  # further attempts that may be saved up
LOOK_CALLS = 0.25  # mean times in service between two looks at what is owed
PATIENCE = 6.0  # mean times in service after which an answer is so late that a second copy is sent
ANSWERS = frozenset({Outcome.SERVED, Outcome.ERROR, Outcome.TURNED_AWAY})  # something was heard
LIST_RETRY_MS = 500.0  # first pause before the list is asked again, doubled at each failure


class Balancer:
    """The decisions of one balancer instance: feed it events in order, carry out the actions it returns."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random = random.Random(seed)
        self._servers: dict[str, Server] = {}
        self._selector = ServerSelector(settings, self._random)
        self._members = Members()
        self._requests: dict[int, Request] = {}
        self._waiting: list[tuple[bool, float, int]] = []
        self._held = HeldSlots()
        self._retries, self._now = RETRY_BURST, 0.0
        self._concurrency = ConcurrencyLimit(settings.balancers)
        self._tries = Tries(settings.classes)
        self._silence, self._looking = Silence(), False
        self._shares = Shares(settings.tenants, settings.balancers)
        self._asked, self._list_failures = False, 0
        self._refusing_until = -math.inf
        self._actions: list[face.Action] = []

    def handle(self, event: face.Event, now: float) -> list[face.Action]:
        """Take one event at time `now` and return what to do, in order."""
        self._actions = []
        if self._settings.list_is_asked and not self._asked:
            self._asked = True
            self._actions.append(face.Subscribe())
        self._held.release(now)
        self._concurrency.catch_up(now)
        self._now = max(self._now, now)
        match event:
            case face.AttemptEnded():
                self._ended(event, now)
            case face.RequestArrived():
                self._arrived(event, now)
            case face.TimerDue():
                self._due(event.token, now)
            case face.ListUpdate():
                self._listed(event, now)
            case face.Probed():
                self._probed(event, now)
            case face.ClientLeft():
                self._left(event.request)
            case face.Cordon():
                self._members.cordon(event, self._servers.get(event.server))
                self._take_ready()
            case face.CallsBeside():
                self._concurrency.other_process_calls = event.out
            case face.Learned():
                self._concurrency.told(event)
                self._members.told(event, self._servers.values(), now)
                self._selector.measure_anew()
            case face.AnswerStarted():
                self._started(event, now)
            case face.RequestWhole():
                if (request := self._requests.get(event.request)) is not None:
                    request.complete(now)
                    for attempt in request.attempts:
                        if attempt.out and not attempt.started:
                            self._owe(attempt, now)
        self._pump(now)
        return self._actions

    def excluded(self) -> frozenset[str]:
        """The listed servers that get no calls now, by hand or by choice."""
        return self._members.excluded(self._silence.answering(self._selector.fit))

    def cordoned(self) -> frozenset[str]:
        """The servers that operators hold out, listed or not."""
        return frozenset(self._members.cordoned)

    def learned(self) -> face.Learned:
        """What a process that takes our place begins with."""
        return face.Learned(
            *self._concurrency.learned(), tuple(evidence(s, self._now) for s in self._selector.ready)
        )

    def _listed(self, event: face.ListUpdate, now: float) -> None:
        if event.kind is ListKind.FAILED:
            # The list is out of reach: the old one stands; ask again, not all balancers in step.
            pause = min(LIST_RETRY_MS * 2 ** min(self._list_failures, 9), self._settings.ask_within_ms / 3)
            self._list_failures += 1
            if self._list_failures == 1:
                self._actions.append(face.Log("server list out of reach; keeping the last one"))
            self._actions.append(face.SetTimer(now + pause * (0.5 + self._random.random()), "list"))
            return
        if self._list_failures and event.kind is not ListKind.SAVED:
            self._list_failures = 0
            self._actions.append(face.Log("server list is back"))
        if event.kind is not ListKind.CHANGES:
            for known in self._servers.values():
                known.fit = False  # missing from a whole list means gone
        self._members.follow(event)
        for member in event.members:
            server = self._servers.get(member.server)
            if server is None:
                server = self._servers[member.server] = Server(member, now, self._random.random())
                self._members.remember(server, now)
            if member.up_since_ms > server.member.up_since_ms:
                server.forget(now)  # the same name, a new process
                self._silence.heard(server, now)
            server.size = member.size if self._settings.sizes_exact else 1.0
            server.member, server.fit = member, member.readiness is face.Readiness.READY
        self._servers = {name: s for name, s in self._servers.items() if s.fit or s.in_flight}
        self._take_ready()

    def _take_ready(self) -> None:
        self._selector.take(self._members.usable(self._servers.values()), self._now)
        self._silence.forget({s.member.server for s in self._selector.ready})

    # ---- a request's path -----------------------------------------------------------------------

    def _arrived(self, event: face.RequestArrived, now: float) -> None:
        if event.request in self._requests:
            raise ValueError(f"request {event.request} has arrived before")
        if event.class_name not in self._classes:
            raise ValueError(f"request {event.request} is of unknown class {event.class_name!r}")
        request = Request(event, self._classes[event.class_name], now)
        request.over_share = self._shares.is_over(event.tenant, now)
        if self._settings.calling_tier == 0:
            self._tries.mark(request, event.remaining_ms, now)
        self._requests[request.id] = request
        self._retries = min(RETRY_BURST, self._retries + RETRY_SHARE)
        # With all servers held out, none comes back while a request waits.
        held_out = bool(self._members.cordoned) and not self._selector.ready
        if held_out or event.free_connections < min(KEPT_FREE, len(self._requests) // KEPT_FOR):
            self._give_up(request)
            return
        if self._crowded(request):
            self._refuse_for_room(request, now)
            return
        if len(self._waiting) > len(self._requests) + WAITING_SPARE:
            # While room is short the newest go first, and below them what was refused would stay for good.
            self._waiting = [entry for entry in self._waiting if entry[2] in self._requests]
            heapify(self._waiting)
        heappush(self._waiting, (request.over_share, -now, request.id))
        self._pump(now)
        if not request.attempts:
            wait = min(WAIT_SHARE * request.cls.aim_ms, request.time_left(now) - self._settings.tick_ms)
            if wait > 0:
                self._actions.append(face.SetTimer(now + wait, f"wait:{request.id}"))
            else:
                self._give_up(request)

    def _unserved(self, request: Request) -> None:
        if self._settings.calling_tier == 0:
            self._tries.unserved(request, self._now)

    def _due(self, token: str, now: float) -> None:
        kind, _, number = token.partition(":")
        request = self._requests.get(int(number or -1))
        if kind == "list":
            self._actions.append(face.Subscribe())
        elif kind == "look":
            self._look(now)
        elif request is None or not request.owed:
            return
        elif kind == "copy":
            self._copy(request, now)
        elif not request.attempts:
            self._refuse_for_room(request, now)

    def _refuse_for_room(self, request: Request, now: float) -> None:
        if now > self._refusing_until:
            self._actions.append(face.Log(f"no room: refusing; {self._concurrency.out} calls out"))
        self._refusing_until = now + MEMORY_MS
        self._give_up(request)

    def _copy(self, request: Request, now: float) -> None:
        """Send a copy of what is overdue at a server that has served nothing since: it may hang."""
        silent = request.is_out() and all(a.server.heard <= a.sent for a in request.attempts if a.out)
        if silent and self._has_room():
            self._try_again(request, now, RETRY_BURST / 2)

    def _pump(self, now: float) -> None:
        """Let waiting requests out while there is room: within their share first, the newest first."""
        while self._waiting and self._has_room():
            request = self._requests.get(self._waiting[0][2])
            if request is not None and request.owed and not self._try_send(request, now):
                return
            heappop(self._waiting)

    def _crowded(self, request: Request) -> bool:
        """Whether to refuse by the mean time in service; calls still out are in it: a stall shows at once."""
        if self._selector.counted or self._settings.calling_tier > 0:
            return False
        load = self._concurrency.load(request.cls.aim_ms)
        chance = (LOAD_FULL - load - LOAD_OVER_SHARE * request.over_share) / (LOAD_FULL - LOAD_FREE)
        return self._random.random() >= max(chance, LEAST_ADMITTED)

    def _has_room(self) -> bool:
        if self._settings.calling_tier > 0:
            return True  # inner tiers let all in: a refusal there wastes what the tiers above have done
        if not self._selector.counted and not self._concurrency.baseline:
            return True  # a sliver of the fleet has no room to count by until its time in service is known
        return not self._concurrency.is_full(len(self._silence.answering(self._selector.ready)))

    def _try_send(self, request: Request, now: float) -> bool:
        timeout = request.time_left(now)
        if timeout <= self._settings.tick_ms or len(request.attempts) >= self._settings.max_attempts:
            return False
        server = self._pick(request, now)
        if server is None:
            return False
        ran = request.ran()
        repeat_ends = math.inf if ran is None else self._repeat_ends(request, ran)
        server.catch_up(now)
        server.in_flight, server.last_sent, server.back = server.in_flight + 1, now, False
        attempt = Attempt(server, now, timeout)
        attempt.apart = self._silence.suspects(server)
        self._concurrency.out += not attempt.apart
        request.attempts.append(attempt)
        if request.whole:
            self._owe(attempt, now)
        self._actions.append(face.Send(request.id, server.member.server, timeout, repeat_ends))
        if self._concurrency.mean and self._settings.may_duplicate and request.cls.effect is not Effect.ONCE:
            patience = PATIENCE * self._concurrency.mean * request.cls.aim_ms
            self._actions.append(face.SetTimer(now + patience, f"copy:{request.id}"))
        return True

    def _made(self, event: face.AttemptEnded | face.AnswerStarted) -> tuple[Request, Attempt]:
        request = self._requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            raise ValueError(f"attempt {event.attempt} of request {event.request} was never made")
        return request, request.attempts[event.attempt]

    def _ended(self, event: face.AttemptEnded, now: float) -> None:
        request, attempt = self._made(event)
        if not attempt.out:
            return
        attempt.out, attempt.ran = False, event.outcome not in face.NEVER_RAN
        if event.report is not None:
            self._concurrency.reports.told(event.report, now)
        self._book(attempt, event.outcome, request.cls, now)
        if event.answered:
            request.owed = False
            self._cancel_rest(request)
        elif (
            request.owed and not request.is_out() and not (event.repeatable and self._try_again(request, now))
        ):
            self._give_up(request)
        self._drop_if_over(request)

    def _started(self, event: face.AnswerStarted, now: float) -> None:
        """Of a long answer the first bytes count: its time in service ends here, its call goes on."""
        request, attempt = self._made(event)
        if attempt.out and not attempt.started:
            self._settle(attempt, now)
            request.streaming = attempt.started = True
            self._heard(attempt.server, now)
            self._concurrency.out -= not attempt.apart
            self._concurrency.served(request.cls.aim_ms, now)

    def _try_again(self, request: Request, now: float, keep: float = 0.0) -> bool:
        """Make a further attempt out of the savings, of which `keep` stay for others."""
        paid = bool(request.attempts) and request.attempts[-1].paid
        if (not paid and self._retries < keep + 1) or request.streaming or not self._try_send(request, now):
            return False
        self._retries -= not paid
        return True

    # ---- silence ---------------------------------------------------------------------------------

    def _owe(self, attempt: Attempt, now: float) -> None:
        """The server has the whole request: from now on it owes an answer."""
        if not attempt.owing:
            attempt.owing = True
            self._silence.sent(attempt.server, now)
            self._look_later(now)

    def _settle(self, attempt: Attempt, now: float) -> None:
        if attempt.owing:
            attempt.owing = False
            self._silence.ended(attempt.server, now)

    def _look_later(self, now: float) -> None:
        if not self._looking and self._selector.median and self._settings.may_probe:
            self._looking = True
            wait = max(LOOK_CALLS / self._selector.median, self._settings.tick_ms)
            self._actions.append(face.SetTimer(now + wait, "look"))

    def _look(self, now: float) -> None:
        """Have the servers probed that owe too much."""
        self._looking = False
        if self._selector.median and self._settings.may_probe:
            doubted = self._silence.doubts(self._selector.median, now)
            self._actions.extend(face.Probe(s.member.server) for s in doubted)
            if self._silence.any():
                self._look_later(now)

    def _probed(self, event: face.Probed, now: float) -> None:
        if (server := self._servers.get(event.server)) is not None:
            (self._heard if event.reached else self._suspect)(server, now)

    def _suspect(self, server: Server, now: float) -> None:
        """It is silent: its calls take up no room, and are made elsewhere if they may."""
        if self._silence.silent(server):
            self._actions.append(face.Log(f"{server.member.server} gives no answers: left out"))
        self._concurrency.spoilt(now)
        for request in list(self._requests.values()):
            for number, attempt in enumerate(request.attempts):
                if attempt.server is server and attempt.out and not attempt.started:
                    self._concurrency.out -= not attempt.apart
                    attempt.apart = True
                    self._call_off(request, number, attempt, now)

    def _call_off(self, request: Request, number: int, attempt: Attempt, now: float) -> None:
        """Make a call elsewhere that hangs at a silent server, if it may run twice."""
        if (
            not self._settings.may_cancel
            or request.cls.effect is not Effect.REPEATABLE
            or not request.owed
            or not request.whole
            or attempt.paid
            or self._retries < 1
            or len(request.attempts) >= self._settings.max_attempts
            or attempt.server.unanswered.waited(now) * self._selector.median < DOUBT_BESIDE
        ):
            return
        attempt.paid = True
        self._retries -= 1
        self._actions.append(face.Cancel(request.id, number))

    def _heard(self, server: Server, now: float) -> None:
        """It answers. Calls that hung there stay apart: a new connection says nothing of the old ones."""
        if self._silence.heard(server, now):
            self._actions.append(face.Log(f"{server.member.server} answers again"))

    def _give_up(self, request: Request) -> None:
        request.owed = False
        self._unserved(request)
        harmless = request.cls.effect is Effect.REPEATABLE or not any(a.ran for a in request.attempts)
        away = min(AWAY_SHARE * request.cls.aim_ms, self._settings.max_retry_after_ms)
        self._actions.append(face.Refuse(request.id, away) if harmless else face.Fail(request.id))
        self._drop_if_over(request)

    def _cancel_rest(self, request: Request) -> None:
        if self._settings.may_cancel and not request.streaming:
            self._actions.extend(face.Cancel(request.id, i) for i, a in enumerate(request.attempts) if a.out)

    def _left(self, request_id: int) -> None:
        if (request := self._requests.get(request_id)) is not None:
            if request.owed:
                self._unserved(request)
            request.owed = False
            self._cancel_rest(request)
            self._drop_if_over(request)

    def _drop_if_over(self, request: Request) -> None:
        if not request.owed and not request.is_out():
            self._requests.pop(request.id, None)

    def _harmless(self, request: Request, now: float) -> list[Server]:
        """The fit servers to which the next attempt can do no harm; all of them if none may have run."""
        cls, ran = request.cls, request.ran()
        if request.is_out() and not self._settings.may_duplicate:
            return []
        if ran is None or cls.effect is Effect.REPEATABLE:
            return self._selector.fit
        if cls.effect is Effect.ONCE or now >= self._repeat_ends(request, ran):
            return []
        # A server that restarted since may have forgotten what it saw: not asked again.
        able = [s for s in self._selector.ready if s.member.up_since_ms <= ran.sent]
        if cls.repeat_group is RepeatGroup.ALL:
            return able
        place = "zone" if cls.repeat_group is RepeatGroup.ZONE else "cell"
        return [s for s in able if getattr(s.member, place) == getattr(ran.server.member, place)]

    def _repeat_ends(self, request: Request, ran: Attempt) -> float:
        """Until when a copy is dropped by whoever has seen the first: later it would run a second time."""
        if request.cls.effect is Effect.REPEATABLE:
            return math.inf
        return ran.sent + request.cls.repeat_window_ms - self._settings.tick_ms

    # ---- the ordinary path ----------------------------------------------------------------------

    def _pick(self, request: Request, now: float) -> Server | None:
        """The ordinary path, among the servers to which an attempt can do no harm, and which answer."""
        choice = self._selector
        median = choice.bring_up(now)
        able = self._silence.answering(choice.spare_cold(self._harmless(request, now), now))
        if request.attempts:
            tried = [a.server for a in request.attempts]
            able = [s for s in able if s not in tried] or able
        return choice.pick(able, median, now) if able else None

    def _book(self, attempt: Attempt, outcome: Outcome, cls: face.RequestClass, now: float) -> None:
        """Count a served call; hold a failure's slot to its full time-out: it must not look idle."""
        server = attempt.server
        server.catch_up(now)
        self._concurrency.out -= not attempt.started and not attempt.apart
        self._settle(attempt, now)
        if outcome in ANSWERS:
            self._heard(server, now)
        elif outcome is Outcome.UNREACHED and self._settings.may_probe:
            self._silence.unreached(server)
            self._look_later(now)
        if outcome is Outcome.SERVED:
            server.served += 1
            server.heard = now
            if not attempt.started:
                self._concurrency.served(cls.aim_ms, now)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and attempt.ends > now:
            self._held.hold(server, attempt.ends)
            return
        server.in_flight -= 1
