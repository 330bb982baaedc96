"""Background tasks that are cancelled with the work that they accompany."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

__all__ = ["run_beside"]

T = TypeVar("T")


async def run_beside(
    background: Callable[[], Awaitable[None]], work: Callable[[], Awaitable[T]]
) -> T:
    """Return the result of `work`, or raise its error outside an exception group.

    `background` runs concurrently and is cancelled when `work` ends. It must handle
    its own errors.
    """
    error: Exception | None = None
    result: T | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(background)
        try:
            result = await work()
        except Exception as raised:
            error = raised
        nursery.cancel_scope.cancel()
    if error is not None:
        raise error
    return result
