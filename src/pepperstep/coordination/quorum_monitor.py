"""Whether a control host is in contact with a majority of the log's voters."""

from collections.abc import Callable

from pepperstep.errors import Code, Failure

__all__ = ["QuorumMonitor"]

# Time after a start during which operations wait for the other control hosts, in
# seconds: after a power loss they return within two seconds of each other.
_FORMATION_SECONDS = 5.0


class QuorumMonitor:
    """Tracks which voters of the log answer this control host.

    Learners don't count: one that is joining may never answer.
    """

    def __init__(
        self,
        name: str,
        voters: Callable[[], list[str]],
        reached: Callable[[], list[str]],
        now: Callable[[], float],
    ):
        self._name = name
        self._voters = voters
        self._reached_hosts = reached
        self._now = now
        self._started_at = now()

    def has_quorum(self) -> bool:
        """Whether a majority of voters, perhaps with this host, answered recently."""
        voters = set(self._voters())
        return 2 * len(self.reachable() & voters) > len(voters)

    def reachable(self) -> set[str]:
        """Return the control hosts that answered recently, this one included."""
        return {self._name, *self._reached_hosts()}

    def check(self) -> None:
        """Raise `Failure` with `NO_QUORUM` without a majority of voters.

        Then a client can try the next host at once. Waiting for a reply that can't come
        cost operators 0.9 s a try, on two tries in three while one of three control
        hosts was cut off. A host that has just started doesn't raise, as its group may
        still form.
        """
        if self._now() - self._started_at < _FORMATION_SECONDS or self.has_quorum():
            return
        raise Failure(Code.NO_QUORUM, "Most control hosts are out of reach.")
