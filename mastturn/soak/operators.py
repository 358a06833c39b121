"""Operators of a soak: continuously change and read the configuration; some changes are invalid."""

from __future__ import annotations

import asyncio
import json
import random
import time

from aiohttp import ClientError, ClientSession, ClientTimeout

from mastturn.soak.fleet import configuration
from mastturn.soak.records import ConfigurationPut, ConfigurationRead, Records

PERIOD_S = 1.0
CALL_TIMEOUT_S = 1.0
INVALID_SHARE, READ_SHARE = 0.2, 0.4
REJECTION_STATUSES = (400, 409, 412, 413, 422)
MAX_VERSION_STEP = 4  # largest increment of a version
MAX_IDLE_ROUTES = 8
READ_BACK_TIMEOUT_S = 20.0


class Operator:
    """An operator; each change is based on the newest version that it knows."""

    def __init__(self, number: int, seed: int, ctl: list[str], records: Records) -> None:
        self._rng = random.Random(f"{seed}/operator/{number}")
        self._ctl, self._records, self._known_ver = ctl, records, 1
        self._number, self._count = number, 0  # make every change unique

    async def run(self, stop: asyncio.Event) -> None:
        """Put about one change a second until `stop` is set."""
        async with ClientSession(timeout=ClientTimeout(total=CALL_TIMEOUT_S)) as session:
            while not stop.is_set():
                begin = time.monotonic()
                if self._rng.random() < READ_SHARE:
                    await self._read(session)
                await self._put_change(session, stop)
                await asyncio.sleep(
                    max(begin + PERIOD_S * self._rng.uniform(0.5, 1.5) - time.monotonic(), 0.0)
                )

    async def _put_change(self, session: ClientSession, stop: asyncio.Event) -> None:
        """Put one change, retrying it unchanged until the response is conclusive."""
        ver = self._known_ver + self._rng.randint(1, MAX_VERSION_STEP)
        self._count += 1
        values = configuration(ver, self._rng.randint(0, MAX_IDLE_ROUTES), f"{self._number}-{self._count}")
        is_valid = self._rng.random() >= INVALID_SHARE
        if not is_valid:
            values["routes"][0]["svc"] = "nobody"  # type: ignore[index]
        put = ConfigurationPut(ver, self._known_ver, json.dumps(values).encode(), is_valid, time.monotonic())
        self._records.puts.append(put)
        while not stop.is_set():
            put.status = await self._send(session, put)
            if put.status == 200 or put.status in REJECTION_STATUSES:
                put.answered_at = time.monotonic()
                break
            await asyncio.sleep(0.1)
        if put.status == 200:
            self._known_ver = ver
        elif put.status == 412 or not is_valid:
            await self._read(session)

    async def _send(self, session: ClientSession, put: ConfigurationPut) -> int:
        address = self._rng.choice(self._ctl)
        try:
            async with session.put(
                f"http://{address}/api/config", data=put.body, headers={"If-Match": str(put.base)}
            ) as response:
                return response.status
        except (ClientError, OSError, TimeoutError):
            return 0

    async def _read(self, session: ClientSession) -> None:
        """Read the configuration and remember its version."""
        read = await read_configuration(session, self._rng.choice(self._ctl))
        self._records.reads.append(read)
        self._known_ver = max(self._known_ver, read.ver)


async def read_configuration(session: ClientSession, address: str) -> ConfigurationRead:
    """Return the newest configuration according to one control process."""
    sent_at = time.monotonic()
    try:
        async with session.get(f"http://{address}/api/config") as response:
            body = await response.read()
            if response.status == 200:
                return ConfigurationRead(address, sent_at, int(json.loads(body)["ver"]), body)
    except (ClientError, OSError, TimeoutError, ValueError, KeyError):
        pass
    return ConfigurationRead(address, sent_at, 0)


async def read_back(ctl: list[str], records: Records) -> None:
    """Record the final configuration, retrying until one can be read."""
    deadline = time.monotonic() + READ_BACK_TIMEOUT_S
    async with ClientSession(timeout=ClientTimeout(total=CALL_TIMEOUT_S)) as session:
        while time.monotonic() < deadline and not records.final_ver:
            for address in ctl:
                read = await read_configuration(session, address)
                if read.ver:
                    records.final_ver, records.final_body = read.ver, read.body
                    return
            await asyncio.sleep(0.2)
