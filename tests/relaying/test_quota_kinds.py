"""Quotas of all kinds: without a burst, small and large, in requests and in tokens."""

import pytest

from pepperstep.entities.routes import Quota, RouteTable, Workspace
from pepperstep.relay.quotas import Quotas, QuotaTolerance


@pytest.mark.parametrize("overage", [0.0, 0.1])
@pytest.mark.parametrize("counts_tokens", [False, True])
@pytest.mark.parametrize("rate", [1e-300, 0.5, 1_000.0, 1e300])
async def test_quota_without_a_burst_raises_nothing(
    autojump_clock, rate, counts_tokens, overage
):
    """Guards against a valid quota that ends each host with its next poll."""
    quota = Quota(rate, 0.0, counts_tokens)
    workspace = Workspace("desk", ("k",), quota=quota)
    now = 0.0
    quotas = Quotas(lambda: 6, lambda: now, QuotaTolerance(overage))
    quotas.watch(RouteTable(1, workspaces=(workspace,)))
    for step in range(20):
        now += 0.3
        assert quotas.has_active_workspace in (True, False)
        admission = await quotas.admit(workspace, 1.0)
        assert 0.0 <= admission.wait <= 5.0
        quotas.record_spent_elsewhere("desk", 3 * step)
        quotas.grant("desk", 1.0, is_own=False)
    quotas.refill_after_restart()
    assert quotas.state_of("desk").reserve >= 0.0
