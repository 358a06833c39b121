"""Which route a request is on, by host and longest prefix, and which service it goes to."""

from __future__ import annotations

import random
from bisect import bisect
from itertools import accumulate

from config.configuration import Configuration, Route


class RouteTable:
    """The routes of one configuration; immutable once made."""

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.ver
        self._routes = {(r.host.lower(), r.path_prefix): r for r in configuration.routes}

    def find(self, host: str, path: str) -> Route | None:
        """The route of this host (any case, port allowed) whose prefix begins the path and is longest."""
        host = host.lower()
        if (colon := host.rfind(":")) > host.rfind("]"):
            host = host[:colon]
        end = path.rfind("/")
        while end >= 0:
            if (route := self._routes.get((host, path[: end + 1]))) is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def draw_service(route: Route, chance: random.Random) -> str:
    """The service that one request on this route goes to: by weight where the route is split."""
    if not route.split:
        return route.svc or ""
    if len({part.svc for part in route.split if part.wt > 0}) == 1:
        return next(part.svc for part in route.split if part.wt > 0)
    sums = list(accumulate(max(part.wt, 0.0) for part in route.split))
    return route.split[min(bisect(sums, chance.random() * sums[-1]), len(sums) - 1)].svc
