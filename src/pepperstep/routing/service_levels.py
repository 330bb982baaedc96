"""What the configuration in force says about requests."""

from collections.abc import Callable
from dataclasses import dataclass

from pepperstep.configuration import Configuration
from pepperstep.configuration.schema import Workspace
from pepperstep.entities import Request

__all__ = ["Targets", "Terms"]

_FIRST_TOKEN_SECONDS = 0.54
_BETWEEN_TOKENS_SECONDS = 0.053
_MOST_SHARERS = 8


@dataclass(frozen=True, slots=True)
class Targets:
    """A deployment's targets, in seconds."""

    first_token: float = _FIRST_TOKEN_SECONDS
    between_tokens: float = _BETWEEN_TOKENS_SECONDS


_ANY_TARGETS = Targets()
_ANY_WORKSPACE = Workspace()


class Terms:
    """What the configuration in force says about requests."""

    def __init__(
        self, configuration: Callable[[], Configuration], host_count: Callable[[], int]
    ):
        self._configuration = configuration
        self._host_count = host_count

    @property
    def sharers(self) -> int:
        """Other hosts that are taken to place work on the same upstreams."""
        return min(_MOST_SHARERS, max(0, self._host_count() - 1))

    @property
    def max_queue(self) -> int:
        """Requests of a workspace that may wait here."""
        return self._configuration().limits.max_queue

    @property
    def retry_share(self) -> float:
        """Retries as a share of first attempts."""
        return self._configuration().limits.retry_share

    def targets_of(self, request: Request) -> Targets:
        """Return the targets of the request's deployment."""
        deployment = self._configuration().deployments.get(request.target)
        if deployment is None:
            return _ANY_TARGETS
        return Targets(
            deployment.first_token_seconds, deployment.between_tokens_seconds
        )

    def weight_of(self, workspace: str) -> float:
        """Return a workspace's weight in the fair queue."""
        return self._workspace(workspace).weight

    def max_in_flight_of(self, workspace: str) -> int:
        """Return how many attempts a workspace may have in flight here."""
        return -(
            -self._workspace(workspace).max_in_flight // max(1, self._host_count())
        )

    def _workspace(self, name: str) -> Workspace:
        return self._configuration().workspaces.get(name, _ANY_WORKSPACE)
