"""Estimates of engines' prefill rate from the times to first token."""

import random

import pytest

from pepperstep.relay.prompts import PrefillRate


def estimate_rate(rng: random.Random, tokens_per_second: float, count: int) -> float:
    """Return the rate estimated from prompts, some of them queued or cached."""
    rate = PrefillRate()
    for _ in range(count):
        tokens = rng.randrange(2_000, 12_000)
        queueing = rng.choice((0.0, 0.0, 0.1, 0.3))
        is_cached = rng.random() < 0.15
        prefilled = tokens * 0.1 if is_cached else tokens
        rate.update(tokens, 0.02 + queueing + prefilled / tokens_per_second)
    return rate.tokens_per_second


@pytest.mark.parametrize("seed", range(8))
def test_cached_prompts_do_not_raise_the_estimated_rate(seed):
    assert 18_000 <= estimate_rate(random.Random(seed), 36_000, 400) <= 45_000


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("speed", [9_000, 120_000])
def test_estimate_approaches_the_engines_rate(seed, speed):
    assert 0.4 * speed <= estimate_rate(random.Random(seed), speed, 600) <= 1.3 * speed
