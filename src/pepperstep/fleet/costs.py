"""Hourly rates and accumulated costs of rented hosts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pepperstep.ports.cloud import CloudHost, PriceClass

__all__ = ["CostAccount", "CostKey", "hourly_rates"]

_SECONDS_PER_HOUR = 3600.0


@dataclass(frozen=True, slots=True, order=True)
class CostKey:
    """Key of a cost: a deployment's hosts of one price class."""

    deployment: str
    price_class: PriceClass


def hourly_rates(hosts: Iterable[CloudHost]) -> dict[CostKey, float]:
    """Return the total price an hour of the hosts, by deployment and price class."""
    rates: dict[CostKey, float] = {}
    for host in hosts:
        key = CostKey(host.deployment, host.price_class)
        rates[key] = rates.get(key, 0.0) + host.price
    return rates


class CostAccount:
    """Accumulates costs from hourly rates that change over time."""

    def __init__(self) -> None:
        self.rates: dict[CostKey, float] = {}
        self.totals: dict[CostKey, float] = {}
        # Unix time since which the rates apply, 0 before the first rates.
        self.time = 0.0

    def set_rates(self, rates: Mapping[CostKey, float], time: float) -> None:
        """Add the costs up to Unix time `time`, then replace the rates."""
        self.totals = self.totals_at(time)
        self.rates = {key: rate for key, rate in rates.items() if rate}
        self.time = max(self.time, time)

    def totals_at(self, time: float) -> dict[CostKey, float]:
        """Return the costs accumulated up to Unix time `time`."""
        hours = max(0.0, time - self.time) / _SECONDS_PER_HOUR
        totals = dict(self.totals)
        for key, rate in self.rates.items():
            totals[key] = totals.get(key, 0.0) + rate * hours
        return totals
