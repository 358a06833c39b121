"""Keeps one instance registered: every third of its lease, at one replica, at the next when that fails."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from fleet.registry.leases import RENEWALS_PER_LEASE
from mastturn.registry.form import PATH
from mastturn.registry.http import plain

log = logging.getLogger(__name__)

CALL_S = 1.0


class RefusedError(Exception):
    """The service has said no, with its line."""


async def put(client: ClientSession, address: str, id_: str, list_name: str, values: dict[str, Any]) -> Any:
    """One write at one replica, and its answer; raises RefusedError, ClientError, TimeoutError or OSError."""
    return await _write(client, "PUT", address, id_, {"list": list_name}, values)


async def remove(
    client: ClientSession, address: str, id_: str, list_name: str, incarnation: int | None
) -> Any:
    """Take an instance off at one replica; raises as `put` does."""
    words = {"list": list_name}
    if incarnation is not None:
        words["incarnation"] = str(incarnation)
    return await _write(client, "DELETE", address, id_, words, None)


async def _write(
    client: ClientSession, method: str, address: str, id_: str, words: dict[str, str], values: Any
) -> Any:
    url = f"http://{address}{PATH}/{id_}"
    timeout = ClientTimeout(total=CALL_S)
    async with client.request(method, url, params=words, json=values, timeout=timeout) as answer:
        if answer.status == 200:
            return await answer.json()
        reason = (await answer.text()).strip()
        if answer.status in (400, 404, 409):
            raise RefusedError(reason)
        raise OSError(f"status {answer.status}: {reason}")


class Registrant:
    """One instance and its lease."""

    def __init__(
        self,
        replicas: list[str],
        id_: str,
        values: dict[str, Any],
        list_name: str = "",
        heard: Callable[[Any], None] = lambda answer: None,
    ) -> None:
        """`values`: the body of a PUT, with `lease_ms`; `heard` takes each answer."""
        self._replicas = random.sample(replicas, len(replicas))
        self._id, self._list, self._heard = id_, list_name, heard
        self.values = values
        self._task: asyncio.Task[None] | None = None
        self._again = asyncio.Event()

    def start(self) -> None:
        """Register, and renew until stopped."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def say(self, **values: Any) -> None:
        """Tell changed values at once; those of a new process come with a new incarnation."""
        self.values = self.values | values
        self._again.set()

    async def stop(self, removed: bool = True) -> None:
        """Renew no more, and say that we are gone."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if removed:
            async with ClientSession() as client:
                for address in self._replicas:
                    try:
                        await remove(client, address, self._id, self._list, self.values.get("incarnation"))
                        return
                    except (RefusedError, ClientError, TimeoutError, OSError) as error:
                        log.warning("registry: %s: %s", address, plain(error))

    async def _run(self) -> None:
        pause = self.values["lease_ms"] / 1000 / RENEWALS_PER_LEASE
        async with ClientSession() as client:
            while True:
                self._again.clear()
                wait = pause * random.uniform(0.8, 1.0) if await self._renew(client) else min(pause / 2, 1.0)
                try:
                    async with asyncio.timeout(wait):
                        await self._again.wait()
                except TimeoutError:
                    pass

    async def _renew(self, client: ClientSession) -> bool:
        for _ in self._replicas:
            address = self._replicas[0]
            try:
                self._heard(await put(client, address, self._id, self._list, self.values))
                return True
            except RefusedError as error:
                log.error("registry: %s: %s", address, error)
                return False
            except (ClientError, TimeoutError, OSError) as error:
                log.warning("registry: %s: %s", address, plain(error))
                self._replicas.append(self._replicas.pop(0))
        return False
