"""Finds the place of a request's next attempt."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperstep.entities import RequestKind, Upstream
from pepperstep.errors import Execution
from pepperstep.ports import Timers
from pepperstep.requests.attempts import Cause, Resumption
from pepperstep.requests.guards import Entry, Permission
from pepperstep.requests.recovery import Recovery
from pepperstep.requests.run import Run
from pepperstep.routing import Placement, RetryCause, Router

__all__ = ["Course", "Placer", "execution_of"]

_POLL_SECONDS = 0.1
# A target that got a KV cache is waited for this long.
_TARGET_SECONDS = 10.0
# A suspect that waited this long for an upstream without other suspects, or for
# a host that decides, runs beside others, so that no bystander starves.
_MAX_APART_SECONDS = 15.0
# A suspect passes when it has generated as much as the attempt that was lost,
# and these tokens more.
_PASSING_TOKENS = 64
# Suspects start in the order of what their lost attempts had generated, as a
# request that crashes upstreams mostly does so at once.
_START_SECONDS_PER_TOKEN = 0.002
_MAX_START_SECONDS = 0.5
_MAX_CHOICES = 6
# Causes that the router can't tell by itself.
_RETRY_CAUSES = {
    Cause.RECLAIM: RetryCause.RECLAIMED,
    Cause.CRASH: RetryCause.DIED,
    Cause.UNREACHABLE: RetryCause.DIED,
    Cause.TAKEOVER: RetryCause.DIED,
}


@dataclass(slots=True)
class Course:
    """What a run's next attempt depends on."""

    # Why there is one more attempt, None for the first.
    cause: Cause | None = None
    excluded: set[str] = field(default_factory=set)
    # Upstream that got the KV cache of `imported_attempt`, or was planned.
    target: str = ""
    imported_attempt: str = ""
    # Upstreams that run the content already and are to be shared.
    shared: frozenset[str] = frozenset()
    is_suspect: bool = False
    # Whether another run of the content has to end first.
    is_waiting: bool = False
    # Whether it is the only suspect on its upstream, and has to be to its end.
    is_held: bool = False
    is_strict: bool = False
    lost_zones: set[str] = field(default_factory=set)
    lost_tokens: int = 0

    @property
    def is_guided(self) -> bool:
        """Whether the guard limits where and when the run goes on."""
        return self.is_waiting or self.is_suspect or bool(self.shared)

    @property
    def passing_tokens(self) -> int:
        """Tokens that a suspect generates before others may join it."""
        return self.lost_tokens + _PASSING_TOKENS

    def resume(self, resumption: Resumption) -> None:
        """Go on after an attempt was stopped."""
        self.cause = resumption.cause
        self.target = resumption.target
        self.imported_attempt = resumption.imported_attempt

    def follow(self, entry: Entry) -> None:
        """Take over what the guard said."""
        self.shared = entry.upstreams
        self.is_waiting = entry.permission is Permission.WAIT
        if entry.permission is Permission.GRANTED:
            self.is_suspect = entry.is_suspect
            self.is_strict = entry.is_strict

    def note_loss(self, upstream: Upstream, tokens: int) -> None:
        """Go on as a suspect after an upstream was lost with `tokens` generated."""
        self.is_suspect = True
        self.lost_zones.add(upstream.zone)
        self.lost_tokens = max(self.lost_tokens, tokens)


