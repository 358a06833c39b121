"""The sending side: attached children receive all updates and report who is present below them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dissemination.latest_updates import LatestUpdates
from dissemination.list_changes import digest_of, unchanged_list
from dissemination.messages import (
    Attach,
    ConfigurationUpdate,
    Hello,
    LoadStep,
    LoadUpdate,
    MembershipUpdate,
    PresenceReport,
    PresentBalancer,
    RelayAttach,
    UpstreamChange,
    UpstreamListUpdate,
)
from transport.wire import STEPS_EDITION, Link, MessageKinds, compress_frame

COMPRESSIBLE = ConfigurationUpdate | UpstreamListUpdate | MembershipUpdate  # kinds worth compressing


@dataclass(slots=True)
class _Child:
    """An attached receiver: its request, who is present below it, and the list that it has."""

    request: Attach
    present: tuple[PresentBalancer, ...]
    takes_steps: bool
    digest: bytes


class Feed:
    """The children that receive updates from this process."""

    def __init__(self, latest: LatestUpdates, kinds: MessageKinds, on_change: Callable[[], None]) -> None:
        """`on_change`: called when the balancers present below this process change."""
        self._latest, self._kinds, self._on_change = latest, kinds, on_change
        self._children: dict[Link, _Child] = {}
        self._hellos: dict[Link, Hello] = {}
        # By type: the last message, its frame, and that compressed.
        self._frame_cache: dict[type, tuple[Any, bytes, bytes]] = {}
        self._list_digest: tuple[UpstreamListUpdate | None, bytes] = None, b""

    def on_hello(self, link: Link, message: Hello) -> None:
        """Store a peer's edition and the digest of its list, for its `Attach` that follows."""
        self._hellos[link] = message

    def attach(self, link: Link, message: Attach) -> None:
        """Add a child, and send it the updates that it lacks."""
        for old, child in list(self._children.items()):
            if child.request.node == message.node and old is not link:
                del self._children[old]  # it is attached over a new connection
                old.close()
        self._add(link, message, (PresentBalancer(message.node, message.ip, message.zone),))

    def attach_relay(self, link: Link, message: RelayAttach) -> None:
        """Add a control process that relays updates to balancers attached to it."""
        request = Attach(message.identity, "", "", message.ver, message.list_epoch, message.list_number)
        self._add(link, request, message.present)

    def _add(self, link: Link, message: Attach, present: tuple[PresentBalancer, ...]) -> None:
        hello = self._hellos.get(link)
        takes_steps = hello is not None and hello.edition >= STEPS_EDITION
        child = _Child(message, present, takes_steps, hello.digest if hello is not None else b"")
        self._children[link] = child
        for update in self._latest.updates_since(
            message.ver, (message.list_epoch, message.list_number), takes_steps
        ):
            if isinstance(update, UpstreamListUpdate):
                self._send_list(link, child, update, None)
            else:
                link.send_bytes(self._frame(update, takes_steps))
        self._on_change()

    def on_roll(self, link: Link, message: PresenceReport) -> None:
        """Store who is present below a child."""
        child = self._children.get(link)
        if child is not None and child.present != message.present:
            child.present = message.present
            self._on_change()

    def on_closed(self, link: Link) -> None:
        """Remove the child of a closed connection."""
        self._hellos.pop(link, None)
        if self._children.pop(link, None) is not None:
            self._on_change()

    def broadcast(self, message: Any) -> None:
        """Send a message to all children; load steps only to those that take them."""
        for link, child in list(self._children.items()):
            if isinstance(message, LoadStep) and not child.takes_steps:
                continue
            link.send_bytes(self._frame(message, child.takes_steps))

    def broadcast_list(self, update: UpstreamListUpdate, change: UpstreamChange | None) -> None:
        """Send a list to all children; `change`: its difference from the previous list."""
        for link, child in list(self._children.items()):
            self._send_list(link, child, update, change)

    def _send_list(
        self, link: Link, child: _Child, update: UpstreamListUpdate, change: UpstreamChange | None
    ) -> None:
        """Send a child the smallest message that brings its list up to date."""
        digest = self._digest(update)
        if child.takes_steps and child.digest == digest:
            link.send(unchanged_list(update))
        elif child.takes_steps and change is not None and child.digest == change.base:
            link.send(change)
        else:
            link.send_bytes(self._frame(update, child.takes_steps))
        child.digest = digest

    def broadcast_full_loads(self, message: LoadUpdate) -> None:
        """Send the load sums to children of an earlier edition."""
        for link, child in list(self._children.items()):
            if not child.takes_steps:
                link.send(message)

    def has_earlier_editions(self) -> bool:
        """Return whether any child is of an edition without load steps."""
        return any(not child.takes_steps for child in self._children.values())

    def _frame(self, message: Any, takes_steps: bool) -> bytes:
        """Return the frame of a message, encoded once for all children, and compressed if they take that."""
        cached = self._frame_cache.get(type(message))
        if cached is None or cached[0] is not message:
            frame = self._kinds.encode(message)
            compressed = compress_frame(frame) if isinstance(message, COMPRESSIBLE) else frame
            cached = self._frame_cache[type(message)] = message, frame, compressed
        return cached[2] if takes_steps else cached[1]

    def _digest(self, update: UpstreamListUpdate) -> bytes:
        if self._list_digest[0] is not update:
            self._list_digest = update, digest_of(update)
        return self._list_digest[1]

    def redirect_all(self, message: Any) -> None:
        """Send a redirect to all children and remove them."""
        self.broadcast(message)
        self._children.clear()

    def present(self) -> dict[str, PresentBalancer]:
        """Return all balancers present below this process, by node."""
        return {p.node: p for child in self._children.values() for p in child.present}

    def child_nodes(self) -> list[str]:
        """Return the nodes of the attached children."""
        return [child.request.node for child in self._children.values()]

    def drop_silent(self, now: float, silent_s: float) -> None:
        """Remove children that were silent for too long; a live child sends regularly."""
        for link in list(self._children):
            if now - link.last_received_at > silent_s:
                link.close()
                self.on_closed(link)
