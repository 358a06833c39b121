"""Routing: finds a request's route by host and longest path prefix, and draws its service."""

from __future__ import annotations

import random
from bisect import bisect
from itertools import accumulate

from config.configuration import Configuration, Route


class RouteTable:
    """The routes of one configuration; immutable."""

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.ver
        self._routes = {(r.host.lower(), r.path_prefix): r for r in configuration.routes}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of this host (any case, with or without port) with the longest matching prefix."""
        host = host.lower()
        if (colon := host.rfind(":")) > host.rfind("]"):
            host = host[:colon]
        end = path.rfind("/")
        while end >= 0:
            if (route := self._routes.get((host, path[: end + 1]))) is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def draw_service(route: Route, rng: random.Random) -> str:
    """Return the service for one request on this route, drawn by weight if the route is split."""
    if not route.split:
        return route.svc or ""
    if len({part.svc for part in route.split if part.wt > 0}) == 1:
        return next(part.svc for part in route.split if part.wt > 0)
    sums = list(accumulate(max(part.wt, 0.0) for part in route.split))
    return route.split[min(bisect(sums, rng.random() * sums[-1]), len(sums) - 1)].svc