class Placer:
    """Takes places that the router gives and the guard permits."""

    def __init__(self, router: Router, recovery: Recovery, timers: Timers):
        self._router = router
        self._moves = recovery.moves
        self._guard = recovery.guard
        self._timers = timers

    async def place(self, run: Run, course: Course) -> Placement:
        """Return a place at which the run may start now.

        Raise `Failure` with `CRASHING_REQUEST` if its content was convicted, and
        what the router raises.
        """
        if course.is_suspect:
            seconds = _START_SECONDS_PER_TOKEN * course.lost_tokens
            await self._timers.sleep(min(seconds, _MAX_START_SECONDS))
        else:
            placement = await self._place_freely(run, course)
            if placement is not None:
                return placement
        while True:
            upstream = await self._find_apart(run, course)
            placement = await self._acquire(run, course, [upstream.name])
            if placement.upstream.name == upstream.name:
                return placement
            placement.release()
            self._guard.release(run, upstream)
            await self._timers.sleep(_POLL_SECONDS)

    async def _place_freely(self, run: Run, course: Course) -> Placement | None:
        """Return a place if the content is under no suspicion."""
        while True:
            placement = await self._acquire_near_target(run, course)
            try:
                if not self._moves.is_leaving(placement.upstream):
                    entry = await self._guard.enter(run, placement.upstream)
                    if entry.permission is Permission.GRANTED and not entry.is_suspect:
                        return placement
                    course.follow(entry)
            except BaseException:
                placement.release()
                raise
            placement.release()
            if course.is_guided:
                return None
            await self._timers.sleep(_POLL_SECONDS)

    async def _acquire_near_target(self, run: Run, course: Course) -> Placement:
        if course.target:
            with self._timers.move_on_after(_TARGET_SECONDS):
                placement = await self._acquire(run, course, [course.target])
                if placement.upstream.name != course.target:
                    course.imported_attempt = ""
                return placement
            course.target = course.imported_attempt = ""
        return await self._acquire(run, course)

    async def _acquire(
        self, run: Run, course: Course, allowed: Iterable[str] = ()
    ) -> Placement:
        excluded = set(course.excluded)
        if allowed:
            names = {upstream.name for upstream in self._moves.candidates()}
            excluded = names - set(allowed)
        is_first = run.attempt == 0
        return await self._router.acquire(
            run.request,
            len(run.tokens),
            frozenset(excluded),
            attempt=run.attempt + 1,
            cause=None if is_first else _RETRY_CAUSES.get(course.cause),
            execution=execution_of(run),
        )

    async def _find_apart(self, run: Run, course: Course) -> Upstream:
        """Return an upstream on which the guard permits the run, once there is one.

        A suspect is then the only one there, unless it had to wait too long.
        """
        give_up_at = self._timers.now() + _MAX_APART_SECONDS
        course.target = course.imported_attempt = ""
        while True:
            upstreams = self._choices(run, course)
            is_late = self._timers.now() >= give_up_at
            for upstream in upstreams:
                entry = await self._guard.enter(run, upstream)
                course.follow(entry)
                if entry.permission is Permission.SHARE:
                    break
                is_granted = entry.permission is Permission.GRANTED
                course.is_held = is_granted and await self._guard.hold(run, upstream)
                if course.is_held or is_late or is_granted and not entry.is_suspect:
                    return upstream
            await self._timers.sleep(_POLL_SECONDS)

    def _choices(self, run: Run, course: Course) -> list[Upstream]:
        """Return some upstreams that a suspect may try, the best first.

        Others than those of lost zones are tried first: the loss of a zone is
        never to look like that of a second upstream.
        """
        usable = [u for u in self._moves.candidates() if _serves(u, run)]
        shared = [u for u in usable if u.name in course.shared]
        far = [u for u in usable if u.zone not in course.lost_zones]
        ranked = sorted(shared or far or usable, key=_waiting_on)
        return ranked[:_MAX_CHOICES]


def execution_of(run: Run) -> Execution:
    """Return what is known about the run's execution."""
    return Execution.MAY_HAVE_RUN if run.is_dispatched else Execution.NOT_RUN


def _waiting_on(upstream: Upstream) -> float:
    return (upstream.load.running + upstream.load.waiting) / max(1, upstream.slots)


def _serves(upstream: Upstream, run: Run) -> bool:
    if run.request.kind is RequestKind.SERVICE:
        return upstream.service == run.request.target
    return run.request.model_key in upstream.models
