"""Files in one data folder; writes are durable only once they are synced."""

from typing import Protocol

__all__ = ["Storage"]


class Storage(Protocol):
    """Flat set of named files; raises OSError if the disk fails."""

    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    async def read(self, name: str) -> bytes | None:
        """Return the content of the file, None if it doesn't exist."""

    async def append(self, name: str, data: bytes) -> None:
        """Append `data` to the file, creating it if it doesn't exist."""

    async def sync(self, name: str) -> None:
        """Return once all appended data and the file's name are durable."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the content by `data`, durably and atomically."""

    async def truncate(self, name: str, size: int) -> None:
        """Cut the file to its first `size` bytes, durably."""

    async def delete(self, name: str) -> None:
        """Delete the file, durably; no error if it doesn't exist."""
