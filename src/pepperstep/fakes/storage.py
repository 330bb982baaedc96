"""Disk in memory whose unsynced bytes vanish at a crash."""

from collections.abc import Callable

__all__ = ["FakeDisk"]


class _File:
    """Content of a file, and how much of it is durable."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.durable = b""
        self.is_name_durable = False


class FakeDisk:
    """Storage that outlives the crash of its host, unless it is lost.

    `before` is called with the operation's and the file's name before each
    write; a test may raise from it, or crash the host.
    """

    def __init__(self) -> None:
        self._files: dict[str, _File] = {}
        self.before: Callable[[str, str], None] = lambda operation, name: None
        self.sync_count = 0

    def crash(self, torn_bytes: int = 0) -> None:
        """Drop what isn't durable, but for `torn_bytes` of each tail."""
        for name, file in list(self._files.items()):
            if not file.is_name_durable:
                del self._files[name]
                continue
            tail = bytes(file.data[len(file.durable) :][:torn_bytes])
            file.data = bytearray(file.durable + tail)
            file.durable = bytes(file.data)

    def lose(self) -> None:
        """Lose all files."""
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
        """Return the whole content, None if there is no such file."""
        file = self._files.get(name)
        return None if file is None else bytes(file.data)

    async def append(self, name: str, data: bytes) -> None:
        """Write `data` at the end of the file."""
        self.before("append", name)
        self._files.setdefault(name, _File()).data += data

    async def sync(self, name: str) -> None:
        """Make the file durable."""
        self.before("sync", name)
        self.sync_count += 1
        file = self._files.setdefault(name, _File())
        file.durable = bytes(file.data)
        file.is_name_durable = True

    async def replace(self, name: str, data: bytes) -> None:
        """Put `data` in place of the content, durably."""
        self.before("replace", name)
        file = _File()
        file.data = bytearray(data)
        file.durable = bytes(data)
        file.is_name_durable = True
        self._files[name] = file

    async def truncate(self, name: str, size: int) -> None:
        """Cut the file to its first `size` bytes, durably."""
        self.before("truncate", name)
        file = self._files[name]
        del file.data[size:]
        file.durable = bytes(file.data)

    async def delete(self, name: str) -> None:
        """Remove the file, durably."""
        self.before("delete", name)
        self._files.pop(name, None)
