"""Plots of the figures, one file for each scenario."""

from collections.abc import Mapping
from pathlib import Path

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

from measure.fleet_day import DayResult  # noqa: E402
from measure.results import Result  # noqa: E402

__all__ = ["draw"]

_SIZE = (11.0, 4.0)
_PERCENTILES = ("p50", "p95", "p99")
# So that the same figures give the same file.
_METADATA = {"Date": None}


def draw(
    results: Mapping[str, Mapping[str, Result | DayResult]], folder: Path
) -> list[str]:
    """Write an SVG file for each scenario and return the files' names."""
    mpl.rcParams["svg.hashsalt"] = "pepperstep"
    names = []
    for scenario, policies in results.items():
        figure = _draw_days(policies) if scenario == "fleet" else _draw_runs(policies)
        figure.suptitle(scenario)
        figure.tight_layout()
        names.append(f"policies-{scenario}.svg")
        figure.savefig(folder / names[-1], metadata=_METADATA)
        plt.close(figure)
    return names


def _draw_runs(policies: Mapping[str, Result]):
    """Draw times to first tokens by class, and the tokens computed again."""
    partners = list(next(iter(policies.values())).partners)
    figure, axes = plt.subplots(1, len(partners) + 1, figsize=_SIZE)
    for axis, partner in zip(axes, partners, strict=False):
        _draw_first_tokens(axis, policies, partner)
    shares = [100 * result.goodput_share for result in policies.values()]
    axes[-1].bar(list(policies), shares)
    axes[-1].set_ylabel("goodput, % of all slot time")
    axes[-1].tick_params(axis="x", rotation=30)
    return figure


def _draw_first_tokens(axis, policies: Mapping[str, Result], partner: str) -> None:
    classes = list(next(iter(policies.values())).partners[partner].by_class)
    labels = [f"{name} {p}" for name in classes for p in _PERCENTILES]
    for policy, result in policies.items():
        by_class = result.partners[partner].by_class
        values = [
            by_class[name].first_token[p] if name in by_class else 0.0
            for name in classes
            for p in _PERCENTILES
        ]
        axis.plot(labels, values, marker="o", label=policy)
    axis.set_title(partner)
    axis.set_ylabel("first token, ms")
    axis.set_yscale("log")
    axis.tick_params(axis="x", rotation=60)
    axis.legend(fontsize="x-small")


def _draw_days(policies: Mapping[str, DayResult]):
    """Draw the cost of the day, and the share of time with enough slots."""
    partners = list(next(iter(policies.values())).partners)
    figure, axes = plt.subplots(1, 2, figsize=_SIZE)
    for partner in partners:
        days = [result.partners[partner] for result in policies.values()]
        names = list(policies)
        axes[0].plot(names, [day.cost for day in days], "o", label=partner)
        held = [100 * day.held_wave_share for day in days]
        axes[1].plot(names, held, "o", label=partner)
    axes[0].set_ylabel("cost of the day")
    axes[0].set_ylim(bottom=0)
    axes[1].set_ylabel("enough slots after waves, % of time")
    axes[0].legend()
    return figure
