"""Whether a control host is in contact with most of those that decide."""

from collections.abc import Callable

from pepperstep.errors import Code, Failure

__all__ = ["QuorumMonitor"]

# Time after a start for which what needs the other control hosts waits for them, in
# seconds: after a loss of power they come back within two seconds of each other.
_FORMING_SECONDS = 5.0


class QuorumMonitor:
    """A control host's contact with the voters of the log.

    Learners don't count: one that is about to join may never answer.
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
        self._reached = reached
        self._now = now
        self._started_at = now()

    def has_quorum(self) -> bool:
        """Whether most voters have answered lately, this host counted if it's one."""
        voters = set(self._voters())
        return 2 * len(self.reachable() & voters) > len(voters)

    def reachable(self) -> set[str]:
        """Return the control hosts that have answered lately, this one included."""
        return {self._name, *self._reached()}

    def check(self) -> None:
        """Raise `Failure` with `NO_QUORUM` where most voters are out of reach.

        Who asks goes to the next host at once: waiting here for an answer that can't
        come cost operators 0.9 s a try, and two tries in three while one of three
        control hosts was cut off. Hosts that have just started may come together yet.
        """
        if self._now() - self._started_at < _FORMING_SECONDS or self.has_quorum():
            return
        raise Failure(Code.NO_QUORUM, "Most control hosts are out of reach.")
