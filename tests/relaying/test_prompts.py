"""How fast engines read, as one host learns it from first tokens."""

import random

import pytest

from pepperstep.relay.prompts import PrefillRate


def learn(rng: random.Random, tokens_per_second: float, count: int) -> float:
    """Return the speed learned from prompts that wait behind others or are kept."""
    speed = PrefillRate()
    for _ in range(count):
        tokens = rng.randrange(2_000, 12_000)
        waits = rng.choice((0.0, 0.0, 0.1, 0.3))
        is_kept = rng.random() < 0.15
        read = tokens * 0.1 if is_kept else tokens
        speed.update(tokens, 0.02 + waits + read / tokens_per_second)
    return speed.tokens_per_second


@pytest.mark.parametrize("seed", range(8))
def test_kept_prompts_do_not_make_engines_look_fast(seed):
    assert 18_000 <= learn(random.Random(seed), 36_000, 400) <= 45_000


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("speed", [9_000, 120_000])
def test_other_engines_speeds_are_learned(seed, speed):
    assert 0.4 * speed <= learn(random.Random(seed), speed, 600) <= 1.3 * speed
