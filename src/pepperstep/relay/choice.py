"""Placement: choosing the upstream that gets a request."""

import math
import random
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from pepperstep.coordination import (
    Announcement,
    ServiceWork,
    UpstreamCatalog,
    UpstreamKey,
)
from pepperstep.entities.routes import Service
from pepperstep.ports.relaying import RequestFacts
from pepperstep.relay.backoff import Backoff
from pepperstep.relay.load import LoadMeter
from pepperstep.relay.pools import Pools
from pepperstep.relay.prompts import PrefillRate, PrefillTracker
from pepperstep.relay.shared_load import UpstreamWork
from pepperstep.scheduling.client import Scheduled

__all__ = ["Choice", "Chooser", "PeerWork", "VersionSelector"]

# Pause after an upstream failed, doubled with each consecutive failure. A crashed
# upstream either restarts within seconds or is gone for good.
_INITIAL_PAUSE_SECONDS = 0.25
_MAX_PAUSE_SECONDS = 4.0
# Fraction of a prompt's shared tokens assumed to be cached at the upstream that all
# hosts rank first for them, even if this host hasn't sent them there recently.
_PREFERRED_CACHED_SHARE = 0.6
# Cost of one in-flight request, expressed in unread prompt tokens.
_TOKENS_PER_REQUEST = 1_500
# Cost of each rank below the first, as a fraction of the prompt's shared tokens. Ranks
# above `_MAX_RANK` cost the same as `_MAX_RANK`.
_RANK_COST_SHARE = 0.15
_MAX_RANK = 2
# Cost of each rank where other hosts' work is known: a cached prefix is worth more
# then.
_RANK_COST_SHARE_WITH_PEER_WORK = 1.0
# Upstreams that are compared by all hosts' work, plus as many more if all of these are
# busy. A few random candidates are nearly as good as all of them, and keep hosts that
# choose at the same moment from all picking the least loaded upstream.
_COMPARED_UPSTREAMS = 3
# An upstream is busy if prefilling its unread tokens takes longer than this.
_BUSY_PREFILL_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream chosen for a request, with its predicted time to first token."""

    upstream: Announcement
    # Prompt tokens that the upstream is expected to prefill.
    missing: int = 0
    # Predicted seconds until the first token, 0 if unknown.
    first_token: float = 0.0
    # Number of upstreams that it was chosen from.
    candidates: int = 1
    # The owner's placement, None if this host chose by itself.
    scheduled: Scheduled | None = None


class PeerWork(Protocol):
    """Source of other entry hosts' work at upstreams."""

    async def ask(
        self, upstreams: Iterable[UpstreamKey]
    ) -> dict[UpstreamKey, UpstreamWork]:
        """Return other hosts' work by upstream, omitting upstreams without data."""

    def report_unread(self, upstream: UpstreamKey, unread: int) -> None:
        """Report how many unread tokens this host has at an upstream."""


class VersionSelector(Protocol):
    """Restricts requests to some software versions of a service."""

    def select(
        self,
        service: str,
        upstreams: list[Announcement],
        facts: RequestFacts,
        tried: Collection[UpstreamKey],
    ) -> list[Announcement]:
        """Return the upstreams of a service that a request may be sent to."""

    def select_bound(
        self, service: str, upstreams: list[Announcement], software: str
    ) -> list[Announcement]:
        """Return the upstreams that may go on with a stream of a software version."""


class _AllVersions:
    """Selector without roll-outs."""

    def select(
        self,
        service: str,
        upstreams: list[Announcement],
        facts: RequestFacts,
        tried: Collection[UpstreamKey],
    ) -> list[Announcement]:
        """Return all upstreams."""
        return upstreams

    def select_bound(
        self, service: str, upstreams: list[Announcement], software: str
    ) -> list[Announcement]:
        """Return the upstreams of the version."""
        return [each for each in upstreams if each.software == software]


class _NoPeerWork:
    """Source without data on other hosts' work."""

    async def ask(
        self, upstreams: Iterable[UpstreamKey]
    ) -> dict[UpstreamKey, UpstreamWork]:
        """Return an empty mapping."""
        return {}

    def report_unread(self, upstream: UpstreamKey, unread: int) -> None:
        """Discard the report."""


@dataclass(slots=True)
class _UpstreamState:
    """In-flight requests and recent failures of this host at an upstream."""

    in_flight: int = 0
    failures: int = 0
    paused_until: float = field(default=0.0)


