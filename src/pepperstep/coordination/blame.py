"""Which prompt parts are to blame for the runs that broke.

A crash breaks all that its upstream ran or queued, so sound parts are lost beside the
one that caused it. The one to blame is in the most crashes, and explains those of the
others. Sound parts are told from it by their answers, which this module doesn't see.
"""

from collections.abc import Mapping, Set

from pepperstep.coordination.records import UpstreamKey

__all__ = ["MIN_LOSSES", "find_blamed"]

# Losses from which a feature is blamed. One or two may be due to failures of the
# upstreams.
MIN_LOSSES = 3
# Rounds of the losses. Upstreams that fail together break many parts in one round.
_MIN_ROUNDS = 2
# Losses from which a part is blamed although another one explains them as well.
_MIN_RIVALLED_LOSSES = 5
# Difference in losses that doesn't tell two parts apart.
_MARGIN = 1


def find_blamed(
    losses: Mapping[int, Mapping[UpstreamKey, int]], explained: Set[UpstreamKey]
) -> set[int]:
    """Return the parts to blame.

    `losses` are the rounds of each part's losses by upstream. `explained` are the
    upstreams whose crashes have another explanation.
    """
    explained = set(explained)
    blamed: set[int] = set()
    while True:
        unexplained = _unexplained(losses, explained)
        if not unexplained:
            return blamed
        most = max(map(len, unexplained.values()))
        leaders = {
            part: upstreams
            for part, upstreams in unexplained.items()
            if len(upstreams) >= most - _MARGIN
        }
        for part, upstreams in leaders.items():
            is_clear = len(upstreams) >= _MIN_RIVALLED_LOSSES
            if is_clear or not _has_rival(part, leaders):
                blamed.add(part)
        explained.update(*leaders.values())


def _unexplained(
    losses: Mapping[int, Mapping[UpstreamKey, int]], explained: Set[UpstreamKey]
) -> dict[int, set[UpstreamKey]]:
    """Return the parts with enough unexplained losses, and the upstreams of these."""
    unexplained = {}
    for part, rounds in losses.items():
        upstreams = rounds.keys() - explained
        if len(upstreams) < MIN_LOSSES:
            continue
        if len({rounds[upstream] for upstream in upstreams}) >= _MIN_ROUNDS:
            unexplained[part] = upstreams
    return unexplained


def _has_rival(part: int, leaders: Mapping[int, Set[UpstreamKey]]) -> bool:
    """Whether another part explains too many of a part's losses to blame it."""
    return any(
        len(leaders[part] - upstreams) < MIN_LOSSES
        for other, upstreams in leaders.items()
        if other != part
    )
