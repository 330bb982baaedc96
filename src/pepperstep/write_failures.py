"""Log lines about a disk that begins to fail and that works again."""

from absl import logging

__all__ = ["WriteFailures"]


class WriteFailures:
    """Logs the first of several failed writes in a row, and the write that ends them.

    `part` is the program part that the lines name, and `what` the object written.
    """

    def __init__(self, part: str, what: str):
        self._part = part
        self._what = what
        self._count = 0

    @property
    def is_failing(self) -> bool:
        """Whether the latest write failed."""
        return self._count > 0

    def record_failure(self, error: OSError) -> None:
        """Record a failed write."""
        self._count += 1
        if self._count == 1:
            logging.warning(
                "%s: Can't write %s, retrying: %s", self._part, self._what, error
            )

    def record_success(self) -> None:
        """Record a successful write."""
        if self._count:
            logging.info(
                "%s: Writing %s works again after %d failed attempts.",
                self._part,
                self._what,
                self._count,
            )
        self._count = 0
