"""Durable storage in the files of a folder."""

import os
from pathlib import Path

import trio

__all__ = ["FolderStorage"]

_TEMPORARY_SUFFIX = ".new"


class FolderStorage:
    """Stores files in `folder`, which is created if it doesn't exist.

    Disk operations run in threads, so that a slow disk doesn't block the trio loop.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._folder.mkdir(parents=True, exist_ok=True)
        self._open_files: dict[str, int] = {}
        # Files whose directory entry hasn't been synced yet.
        self._unsynced_names: set[str] = set()

    async def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        names = [path.name for path in self._folder.iterdir() if path.is_file()]
        return sorted(name for name in names if not name.endswith(_TEMPORARY_SUFFIX))

    async def read(self, name: str) -> bytes | None:
        """Return the content of the file, None if it doesn't exist."""
        try:
            return await trio.to_thread.run_sync((self._folder / name).read_bytes)
        except FileNotFoundError:
            return None

    async def append(self, name: str, data: bytes) -> None:
        """Append `data` to the file, which is created if it doesn't exist."""
        descriptor = self._open(name)
        await trio.to_thread.run_sync(_write_all, descriptor, data)

    async def sync(self, name: str) -> None:
        """Return once the file's data and its directory entry are durable."""
        await trio.to_thread.run_sync(os.fdatasync, self._open(name))
        if name in self._unsynced_names:
            await trio.to_thread.run_sync(self._sync_folder)
            self._unsynced_names.discard(name)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the content by `data`, atomically and durably."""
        self._close(name)
        await trio.to_thread.run_sync(self._replace_blocking, name, data)

    async def truncate(self, name: str, size: int) -> None:
        """Truncate the file to `size` bytes, durably."""
        descriptor = self._open(name)
        await trio.to_thread.run_sync(os.ftruncate, descriptor, size)
        await trio.to_thread.run_sync(os.fsync, descriptor)

    async def delete(self, name: str) -> None:
        """Remove the file, durably."""
        self._close(name)
        (self._folder / name).unlink(missing_ok=True)
        await trio.to_thread.run_sync(self._sync_folder)

    def close(self) -> None:
        """Close all open files."""
        for name in list(self._open_files):
            self._close(name)

    def _open(self, name: str) -> int:
        if name not in self._open_files:
            path = self._folder / name
            if not path.exists():
                self._unsynced_names.add(name)
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._open_files[name] = os.open(path, flags, 0o600)
        return self._open_files[name]

    def _close(self, name: str) -> None:
        descriptor = self._open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _replace_blocking(self, name: str, data: bytes) -> None:
        temporary = self._folder / (name + _TEMPORARY_SUFFIX)
        try:
            _write_new(temporary, data)
            temporary.rename(self._folder / name)
        except OSError:
            # On a full disk, a partial file would take the space of other files.
            temporary.unlink(missing_ok=True)
            raise
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_new(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
