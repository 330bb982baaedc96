"""Takes one mechanism of the relay or of orders out of a copy of the project.

What it's worth is the difference between days played by the copy and by the whole.
The product has no second path for it: a mechanism is taken out by replacing a line
of the copy's sources.
"""

import sys
from dataclasses import dataclass
from pathlib import Path

__all__ = ["ABLATIONS", "Ablation", "ablate", "main"]


@dataclass(frozen=True, slots=True)
class Ablation:
    """A mechanism, and the one place whose text takes it out."""

    name: str
    # Below the copy's folder.
    path: str
    old: str
    new: str


ABLATIONS = (
    Ablation(
        "refusal by the predicted first token",
        "src/pepperstep/relay/relay.py",
        "        if not target or excess <= 0:\n",
        "        if True:\n",
    ),
    Ablation(
        "ranks by the shared part",
        "src/pepperstep/relay/choice.py",
        "cost = _equivalent_tokens(work) + rank_cost_share * shared * rank\n",
        "cost = _equivalent_tokens(work)\n",
    ),
    Ablation(
        "requests under way",
        "src/pepperstep/relay/choice.py",
        "    return work.unread + _TOKENS_PER_REQUEST * work.requests\n",
        "    return work.unread\n",
    ),
    Ablation(
        "shared load",
        "src/pepperstep/relay/shared_load.py",
        "        if owner is None:\n",
        "        if True:\n",
    ),
    Ablation(
        "directory at entry hosts",
        "deploy/system.toml",
        'serves = ["edge", "directory"]',
        'serves = ["edge"]',
    ),
    Ablation(
        "short tries to connect",
        "src/pepperstep/adapters/grpc_peers.py",
        '    ("grpc.min_reconnect_backoff_ms", 300),\n',
        "",
    ),
    Ablation(
        "pause after failures",
        "src/pepperstep/relay/choice.py",
        "state.paused_until = self._now() + min(pause, _MAX_PAUSE_SECONDS)\n",
        "state.paused_until = 0.0\n",
    ),
    Ablation(
        "steady upstreams by the mean",
        "src/pepperstep/coordination/scaling.py",
        "    needed_on_average = max(math.ceil(demand.mean), _MIN_UPSTREAMS)\n",
        "    needed_on_average = needed\n",
    ),
    Ablation(
        "what is unused at the start is given back at once",
        "src/pepperstep/coordination/autoscaler.py",
        "        state.is_unused = holder.is_first and not demand.peak\n",
        "        state.is_unused = False\n",
    ),
    Ablation(
        "least of reclaimable upstreams",
        "src/pepperstep/coordination/scaling.py",
        "_MIN_RECLAIMABLE_SHARE = 0.5\n",
        "_MIN_RECLAIMABLE_SHARE = 0.0\n",
    ),
    Ablation(
        "steady upstreams ahead of the next loss",
        "src/pepperstep/coordination/scaling.py",
        "_missing_after_next_loss(\n"
        "            needed_on_average, expected_counts, are_losses_clustered\n"
        "        )\n",
        "needed_on_average - sum(expected_counts)\n",
    ),
    Ablation(
        "growth of a host's part of a quota",
        "src/pepperstep/relay/quotas.py",
        "_MAX_SHARE_GROWTH = 2.0\n",
        "_MAX_SHARE_GROWTH = 1.0\n",
    ),
    Ablation(
        "wait for what a host that starts doesn't know",
        "src/pepperstep/relay/relay.py",
        "_STARTUP_WAIT_SECONDS = 0.8\n",
        "_STARTUP_WAIT_SECONDS = 0.001\n",
    ),
)


def ablate(name: str, folder: Path) -> None:
    """Take the mechanism out of the copy in `folder`.

    Raise `KeyError` for an unknown one, `ValueError` unless its place is there once.
    """
    [ablation] = [each for each in ABLATIONS if each.name == name] or [None]
    if ablation is None:
        raise KeyError(name)
    path = folder / ablation.path
    text = path.read_text()
    if text.count(ablation.old) != 1:
        raise ValueError(f"{path} doesn't have the place of {name!r} once.")
    path.write_text(text.replace(ablation.old, ablation.new))


def main(arguments: list[str]) -> None:
    """Take the mechanism that is named out of the copy in the folder that is named."""
    if len(arguments) != 3:
        names = "\n  ".join(each.name for each in ABLATIONS)
        sys.exit(
            f"usage: pepperstep-measure ablation NAME FOLDER; NAME is one of\n  {names}"
        )
    try:
        ablate(arguments[1], Path(arguments[2]))
    except KeyError:
        sys.exit(f"There is no mechanism {arguments[1]!r}.")
    except (OSError, ValueError) as error:
        sys.exit(str(error))
