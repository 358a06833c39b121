"""Defines all kinds of trouble that the bench lists (`fleetbench kinds`), each with every variant.

A site names only some of them in its days, but any may occur on any deployment. Kinds that affect the control
state are in `control.py`; this module has those of clients, upstreams and balancers.
"""

from __future__ import annotations

from mastturn.days.control import CONTROL_KINDS
from mastturn.days.kinds import Kind, MachineKind, MassKillKind, RollingRestartKind

_DURATION = {"for_s": (0.3, 8.0)}
_AFFECTED_SHARE = {"share": (0.1, 0.6)}
_REQUEST_SHARE = {"x": (0.02, 0.9)}  # share of the requests or responses that are affected

_CLIENT_KINDS = (
    Kind("burst", ranges={"x": (1.4, 3.0), "for_s": (2.0, 11.0)}, needs="class"),
    Kind("retry_abuse", ranges=_DURATION | _AFFECTED_SHARE | {"x": (1.0, 4.0)}),
    Kind("give_up", ranges=_DURATION | _AFFECTED_SHARE | {"x": (50.0, 800.0)}),
)
_ANSWER_KINDS = (
    Kind("answer_lost", ranges=_DURATION | _AFFECTED_SHARE | _REQUEST_SHARE, hows=("", "reset")),
    Kind(
        "garble",
        ranges=_DURATION | _AFFECTED_SHARE | _REQUEST_SHARE,
        hows=("", "extra", "extra late", "unframed", "unframed extra", "unframed extra late", "early", "rot"),
    ),
    Kind(
        "srv_grey",
        ranges=_DURATION | {"share": (0.1, 0.4), "x": (0.2, 0.9)},
        hows=("errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone", "hang one_zone"),
    ),
)
_UPSTREAM_KINDS = (
    Kind(
        "srv_crash",
        ranges=_DURATION | {"share": (0.1, 0.35)},
        hows=("", "dark", "gone", "all", "dark all", "across", "dark across"),
        needs="service",
    ),
    Kind("release", True, {"share": (0.2, 0.8), "gap_s": (0.4, 1.5)}, {"x": (1, 2)}),
    Kind("srv_slow", ranges=_DURATION | {"share": (0.1, 0.5), "x": (2.0, 8.0)}, needs="service"),
    Kind(
        "srv_cut",
        ranges=_DURATION | {"share": (0.1, 0.4)},
        hows=("", "fronts", "some", "some lossy", "one_way", "reset", "fronts one_way", "fronts reset"),
    ),
    Kind("replace_with_reuse", ranges={"share": (0.1, 0.3)}, hows=("", "drain", "dark")),
    Kind("scale_out", True, {"share": (0.1, 0.5), "gap_s": (0.5, 3.0)}),
    Kind("scale_in", True, {"share": (0.1, 0.3)}, hows=("", "spot")),
    Kind("kv_slow", ranges=_DURATION | {"share": (0.2, 1.0), "x": (4.0, 40.0)}, needs="service"),
    Kind("handle_short", ranges=_DURATION | {"share": (0.2, 1.0)}, needs="service"),
)
_BALANCER_KINDS = (
    MachineKind("node_kill", ranges=_DURATION | {"share": (0.1, 0.4)}, hows=("", "power")),
    MachineKind("node_freeze", ranges=_DURATION | {"share": (0.1, 0.4)}),
    MachineKind("node_slow", ranges=_DURATION | {"share": (0.1, 0.5), "x": (2.0, 10.0)}),
    RollingRestartKind("roll_term", True, {"share": (0.3, 1.0), "gap_s": (0.7, 1.6)}, hows=("", "busy")),
    MassKillKind("herd_kill", ranges={"share": (0.3, 0.9), "for_s": (0.3, 3.0)}, hows=("", "power")),
    Kind(
        "node_cut", ranges=_DURATION | {"share": (0.1, 0.5)}, hows=("", "all", "servers", "reset", "refuse")
    ),
    Kind("hup", True, {"share": (0.3, 1.0), "gap_s": (0.0, 1.0)}),
    Kind("reset_conns", ranges={"share": (0.1, 0.6), "x": (0.2, 1.0)}),
)
LISTED_KINDS: tuple[Kind, ...] = (
    *_CLIENT_KINDS,
    *_ANSWER_KINDS,
    *_ANSWER_KINDS,
    *_UPSTREAM_KINDS,
    *_BALANCER_KINDS,
    *CONTROL_KINDS,
)
