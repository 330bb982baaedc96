"""In-memory disk that loses unsynced bytes in a crash."""

import errno
from collections.abc import Callable

__all__ = ["FakeDisk"]


class _File:
    """Content of a file, and the content that survives a crash."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.durable = b""
        self.is_name_durable = False


class FakeDisk:
    """Storage that survives crashes of its host until `lose` is called.

    `before` is called with the names of the operation and the file before each
    write. A test may raise from it or crash the host. `free_bytes` limits what can
    still be written; on a full disk, an append writes what fits and then fails.
    """

    def __init__(self) -> None:
        self._files: dict[str, _File] = {}
        self.before: Callable[[str, str], None] = lambda operation, name: None
        self.sync_count = 0
        self.free_bytes: int | None = None

    def crash(self, torn_bytes: int = 0) -> None:
        """Drop unsynced data, except the first `torn_bytes` of each unsynced tail.

        A file that was never synced is removed.
        """
        for name, file in list(self._files.items()):
            if not file.is_name_durable:
                del self._files[name]
                continue
            tail = bytes(file.data[len(file.durable) :][:torn_bytes])
            file.data = bytearray(file.durable + tail)
            file.durable = bytes(file.data)

    def lose(self) -> None:
        """Remove all files, as if the disk were replaced."""
        self._files.clear()

    def damage(self, name: str, offset: int) -> None:
        """Flip the bits of one durable byte."""
        file = self._files[name]
        file.data[offset] ^= 0xFF
        file.durable = bytes(file.data)

    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._files)

    async def read(self, name: str) -> bytes | None:
        """Return the content of a file, None if it doesn't exist."""
        file = self._files.get(name)
        return None if file is None else bytes(file.data)

    async def append(self, name: str, data: bytes) -> None:
        """Append `data` to the file, creating it if needed; not durable."""
        self.before("append", name)
        fitting = data if self.free_bytes is None else data[: self.free_bytes]
        self._files.setdefault(name, _File()).data += fitting
        self._give_back(-len(fitting))
        if len(fitting) < len(data):
            raise _full_disk_error()

    async def sync(self, name: str) -> None:
        """Make the file durable."""
        self.before("sync", name)
        self.sync_count += 1
        file = self._files.setdefault(name, _File())
        file.durable = bytes(file.data)
        file.is_name_durable = True

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the content durably."""
        self.before("replace", name)
        if self.free_bytes is not None and len(data) > self.free_bytes:
            raise _full_disk_error()
        size_before = len(self._files[name].data) if name in self._files else 0
        self._give_back(size_before - len(data))
        file = _File()
        file.data = bytearray(data)
        file.durable = bytes(data)
        file.is_name_durable = True
        self._files[name] = file

    async def truncate(self, name: str, size: int) -> None:
        """Truncate the file to `size` bytes durably."""
        self.before("truncate", name)
        file = self._files[name]
        self._give_back(max(0, len(file.data) - size))
        del file.data[size:]
        file.durable = bytes(file.data)

    async def delete(self, name: str) -> None:
        """Remove the file durably; a missing file is ignored."""
        self.before("delete", name)
        file = self._files.pop(name, _File())
        self._give_back(len(file.data))

    def _give_back(self, size: int) -> None:
        if self.free_bytes is not None:
            self.free_bytes += size


def _full_disk_error() -> OSError:
    return OSError(errno.ENOSPC, "No space left on device")
