"""Which versions of models' weights the configuration names, and which upstreams hold them."""

from __future__ import annotations

from collections.abc import Mapping

from balancer.peer import Peer
from config.configuration import Configuration, Upstream

Wanted = Mapping[str, int]  # by model: the version that a service is to run, or a later one
Ready = Mapping[tuple[str, str], list[Peer]]  # by service and part


def wanted_versions(configuration: Configuration) -> dict[str, dict[str, int]]:
    """By service: the versions that the configuration names; services without any are left out."""
    named = {s.name: {m.name: m.ver for m in s.backend.models if m.ver > 0} for s in configuration.svcs}
    return {service: models for service, models in named.items() if models}


def holds(upstream: Upstream, wanted: Wanted) -> bool:
    """Whether an upstream holds the weights that are wanted, or later ones."""
    loaded = {model.name: model.ver for model in upstream.models}
    return all(loaded.get(name, 0) >= version for name, version in wanted.items())


def with_wanted(ready: Ready, wanted: Mapping[str, Wanted]) -> dict[tuple[str, str], list[Peer]]:
    """The ready upstreams, of a service that is to run other weights only those that hold them.

    As long as a part of the service has none that does, all of its upstreams go on: a prompt that was read
    with one version's weights is of no use to another's.
    """
    found = dict(ready)
    for service, models in wanted.items():
        parts = [part for part in ready if part[0] == service and ready[part]]
        newer = {part: [p for p in ready[part] if holds(p.entry, models)] for part in parts}
        if all(newer.values()):
            found |= newer
    return found
