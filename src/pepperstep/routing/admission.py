"""Admission control: rejects requests that would wait too long."""

import random
from dataclasses import dataclass

from pepperstep.entities import Priority, Request
from pepperstep.errors import Code, Failure
from pepperstep.routing.pools import Pool
from pepperstep.routing.service_levels import ServiceLevels
from pepperstep.routing.settings import RoutingSettings
from pepperstep.routing.work import pool_key

__all__ = ["Admission", "Room", "check_served", "latest_start"]

_NO_UPSTREAM_RETRY_SECONDS = 1.0
_MIN_RETRY_SECONDS = 0.1
# A request admitted longer ago and not queued since counts as abandoned.
_ADMITTED_TIMEOUT_SECONDS = 2.0
_JITTER = 0.5
# Smallest share of the slots in flight that a class is assumed to get, however
# many of them higher classes hold.
_MIN_REMAINING_SHARE = 0.05
# Answers after which their average length is used for predictions.
_MIN_ANSWER_SAMPLES = 8


@dataclass(frozen=True, slots=True)
class Room:
    """Whether enough slots are free, and how many requests of a workspace wait."""

    is_enough: bool
    waiting: int


@dataclass(frozen=True, slots=True)
class _Admitted:
    """An admitted request with its admission time and predicted wait."""

    request: Request
    at: float
    wait: float


class Admission:
    """Admits new requests by the work queued ahead of them and its drain rate."""

    def __init__(
        self,
        settings: RoutingSettings,
        service_levels: ServiceLevels,
        rng: random.Random,
    ):
        self._settings = settings
        self._service_levels = service_levels
        self._rng = rng
        # Admitted requests that are not queued yet, oldest first.
        self._admitted: dict[str, _Admitted] = {}

    def admit(
        self, request: Request, pool: Pool, room: Room, remaining: float, now: float
    ) -> None:
        """Admit a request, and count it as waiting until it is queued.

        `remaining` is the time until its deadline in seconds. Raise `Failure` with
        `QUEUE_FULL` or `OVERLOADED` if the request is rejected.
        """
        wait = 0.0 if room.is_enough else self.predict_wait(pool, request)
        waiting = room.waiting + sum(
            each.request.workspace == request.workspace
            for each in self._admitted.values()
        )
        if wait > 0.0 and waiting >= self._service_levels.max_queue:
            raise self._queue_full(request, wait / waiting)
        if wait > 0.0 and self._settings.refuses_early:
            self._check_times(request, pool, wait, remaining)
        self._admitted[request.id] = _Admitted(request, now, wait)

    def count_admitted(self, pool: Pool, now: float) -> int:
        """Return the number of the pool's admitted requests not queued yet."""
        self._prune(now)
        return sum(
            pool_key(each.request) == pool.key for each in self._admitted.values()
        )

    def pop_predicted_wait(self, request: Request) -> float:
        """Return the wait predicted at admission, as the request is queued."""
        admitted = self._admitted.pop(request.id, None)
        return 0.0 if admitted is None else admitted.wait

    def predict_wait(self, pool: Pool, request: Request) -> float:
        """Return the predicted seconds until a request starts.

        By Little's law, slots become free at the rate of slots in flight divided
        by their hold time. Slots that higher classes hold are expected to go to
        those classes again and are not counted.
        """

        def hold_time_of(priority: Priority) -> float:
            hold_time = pool.hold_times[priority]
            if hold_time.count:
                return hold_time.value
            return pool.hold_time.value or request.max_tokens * pool.decode_seconds

        ahead = pool.queue.work_ahead(request, hold_time_of)
        above = sum(pool.class_in_flight[: request.priority])
        left = max(pool.in_flight - above, _MIN_REMAINING_SHARE * pool.in_flight, 1.0)
        return pool.wait_errors[request.priority].value * ahead / left

    def _check_times(
        self, request: Request, pool: Pool, wait: float, remaining: float
    ) -> None:
        first_token = wait + pool.first_token.value
        answer = request.max_tokens * pool.answer_shares[request.priority].value
        overrun = first_token + answer * pool.decode_seconds - remaining
        if request.priority is Priority.INTERACTIVE:
            target = self._service_levels.targets_of(request).first_token
            allowed = target * self._settings.refusal_multiple
            overrun = max(overrun, first_token - allowed)
        if overrun > 0:
            raise Failure(
                Code.OVERLOADED,
                f"The first token would take {first_token:.2f} s.",
                retry_after=self._jittered_retry_after(min(overrun, wait)),
            )

    def _prune(self, now: float) -> None:
        for request_id, admitted in list(self._admitted.items()):
            if now - admitted.at <= _ADMITTED_TIMEOUT_SECONDS:
                return
            del self._admitted[request_id]

    def _queue_full(self, request: Request, seconds_each: float) -> Failure:
        return Failure(
            Code.QUEUE_FULL,
            f"{self._service_levels.max_queue} requests of {request.workspace} wait.",
            retry_after=self._jittered_retry_after(seconds_each),
        )

    def _jittered_retry_after(self, seconds: float) -> float:
        """Return the seconds to retry after, with jitter to spread the retries."""
        jitter = 1 + _JITTER * self._rng.random()
        return max(_MIN_RETRY_SECONDS, seconds) * jitter


def check_served(request: Request, pool: Pool) -> None:
    """Raise `Failure` with `NO_UPSTREAM` if nothing serves the request."""
    if not pool.members:
        raise Failure(
            Code.NO_UPSTREAM,
            f"No upstream serves {request.target} now.",
            retry_after=_NO_UPSTREAM_RETRY_SECONDS,
        )


def latest_start(request: Request, pool: Pool, left_tokens: int) -> float:
    """Return the Unix time after which an attempt can't meet its deadline.

    The answer is assumed to be two deviations shorter than the average, a
    length that answers rarely fall below.
    """
    shares = pool.answer_shares[request.priority]
    if shares.count < _MIN_ANSWER_SAMPLES:
        return request.deadline
    share = max(0.0, shares.value - 2 * shares.deviation)
    expected_tokens = max(0.0, left_tokens - (1 - share) * request.max_tokens)
    seconds = pool.first_token.value + expected_tokens * pool.decode_seconds
    return request.deadline - seconds
