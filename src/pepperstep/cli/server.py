"""Calls to the operators' interface of entry hosts."""

import copy
import ssl
from collections.abc import Sequence
from typing import Any, TypeVar

import httpcore
import msgspec

from pepperstep.adapters.operator_messages import OPERATOR_PREFIX
from pepperstep.cli.exits import Exit, Stop, exit_of
from pepperstep.cli.options import Options
from pepperstep.errors import Code, Execution, Failure

__all__ = ["Server"]

_CONNECT_SECONDS = 3.0
# Longer than a server waits for a quorum.
_ANSWER_SECONDS = 15.0

T = TypeVar("T")


class _Error(msgspec.Struct):
    message: str
    code: Code = Code.INTERNAL


class _ErrorBody(msgspec.Struct):
    error: _Error


class Server:
    """Entry hosts, of which the first that can be reached is asked."""

    def __init__(self, urls: Sequence[str], key: str, authority: str = ""):
        self._urls = list(urls)
        self._key = key
        self._pool = httpcore.ConnectionPool(ssl_context=_context(authority))

    @classmethod
    def from_options(cls, options: Options) -> "Server":
        """Return the servers that the command line names."""
        if not options.key:
            text = "No key: give --key, --key_file or $PEPPERSTEP_KEY."
            raise Stop(Exit.USAGE, text)
        return cls(options.servers, options.key, options.authority)

    def get(self, path: str, answer_type: type[T]) -> T:
        """Return the answer to a GET."""
        return self._ask("GET", path, b"", answer_type)

    def post(
        self, path: str, body: Any, answer_type: type[T], statuses: Sequence[int] = ()
    ) -> T:
        """Return the answer to a POST; `statuses` besides 200 have it too."""
        data = msgspec.json.encode(body)
        return self._ask("POST", path, data, answer_type, statuses)

    def at(self, url: str) -> "Server":
        """Return the server at `url` alone, on the same connections."""
        server = copy.copy(self)
        server._urls = [url]
        return server

    def _ask(
        self,
        method: str,
        path: str,
        body: bytes,
        answer_type: type[T],
        statuses: Sequence[int] = (),
    ) -> T:
        reasons = []
        for url in self._urls:
            try:
                response = self._request(method, f"{url}{OPERATOR_PREFIX}{path}", body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                # Nothing was sent, so that the next one may be asked.
                reasons.append(f"{url}: {str(error) or type(error).__name__}")
                continue
            return _answer_of(response, answer_type, statuses)
        text = f"No server can be reached ({'; '.join(reasons)})."
        raise Stop(
            Exit.UNREACHABLE,
            f"{text} Give the URL of a running entry host by --server.",
        )

    def _request(self, method: str, url: str, body: bytes) -> httpcore.Response:
        headers = {"authorization": f"Bearer {self._key}"}
        timeout = {
            "connect": _CONNECT_SECONDS,
            "read": _ANSWER_SECONDS,
            "write": _ANSWER_SECONDS,
            "pool": _CONNECT_SECONDS,
        }
        try:
            return self._pool.request(
                method,
                url,
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            raise
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.UnsupportedProtocol,
        ) as error:
            text = f"{url} gave no answer ({type(error).__name__})."
            advice = "A change may still have been made: resend it by its id."
            if method == "GET":
                advice = "Try another --server."
            raise Stop(Exit.UNREACHABLE, f"{text} {advice}") from error


def _answer_of(
    response: httpcore.Response, answer_type: type[T], statuses: Sequence[int]
) -> T:
    if response.status != 200 and response.status not in statuses:
        raise _failure_of(response)
    try:
        return msgspec.json.decode(response.content, type=answer_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        if response.status != 200:
            raise _failure_of(response) from error
        text = "The server's answer can't be read; is it a pepperstep entry host?"
        raise Stop(Exit.INTERNAL, text) from error


def _failure_of(response: httpcore.Response) -> Failure | Stop:
    try:
        error = msgspec.json.decode(response.content, type=_ErrorBody).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        text = f"The server answered with status {response.status} and no error code;"
        return Stop(Exit.INTERNAL, f"{text} is it a pepperstep entry host?")
    failure = Failure(error.code, error.message, execution=Execution.NOT_RUN)
    if exit_of(failure) is Exit.REFUSED_KEY:
        text = f"{error.message} Give an operator's key by --key or $PEPPERSTEP_KEY."
        return Stop(Exit.REFUSED_KEY, text)
    return failure


def _context(authority: str) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=authority or None)
    except (OSError, ssl.SSLError) as error:
        text = f"--authority {authority} can't be read: {error.strerror or error}."
        raise Stop(Exit.USAGE, text) from error
