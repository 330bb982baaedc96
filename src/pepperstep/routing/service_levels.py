"""Targets, weights and limits of requests in the current configuration."""

from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.configuration import Configuration
from pepperstep.configuration.schema import Workspace
from pepperstep.entities import Request

__all__ = ["Targets", "ServiceLevels"]

_FIRST_TOKEN_SECONDS = 0.54
_BETWEEN_TOKENS_SECONDS = 0.053
_MAX_PEER_COUNT = 8


@dataclass(frozen=True, slots=True)
class Targets:
    """A deployment's latency targets in seconds."""

    first_token: float = _FIRST_TOKEN_SECONDS
    between_tokens: float = _BETWEEN_TOKENS_SECONDS


_DEFAULT_TARGETS = Targets()
_DEFAULT_WORKSPACE = Workspace()


class ServiceLevels:
    """Looks up targets, weights and limits in the current configuration."""

    def __init__(
        self, configuration: Callable[[], Configuration], host_count: Callable[[], int]
    ):
        self._configuration = configuration
        self._host_count = host_count

    @property
    def peer_count(self) -> int:
        """Number of other hosts assumed to send work to the same upstreams."""
        return min(_MAX_PEER_COUNT, max(0, self._host_count() - 1))

    @property
    def max_queue(self) -> int:
        """Number of a workspace's requests that may wait at this host."""
        return self._configuration().limits.max_queue

    @property
    def retry_share(self) -> float:
        """Allowed retries as a share of first attempts."""
        return self._configuration().limits.retry_share

    def targets_of(self, request: Request) -> Targets:
        """Return the targets of the request's deployment, or the defaults."""
        deployment = self._configuration().deployments.get(request.target)
        if deployment is None:
            return _DEFAULT_TARGETS
        return Targets(
            deployment.first_token_seconds, deployment.between_tokens_seconds
        )

    def weight_of(self, workspace: str) -> float:
        """Return a workspace's weight in the fair queue."""
        return self._workspace(workspace).weight

    def max_in_flight_of(self, workspace: str) -> int:
        """Return this host's share of a workspace's limit, rounded up."""
        return -(
            -self._workspace(workspace).max_in_flight // max(1, self._host_count())
        )

    def _workspace(self, name: str) -> Workspace:
        return self._configuration().workspaces.get(name, _DEFAULT_WORKSPACE)
