"""Client of the operators' HTTP interface of entry hosts."""

import copy
import ssl
from collections.abc import Sequence
from typing import Any, TypeVar

import httpcore
import msgspec

from pepperstep.adapters.operator_messages import OPERATOR_PREFIX
from pepperstep.cli.exits import CommandError, Exit, exit_code_for
from pepperstep.cli.options import Options
from pepperstep.errors import Code, Execution, Failure

__all__ = ["Server"]

_CONNECT_TIMEOUT_SECONDS = 3.0
# Longer than the time for which a server waits for a quorum.
_ANSWER_TIMEOUT_SECONDS = 15.0

_RESEND_ADVICE = "A change may still have been made: resend it by its id."

T = TypeVar("T")


class _Error(msgspec.Struct):
    message: str
    code: Code = Code.INTERNAL
    execution: Execution = Execution.MAY_HAVE_RUN


class _ErrorBody(msgspec.Struct):
    error: _Error


class Server:
    """Client that sends each call to the first reachable of several entry hosts."""

    def __init__(self, urls: Sequence[str], key: str, authority: str = ""):
        self._urls = list(urls)
        self._key = key
        self._pool = httpcore.ConnectionPool(ssl_context=_tls_context(authority))

    @classmethod
    def from_options(cls, options: Options) -> "Server":
        """Return a client for the servers in the options."""
        if not options.key:
            text = "No key: give --key, --key_file or $PEPPERSTEP_KEY."
            raise CommandError(Exit.USAGE, text)
        return cls(options.servers, options.key, options.authority)

    def get(self, path: str, answer_type: type[T]) -> T:
        """Send a GET request and return the decoded answer."""
        return self._call("GET", path, b"", answer_type)

    def post(
        self, path: str, body: Any, answer_type: type[T], statuses: Sequence[int] = ()
    ) -> T:
        """Send a POST request and return the decoded answer.

        `statuses` lists the statuses besides 200 that come with an answer.
        """
        data = msgspec.json.encode(body)
        return self._call("POST", path, data, answer_type, statuses)

    def at(self, url: str) -> "Server":
        """Return a client for the server at `url` alone that shares the connections."""
        server = copy.copy(self)
        server._urls = [url]
        return server

    def _call(
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
                # Nothing was sent, so the next server may be tried.
                reasons.append(f"{url}: {str(error) or type(error).__name__}")
                continue
            is_change = method != "GET"
            return _decode_answer(response, answer_type, statuses, is_change)
        text = f"No server can be reached ({'; '.join(reasons)})."
        raise CommandError(
            Exit.UNREACHABLE,
            f"{text} Give the URL of a running entry host by --server.",
        )

    def _request(self, method: str, url: str, body: bytes) -> httpcore.Response:
        headers = {"authorization": f"Bearer {self._key}"}
        timeout = {
            "connect": _CONNECT_TIMEOUT_SECONDS,
            "read": _ANSWER_TIMEOUT_SECONDS,
            "write": _ANSWER_TIMEOUT_SECONDS,
            "pool": _CONNECT_TIMEOUT_SECONDS,
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
            advice = "Try another --server." if method == "GET" else _RESEND_ADVICE
            raise CommandError(Exit.UNREACHABLE, f"{text} {advice}") from error


def _decode_answer(
    response: httpcore.Response,
    answer_type: type[T],
    statuses: Sequence[int],
    is_change: bool,
) -> T:
    if response.status != 200 and response.status not in statuses:
        raise _decode_failure(response, is_change)
    try:
        return msgspec.json.decode(response.content, type=answer_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        if response.status != 200:
            raise _decode_failure(response, is_change) from error
        text = "The server's answer can't be read; is it a pepperstep entry host?"
        raise CommandError(Exit.INTERNAL, text) from error


def _decode_failure(
    response: httpcore.Response, is_change: bool
) -> Failure | CommandError:
    try:
        error = msgspec.json.decode(response.content, type=_ErrorBody).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        text = f"The server answered with status {response.status} and no error code;"
        return CommandError(Exit.INTERNAL, f"{text} is it a pepperstep entry host?")
    message = error.message
    if is_change and error.execution is Execution.MAY_HAVE_RUN:
        message = f"{message} {_RESEND_ADVICE}"
    failure = Failure(error.code, message, execution=error.execution)
    if exit_code_for(failure) is Exit.REFUSED_KEY:
        text = f"{error.message} Give an operator's key by --key or $PEPPERSTEP_KEY."
        return CommandError(Exit.REFUSED_KEY, text)
    return failure


def _tls_context(authority: str) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=authority or None)
    except (OSError, ssl.SSLError) as error:
        text = f"--authority {authority} can't be read: {error.strerror or error}."
        raise CommandError(Exit.USAGE, text) from error