class Chooser:
    """Chooses upstreams by this host's own requests and other hosts' reported work."""

    def __init__(
        self,
        catalog: UpstreamCatalog,
        pools: Pools,
        zone: str,
        host_count: Callable[[], int],
        now: Callable[[], float],
        rng: random.Random,
        prompts: PrefillTracker | None = None,
        peer_work: PeerWork | None = None,
        versions: VersionSelector | None = None,
        backoff: Backoff | None = None,
    ):
        self._catalog = catalog
        self._pools = pools
        self._host_count = host_count
        self._prompts = prompts or PrefillTracker(now)
        self._peer_work = peer_work or _NoPeerWork()
        self._versions = versions or _AllVersions()
        self._backoff = backoff or Backoff(now)
        self._prefill_rates: dict[str, PrefillRate] = {}
        self._zone = zone
        self._now = now
        self._rng = rng
        self._states: dict[UpstreamKey, _UpstreamState] = {}
        self._meters: dict[str, LoadMeter] = {}

    def works(self) -> dict[str, ServiceWork]:
        """Return the mean work that this host gives upstreams, by service."""
        now = self._now()
        return {service: meter.work(now) for service, meter in self._meters.items()}

    async def choose(
        self,
        service: Service,
        facts: RequestFacts,
        tried: Collection[UpstreamKey],
        software: str | None = None,
    ) -> Choice | None:
        """Return an upstream for a request, or None if none can take it.

        With `software`, only upstreams of this version can.
        """
        candidates = self.candidates(service, facts, tried, software)
        if not candidates:
            return None
        if not facts.prompt_parts:
            chosen = min(candidates, key=self._load)
            return Choice(chosen, candidates=len(candidates))
        ranks = self._rank(candidates, facts)
        peer_work = await self._ask_peer_work(candidates, ranks)
        # Upstreams may have gone or filled up during the query.
        candidates = self.candidates(service, facts, tried, software)
        if not candidates:
            return None
        return self._choose_by_prompt(service, candidates, facts, ranks, peer_work)

    def candidates(
        self,
        service: Service,
        facts: RequestFacts,
        tried: Collection[UpstreamKey],
        software: str | None = None,
    ) -> list[Announcement]:
        """Return upstreams that can take a request, without paused ones if possible.

        With `software`, only upstreams of this version can.
        """
        candidates = [
            each
            for each in self._select(service, facts, tried, software)
            if each.key not in tried
            and self._pools.has_room(each.key, service.max_connections)
        ]
        healthy = [each for each in candidates if not self._is_paused(each.key)]
        return healthy or candidates

    def shortest_hold(self, service: Service, software: str | None = None) -> float:
        """Return the seconds until the first upstream's hold ends, 0 if one is free."""
        usable = self._catalog.usable(service.name)
        if software is not None:
            usable = self._versions.select_bound(service.name, usable, software)
        return self._backoff.shortest_remaining(each.key for each in usable)

    def has_version(self, service: Service, software: str) -> bool:
        """Whether a version of the service has upstreams that take requests."""
        usable = self._catalog.usable(service.name)
        return bool(self._versions.select_bound(service.name, usable, software))

    def work_at(self, upstream: UpstreamKey) -> UpstreamWork:
        """Return this host's work at an upstream."""
        state = self._states.get(upstream)
        requests = 0 if state is None else state.in_flight
        return UpstreamWork(self._prompts.unread_of(upstream), requests)

    def record_demand(self, choice: Choice) -> None:
        """Count the prefill time that a request needs, whether or not it's admitted."""
        if not choice.missing:
            return
        service = choice.upstream.service
        seconds = choice.missing / self._prefill_rate_of(service).tokens_per_second
        self._meter_of(service).add_reading(seconds, self._now())

    def record_refused(
        self, candidates: Sequence[Announcement], facts: RequestFacts
    ) -> None:
        """Count the prefill time that a refused request needs at its best candidate."""
        if facts.prompt_parts:
            missing = min(
                self._prompts.missing_tokens(each.key, facts.prompt_parts)
                for each in candidates
            )
            missing = min(missing, _missing_at_preferred(facts))
            self.record_demand(Choice(candidates[0], missing))

    def begin(self, choice: Choice, facts: RequestFacts) -> None:
        """Count a request as in flight at its upstream."""
        upstream = choice.upstream
        self._state_of(upstream.key).in_flight += 1
        self._meter_of(upstream.service).begin(self._now())
        if facts.prompt_parts:
            self._prompts.begin(upstream.key, facts.prompt_parts, choice.missing)
            self._report_unread(upstream.key)

    def record_prefill(self, choice: Choice, seconds: float | None) -> None:
        """Record that a prompt's prefill has ended.

        `seconds` is the time to the first token, None if no token came.
        """
        self._prompts.end(choice.upstream.key, choice.missing)
        self._report_unread(choice.upstream.key)
        if seconds is not None:
            prefill_rate = self._prefill_rate_of(choice.upstream.service)
            prefill_rate.update(choice.missing, seconds)

    def end(self, upstream: Announcement, is_healthy: bool) -> None:
        """Count a request as ended; pause the upstream if it was unhealthy."""
        self._meter_of(upstream.service).end(self._now())
        state = self._state_of(upstream.key)
        state.in_flight -= 1
        if is_healthy:
            state.failures = 0
            return
        pause = _INITIAL_PAUSE_SECONDS * 2 ** min(state.failures, 8)
        state.failures += 1
        state.paused_until = self._now() + min(pause, _MAX_PAUSE_SECONDS)

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop the state of an upstream that is gone."""
        self._prompts.forget(upstream)
        state = self._states.get(upstream)
        if state is not None and not state.in_flight:
            del self._states[upstream]

    def _select(
        self,
        service: Service,
        facts: RequestFacts,
        tried: Collection[UpstreamKey],
        software: str | None,
    ) -> list[Announcement]:
        """Return upstreams of permitted versions that aren't held.

        If all upstreams of the selected version are held, it counts as failed and
        the selection is repeated without it.
        """
        usable = self._catalog.usable(service.name)
        if software is not None:
            selected = self._versions.select_bound(service.name, usable, software)
            return [
                each
                for each in selected
                if not self._backoff.is_held(each.key)
                and not self._pools.may_have_restarted(each.key)
            ]
        selected = self._versions.select(service.name, usable, facts, tried)
        if selected and self._backoff.shortest_remaining(each.key for each in selected):
            failed = {each.key for each in selected}
            selected = self._versions.select(service.name, usable, facts, failed)
        return [each for each in selected if not self._backoff.is_held(each.key)]

    async def _ask_peer_work(
        self, candidates: list[Announcement], ranks: dict[str, int]
    ) -> dict[UpstreamKey, UpstreamWork]:
        """Return other hosts' work at a few upstreams, chosen by rank.

        If all of the first few are busy, as when many prompts share one prefix,
        some more are queried.
        """
        shuffled = self._rng.sample(candidates, len(candidates))
        shuffled.sort(key=lambda each: min(ranks.get(each.id, _MAX_RANK), _MAX_RANK))
        first, rest = shuffled[:_COMPARED_UPSTREAMS], shuffled[_COMPARED_UPSTREAMS:]
        peer_work = await self._peer_work.ask([each.key for each in first])
        if rest and peer_work and all(self._is_busy(each, peer_work) for each in first):
            peer_work |= await self._peer_work.ask(
                [each.key for each in rest[:_COMPARED_UPSTREAMS]]
            )
        return peer_work

    def _is_busy(
        self, upstream: Announcement, peer_work: Mapping[UpstreamKey, UpstreamWork]
    ) -> bool:
        tokens = _equivalent_tokens(self._total_work_at(upstream.key, peer_work))
        prefill_rate = self._prefill_rate_of(upstream.service).tokens_per_second
        return tokens > _BUSY_PREFILL_SECONDS * prefill_rate

    def _choose_by_prompt(
        self,
        service: Service,
        candidates: list[Announcement],
        facts: RequestFacts,
        ranks: dict[str, int],
        peer_work: Mapping[UpstreamKey, UpstreamWork],
    ) -> Choice:
        """Return the upstream with the lowest cost and its predicted first token.

        The cost is the upstream's work plus a penalty for its rank. All hosts rank
        upstreams identically by the prompt's shared prefix, which gathers prompts with
        the same prefix at a few upstreams. Work outweighs rank: if hosts followed
        cached prefixes alone, prompts would queue for seconds while other upstreams
        are idle. If other hosts' work is known for some upstreams, only these are
        compared.
        """
        known = [each for each in candidates if each.key in peer_work]
        rank_cost_share = _RANK_COST_SHARE_WITH_PEER_WORK if known else _RANK_COST_SHARE
        shared = sum(part.tokens for part in facts.prompt_parts[:-1])
        compared = known or candidates
        cheapest = compared[0]
        lowest_cost = math.inf
        # Random order, so that ties aren't always won by the first upstream.
        for upstream in self._rng.sample(compared, len(compared)):
            rank = min(ranks.get(upstream.id, 0), _MAX_RANK)
            work = self._total_work_at(upstream.key, peer_work)
            cost = _equivalent_tokens(work) + rank_cost_share * shared * rank
            if cost < lowest_cost:
                cheapest, lowest_cost = upstream, cost
        return self._predict(
            service, cheapest, facts, ranks, peer_work, len(candidates)
        )

    def _predict(
        self,
        service: Service,
        upstream: Announcement,
        facts: RequestFacts,
        ranks: dict[str, int],
        peer_work: Mapping[UpstreamKey, UpstreamWork],
        count: int,
    ) -> Choice:
        """Return the choice with its predicted time to first token.

        Where other hosts' work is unknown, each is assumed to have as many unread
        tokens as this host, spread evenly over the candidates.
        """
        missing = self._prompts.missing_tokens(upstream.key, facts.prompt_parts)
        if ranks.get(upstream.id) == 0:
            missing = min(missing, _missing_at_preferred(facts))
        if upstream.key in peer_work:
            unread = self._total_work_at(upstream.key, peer_work).unread
        else:
            unreported = (self._host_count() - 1) * self._prompts.unread / count
            unread = self._prompts.unread_of(upstream.key) + unreported
        prefill_rate = self._prefill_rate_of(service.name)
        return Choice(
            upstream, missing, prefill_rate.seconds_for(unread + missing), count
        )

    def _total_work_at(
        self, upstream: UpstreamKey, peer_work: Mapping[UpstreamKey, UpstreamWork]
    ) -> UpstreamWork:
        """Return all hosts' work at an upstream.

        If other hosts' work is unknown, each is assumed to have as many unread tokens
        there as this host.
        """
        own = self.work_at(upstream)
        if upstream in peer_work:
            return own + peer_work[upstream]
        return UpstreamWork(self._host_count() * own.unread, own.requests)

    def _report_unread(self, upstream: UpstreamKey) -> None:
        self._peer_work.report_unread(upstream, self._prompts.unread_of(upstream))

    def _rank(
        self, candidates: list[Announcement], facts: RequestFacts
    ) -> dict[str, int]:
        """Return each upstream's rank for the prompt's shared prefix, 0 for the first.

        Ranks come from rendezvous hashing, so an upstream that joins or leaves moves
        only its own prompts. The result is empty if the prompt shares no prefix.
        """
        if len(facts.prompt_parts) < 2:
            return {}
        part = facts.prompt_parts[-2].id
        ranked = sorted(
            (xxhash.xxh64_intdigest(f"{part}/{each.id}".encode()), each.id)
            for each in candidates
        )
        return {name: rank for rank, (_, name) in enumerate(ranked)}

    def _prefill_rate_of(self, service: str) -> PrefillRate:
        prefill_rate = self._prefill_rates.get(service)
        if prefill_rate is None:
            prefill_rate = self._prefill_rates[service] = PrefillRate()
        return prefill_rate

    def _load(self, upstream: Announcement) -> tuple[float, bool, float]:
        state = self._state_of(upstream.key)
        return (
            state.in_flight,
            upstream.zone != self._zone,
            self._rng.random(),
        )

    def _meter_of(self, service: str) -> LoadMeter:
        meter = self._meters.get(service)
        if meter is None:
            meter = self._meters[service] = LoadMeter(self._now())
        return meter

    def _is_paused(self, upstream: UpstreamKey) -> bool:
        return self._state_of(upstream).paused_until > self._now()

    def _state_of(self, upstream: UpstreamKey) -> _UpstreamState:
        state = self._states.get(upstream)
        if state is None:
            state = self._states[upstream] = _UpstreamState()
        return state


def _equivalent_tokens(work: UpstreamWork) -> int:
    return work.unread + _TOKENS_PER_REQUEST * work.requests


def _missing_at_preferred(facts: RequestFacts) -> int:
    shared = sum(part.tokens for part in facts.prompt_parts[:-1])
    total = shared + facts.prompt_parts[-1].tokens
    return total - int(_PREFERRED_CACHED_SHARE * shared)
