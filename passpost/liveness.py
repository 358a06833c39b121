"""Checks whether an upstream that has closed a connection in order is alive.

The kernel closes the connections of a dead process just as the process would have, and its listening socket a
little later: only a response to a request sent after that end proves that the upstream is alive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from passpost.attempt import Attempt, AttemptCallback
from passpost.http1 import Response
from umberworks.interface import Outcome

if TYPE_CHECKING:
    from passpost.upstream_connection import Pool, Upstream

LIVENESS_TIMEOUT_S = 0.5  # limit of one check
MISDIRECTED = 421  # status: another upstream has the address now

OnResult = Callable[[bool], None]


class LivenessCheck:
    """Checks one upstream: all connections that end in one turn of the event loop share a request.

    Connections that end while a request is pending wait for the next one, as the upstream may have died
    behind its response. At most one request is pending at a time.
    """

    def __init__(self) -> None:
        self._waiting: list[OnResult] = []  # for the next request
        self._checking: list[OnResult] = []  # for the pending request
        self._is_busy = False

    def request(self, pool: Pool, upstream: Upstream, on_result: OnResult) -> None:
        """Call `on_result` once, later, with whether the upstream is alive."""
        if pool.options.liveness_request is None:
            asyncio.get_running_loop().call_soon(on_result, True)  # there is nothing to ask such upstreams
            return
        self._waiting.append(on_result)
        if not self._is_busy:
            self._is_busy = True
            asyncio.get_running_loop().call_soon(self._begin, pool, upstream)

    def _begin(self, pool: Pool, upstream: Upstream) -> None:
        self._checking, self._waiting = self._waiting, []
        send_liveness_request(pool, upstream, lambda lives: self._on_result(pool, upstream, lives))

    def _on_result(self, pool: Pool, upstream: Upstream, lives: bool) -> None:
        checked, self._checking = self._checking, []
        for on_result in checked:
            on_result(lives)
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._begin, pool, upstream)
        else:
            self._is_busy = False


def send_liveness_request(pool: Pool, upstream: Upstream, on_result: OnResult) -> None:
    """Send one request that a live upstream responds to; without a response in time it counts as dead.

    The request goes out on a connection that has carried none, as the upstream may not read one whose last
    response it has not finished; if none can be established, on an idle one. It may take the place of the
    connection that has ended, so the limit of connections to the upstream doesn't prevent it.
    """
    liveness_request = pool.options.liveness_request
    assert liveness_request is not None

    def send_check(on_done: AttemptCallback, unused: bool) -> None:
        request = liveness_request(upstream.name, upstream.address)
        pool.dispatch(Attempt(request, LIVENESS_TIMEOUT_S, on_done), upstream, unused, replaces_ended=True)

    def on_response(outcome: Outcome, response: Response | None) -> None:
        on_result(response is not None and response.status != MISDIRECTED)

    def on_first_response(outcome: Outcome, response: Response | None) -> None:
        if outcome is Outcome.UNREACHED and upstream.idle:  # it accepts no new connection, but may be alive
            send_check(on_response, unused=False)
        else:
            on_response(outcome, response)

    send_check(on_first_response, unused=True)
