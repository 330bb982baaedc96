"""Which upstream gets a request."""

import math
import random
from collections.abc import Callable, Collection, Iterable, Mapping
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
from pepperstep.relay.prompts import PrefillTracker, ReadingSpeed
from pepperstep.relay.shared_load import UpstreamWork

__all__ = ["Choice", "Chooser", "OthersWork", "Versions"]

# Pause after an upstream failed, in seconds: it doubles with each failure in a
# row. A crashed upstream is back after some seconds, or gone.
_FIRST_PAUSE_SECONDS = 0.25
_MAX_PAUSE_SECONDS = 4.0
# Part of a prompt's shared tokens that the upstream which all hosts prefer for
# them is believed to keep, though this host hasn't sent them there lately.
_PREFERRED_SHARE = 0.6
# What a request under way counts for, in unread tokens.
_REQUEST_TOKENS = 1_500
# What each rank below the first costs, as a share of the shared tokens, and the rank
# from which it costs no more.
_RANK_SHARE = 0.15
_RANKS = 2
# The same share where others' work is known: a kept part is worth more then.
_RANK_SHARE_KNOWN = 1.0
# Upstreams that are weighed by others' work, and as many besides where these are busy.
# A few of many are nearly as good as all, and hosts that ask at the same moment don't
# all send to the one with the least work.
_WEIGHED = 3
# Time that an upstream needs for its unread tokens from which it's busy, in seconds.
_BUSY_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Choice:
    """An upstream for a request, and what is expected of it."""

    upstream: Announcement
    # Tokens that it has to read.
    missing: int = 0
    # Seconds until the first token, 0 where nothing is known.
    first_token: float = 0.0
    # Upstreams that it was chosen from.
    candidates: int = 1


class OthersWork(Protocol):
    """What is known of other hosts' work at upstreams."""

    async def ask(
        self, upstreams: Iterable[UpstreamKey]
    ) -> dict[UpstreamKey, UpstreamWork]:
        """Return others' work, without upstreams of which nothing is known."""

    def report_unread(self, upstream: UpstreamKey, unread: int) -> None:
        """Take in this host's own unread tokens there."""


class Versions(Protocol):
    """Which versions of a service's software a request may go to."""

    def select(
        self,
        service: str,
        upstreams: list[Announcement],
        facts: RequestFacts,
        tried: Collection[UpstreamKey],
    ) -> list[Announcement]:
        """Return those of a service's upstreams that a request may go to."""


class _AnyVersion:
    """No roll-outs."""

    def select(
        self,
        service: str,
        upstreams: list[Announcement],
        facts: RequestFacts,
        tried: Collection[UpstreamKey],
    ) -> list[Announcement]:
        """Return all of them."""
        return upstreams


class _Unheard:
    """Other hosts that tell nothing."""

    async def ask(
        self, upstreams: Iterable[UpstreamKey]
    ) -> dict[UpstreamKey, UpstreamWork]:
        """Return nothing."""
        return {}

    def report_unread(self, upstream: UpstreamKey, unread: int) -> None:
        """Tell nobody."""


@dataclass(slots=True)
class _Standing:
    """What this host has seen of an upstream."""

    in_flight: int = 0
    failures: int = 0
    paused_until: float = field(default=0.0)


