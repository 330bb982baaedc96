"""Files under one data folder, which last only once they are synced."""

from typing import Protocol

__all__ = ["Storage"]


class Storage(Protocol):
    """Flat set of named files; raises OSError where the disk fails."""

    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    async def read(self, name: str) -> bytes | None:
        """Return the whole content, None if there is no such file."""

    async def append(self, name: str, data: bytes) -> None:
        """Write `data` at the end of the file, which is made if missing."""

    async def sync(self, name: str) -> None:
        """Return once all that was appended, and the name, is durable."""

    async def replace(self, name: str, data: bytes) -> None:
        """Put `data` in place of the content, durably and all at once."""

    async def truncate(self, name: str, size: int) -> None:
        """Cut the file to its first `size` bytes, durably."""

    async def delete(self, name: str) -> None:
        """Remove the file, durably; no error if it is missing."""
