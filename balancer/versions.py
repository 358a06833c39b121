"""Versions of models' weights: which ones the configuration requires, and which upstreams have them."""

from __future__ import annotations

from collections.abc import Mapping

from balancer.peer import Peer
from config.configuration import Configuration, Upstream

WantedVersions = Mapping[str, int]  # by model: the lowest version that a service should run
ReadyPeers = Mapping[tuple[str, str], list[Peer]]  # by service and phase


def wanted_versions(configuration: Configuration) -> dict[str, dict[str, int]]:
    """Return the required versions by service; services without any are left out."""
    named = {s.name: {m.name: m.ver for m in s.backend.models if m.ver > 0} for s in configuration.svcs}
    return {service: models for service, models in named.items() if models}


def has_versions(upstream: Upstream, wanted: WantedVersions) -> bool:
    """Return whether an upstream has the required versions or later ones."""
    loaded = {model.name: model.ver for model in upstream.models}
    return all(loaded.get(name, 0) >= version for name, version in wanted.items())


def with_wanted_versions(
    ready: ReadyPeers, wanted: Mapping[str, WantedVersions]
) -> dict[tuple[str, str], list[Peer]]:
    """Return the ready upstreams, of services with required versions only those that have them.

    While any phase of a service has no such upstream, all of the service's upstreams stay in use: a prompt
    prefilled with one version's weights is of no use to another's.
    """
    filtered = dict(ready)
    for service, models in wanted.items():
        keys = [key for key in ready if key[0] == service and ready[key]]
        newer = {key: [p for p in ready[key] if has_versions(p.entry, models)] for key in keys}
        if all(newer.values()):
            filtered |= newer
    return filtered