class Chooser:
    """Placement as one host decides it, by what it sees itself."""

    def __init__(
        self,
        catalog: UpstreamCatalog,
        pools: Pools,
        zone: str,
        host_count: Callable[[], int],
        now: Callable[[], float],
        rng: random.Random,
        prompts: PrefillTracker | None = None,
        others: OthersWork | None = None,
        versions: Versions | None = None,
        backoff: Backoff | None = None,
    ):
        self._catalog = catalog
        self._pools = pools
        self._host_count = host_count
        self._prompts = prompts or PrefillTracker(now)
        self._others = others or _Unheard()
        self._versions = versions or _AnyVersion()
        self._backoff = backoff or Backoff(now)
        self._speeds: dict[str, ReadingSpeed] = {}
        self._zone = zone
        self._now = now
        self._rng = rng
        self._standings: dict[UpstreamKey, _Standing] = {}
        self._meters: dict[str, LoadMeter] = {}

    def works(self) -> dict[str, ServiceWork]:
        """Return the work that upstreams are given, by service."""
        now = self._now()
        return {service: meter.work(now) for service, meter in self._meters.items()}

    async def choose(
        self, service: Service, facts: RequestFacts, tried: Collection[UpstreamKey]
    ) -> Choice | None:
        """Return an upstream for a request, None if there is none."""
        candidates = self._candidates(service, facts, tried)
        if not candidates:
            return None
        if not facts.prompt_parts:
            chosen = min(candidates, key=self._load)
            return Choice(chosen, candidates=len(candidates))
        ranks = self._rank(candidates, facts)
        others = await self._ask_others(candidates, ranks)
        # Some may be gone or full by now.
        candidates = self._candidates(service, facts, tried)
        if not candidates:
            return None
        return self._choose_by_prompt(service, candidates, facts, ranks, others)

    def shortest_hold(self, service: Service) -> float:
        """Return the seconds for which all upstreams are held, 0 if one isn't."""
        usable = self._catalog.usable(service.name)
        return self._backoff.shortest(each.key for each in usable)

    def work_at(self, upstream: UpstreamKey) -> UpstreamWork:
        """Return this host's own work at an upstream."""
        standing = self._standings.get(upstream)
        requests = 0 if standing is None else standing.in_flight
        return UpstreamWork(self._prompts.unread_of(upstream), requests)

    def note_demand(self, choice: Choice) -> None:
        """Count the reading that a request asks for, whether or not it's let in."""
        if not choice.missing:
            return
        service = choice.upstream.service
        seconds = choice.missing / self._speed_of(service).tokens_per_second
        self._meter_of(service).note_reading(seconds, self._now())

    def begin(self, choice: Choice, facts: RequestFacts) -> None:
        """Count a request that is sent to an upstream."""
        upstream = choice.upstream
        self._standing(upstream.key).in_flight += 1
        self._meter_of(upstream.service).begin(self._now())
        if facts.prompt_parts:
            self._prompts.begin(upstream.key, facts.prompt_parts, choice.missing)
            self._note_unread(upstream.key)

    def record_prefill(self, choice: Choice, seconds: float | None) -> None:
        """Count a prompt's first token after `seconds`, None for its end without."""
        self._prompts.end(choice.upstream.key, choice.missing)
        self._note_unread(choice.upstream.key)
        if seconds is not None:
            speed = self._speed_of(choice.upstream.service)
            speed.note(choice.missing, seconds)

    def end(self, upstream: Announcement, is_sound: bool) -> None:
        """Count a request's end, and whether the upstream did what it should."""
        self._meter_of(upstream.service).end(self._now())
        standing = self._standing(upstream.key)
        standing.in_flight -= 1
        if is_sound:
            standing.failures = 0
            return
        pause = _FIRST_PAUSE_SECONDS * 2 ** min(standing.failures, 8)
        standing.failures += 1
        standing.paused_until = self._now() + min(pause, _MAX_PAUSE_SECONDS)

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop what is known of an upstream that is gone."""
        self._prompts.forget(upstream)
        standing = self._standings.get(upstream)
        if standing is not None and not standing.in_flight:
            del self._standings[upstream]

    def _candidates(
        self, service: Service, facts: RequestFacts, tried: Collection[UpstreamKey]
    ) -> list[Announcement]:
        """Return the upstreams that may get a request, without those that failed."""
        candidates = [
            each
            for each in self._select(service, facts, tried)
            if each.key not in tried
            and self._pools.has_room(each.key, service.max_connections)
        ]
        healthy = [each for each in candidates if not self._is_paused(each.key)]
        return healthy or candidates

    def _select(
        self, service: Service, facts: RequestFacts, tried: Collection[UpstreamKey]
    ) -> list[Announcement]:
        """Return the upstreams that aren't left alone, of versions that may be used.

        A version whose upstreams are all left alone counts as one that has failed.
        """
        usable = self._catalog.usable(service.name)
        selected = self._versions.select(service.name, usable, facts, tried)
        if selected and self._backoff.shortest(each.key for each in selected):
            failed = {each.key for each in selected}
            selected = self._versions.select(service.name, usable, facts, failed)
        return [each for each in selected if not self._backoff.is_held(each.key)]

    async def _ask_others(
        self, candidates: list[Announcement], ranks: dict[str, int]
    ) -> dict[UpstreamKey, UpstreamWork]:
        """Return other hosts' work at the few upstreams that are weighed.

        These are the first by rank; any others are weighed besides where all of
        those are busy, as when many ask for one part.
        """
        shuffled = self._rng.sample(candidates, len(candidates))
        shuffled.sort(key=lambda each: min(ranks.get(each.id, _RANKS), _RANKS))
        first, rest = shuffled[:_WEIGHED], shuffled[_WEIGHED:]
        others = await self._others.ask([each.key for each in first])
        if rest and others and all(self._is_busy(each, others) for each in first):
            others |= await self._others.ask([each.key for each in rest[:_WEIGHED]])
        return others

    def _is_busy(
        self, upstream: Announcement, others: Mapping[UpstreamKey, UpstreamWork]
    ) -> bool:
        tokens = _tokens_of(self._work_at(upstream.key, others))
        speed = self._speed_of(upstream.service).tokens_per_second
        return tokens > _BUSY_SECONDS * speed

    def _choose_by_prompt(
        self,
        service: Service,
        candidates: list[Announcement],
        facts: RequestFacts,
        ranks: dict[str, int],
        others: Mapping[UpstreamKey, UpstreamWork],
    ) -> Choice:
        """Return the upstream with the least work, and with it the first token's time.

        All hosts rank the upstreams alike by the prompt's shared part, so that its
        prompts meet at few of them. That counts for less than the work there: each host
        that follows what an upstream keeps sends more there, until prompts wait for
        seconds beside idle upstreams. Where others' work is known of some, it's chosen
        from these.
        """
        known = [each for each in candidates if each.key in others]
        share = _RANK_SHARE_KNOWN if known else _RANK_SHARE
        shared = sum(part.tokens for part in facts.prompt_parts[:-1])
        weighed = known or candidates
        best = weighed[0]
        least = math.inf
        # In any order, so that equal ones don't all go to the first.
        for upstream in self._rng.sample(weighed, len(weighed)):
            rank = min(ranks.get(upstream.id, 0), _RANKS)
            work = self._work_at(upstream.key, others)
            cost = _tokens_of(work) + share * shared * rank
            if cost < least:
                best, least = upstream, cost
        return self._predict(service, best, facts, ranks, others, len(candidates))

    def _predict(
        self,
        service: Service,
        upstream: Announcement,
        facts: RequestFacts,
        ranks: dict[str, int],
        others: Mapping[UpstreamKey, UpstreamWork],
        count: int,
    ) -> Choice:
        """Return the choice with when its first token is expected.

        What hosts have sent that tell nothing is taken as equal to this one's, spread
        evenly.
        """
        missing = self._prompts.missing_tokens(upstream.key, facts.prompt_parts)
        if ranks.get(upstream.id) == 0:
            missing = min(missing, _missing_at_preferred(facts))
        if upstream.key in others:
            unread = self._work_at(upstream.key, others).unread
        else:
            unheard = (self._host_count() - 1) * self._prompts.unread / count
            unread = self._prompts.unread_of(upstream.key) + unheard
        speed = self._speed_of(service.name)
        return Choice(upstream, missing, speed.seconds_for(unread + missing), count)

    def _work_at(
        self, upstream: UpstreamKey, others: Mapping[UpstreamKey, UpstreamWork]
    ) -> UpstreamWork:
        """Return all hosts' work; unread tokens of unknown ones are as many as own."""
        own = self.work_at(upstream)
        if upstream in others:
            return own + others[upstream]
        return UpstreamWork(self._host_count() * own.unread, own.requests)

    def _note_unread(self, upstream: UpstreamKey) -> None:
        self._others.report_unread(upstream, self._prompts.unread_of(upstream))

    def _rank(
        self, candidates: list[Announcement], facts: RequestFacts
    ) -> dict[str, int]:
        """Return the upstreams' ranks for the prompt's shared part, 0 the first.

        Each part and upstream has a hash of its own, so an upstream that comes
        or goes moves its own prompts only. Empty if nothing is shared.
        """
        if len(facts.prompt_parts) < 2:
            return {}
        part = facts.prompt_parts[-2].id
        ranked = sorted(
            (xxhash.xxh64_intdigest(f"{part}/{each.id}".encode()), each.id)
            for each in candidates
        )
        return {name: rank for rank, (_, name) in enumerate(ranked)}

    def _speed_of(self, service: str) -> ReadingSpeed:
        speed = self._speeds.get(service)
        if speed is None:
            speed = self._speeds[service] = ReadingSpeed()
        return speed

    def _load(self, upstream: Announcement) -> tuple[float, bool, float]:
        standing = self._standing(upstream.key)
        return (
            standing.in_flight,
            upstream.zone != self._zone,
            self._rng.random(),
        )

    def _meter_of(self, service: str) -> LoadMeter:
        meter = self._meters.get(service)
        if meter is None:
            meter = self._meters[service] = LoadMeter(self._now())
        return meter

    def _is_paused(self, upstream: UpstreamKey) -> bool:
        return self._standing(upstream).paused_until > self._now()

    def _standing(self, upstream: UpstreamKey) -> _Standing:
        standing = self._standings.get(upstream)
        if standing is None:
            standing = self._standings[upstream] = _Standing()
        return standing


def _tokens_of(work: UpstreamWork) -> int:
    return work.unread + _REQUEST_TOKENS * work.requests


def _missing_at_preferred(facts: RequestFacts) -> int:
    shared = sum(part.tokens for part in facts.prompt_parts[:-1])
    total = shared + facts.prompt_parts[-1].tokens
    return total - int(_PREFERRED_SHARE * shared)
