"""Command `explain`."""

from collections import deque
from urllib.parse import quote

from pepperstep.adapters.operator_messages import HostsView
from pepperstep.cli.exits import CommandError, Exit
from pepperstep.cli.options import Options
from pepperstep.cli.printing import Output, format_time
from pepperstep.cli.server import Server
from pepperstep.errors import Code, Failure
from pepperstep.observability.explanations import Explanation, Step

__all__ = ["explain"]

# Maximum number of hosts to ask about one request.
_MAX_HOSTS = 12


def explain(options: Options, output: Output) -> Exit:
    """Print the history of a request, merged from all its hosts."""
    if len(options.arguments) != 1:
        raise CommandError(
            Exit.USAGE, "explain needs an id: pepperstep explain REQUEST_ID"
        )
    request_id = options.arguments[0]
    server = Server.from_options(options)
    found, unreachable = _collect(server, request_id)
    for name in unreachable:
        output.note(f"Host {name} gave no answer; its part is missing.")
    if not found:
        text = f"No host knows {request_id}; explanations are kept for a while only."
        raise CommandError(
            Exit.UNKNOWN, f"{text} The id is in the header x-request-id."
        )
    output.print(found, _format_explanations(found))
    return Exit.OK


def _collect(server: Server, request_id: str) -> tuple[list[Explanation], list[str]]:
    """Query the owner first, then the hosts named in the explanations found.

    Return the explanations and the names of hosts without an answer.
    """
    urls = {
        each.name: each.caller_url
        for each in server.get("hosts", HostsView).hosts
        if each.caller_url
    }
    owner = request_id.rpartition(".")[0]
    queue = deque(sorted(urls, key=lambda name: (name != owner, name)))
    found: list[Explanation] = []
    unreachable: list[str] = []
    queried: set[str] = set()
    while queue and len(queried) < _MAX_HOSTS:
        name = queue.popleft()
        if name in queried:
            continue
        queried.add(name)
        try:
            explanation = _query(server, urls[name], request_id)
        except CommandError as error:
            if error.code is not Exit.UNREACHABLE:
                raise
            unreachable.append(name)
            continue
        if explanation is None:
            continue
        if not found:
            # From now on, query only hosts that processed the request.
            queue.clear()
        found.append(explanation)
        queue.extend(step.host for step in explanation.steps if step.host in urls)
    return found, unreachable


def _query(server: Server, url: str, request_id: str) -> Explanation | None:
    path = f"explain/{quote(request_id, safe='')}"
    try:
        return server.at(url).get(path, Explanation)
    except Failure as failure:
        if failure.code is Code.UNKNOWN_REQUEST:
            return None
        raise


def _format_explanations(found: list[Explanation]) -> list[str]:
    steps = [(step.at, each.told_by, step) for each in found for step in each.steps]
    steps.sort(key=lambda item: item[0])
    lines = [f"Request {found[0].request_id}:"]
    lines += [
        f"  {format_time(at)}  {host}: {_format_step(step)}" for at, host, step in steps
    ]
    left_out = sum(each.left_out for each in found)
    if left_out:
        lines.append(f"  ({left_out} steps in the middle were left out.)")
    return lines


def _format_step(step: Step) -> str:
    words = [step.kind.replace("_", " ")]
    if step.attempt:
        words.append(f"attempt {step.attempt}")
    if step.upstream:
        words.append(f"on {step.upstream}")
    if step.host:
        words.append(f"host {step.host}")
    return " ".join(words) + (f": {step.reason}" if step.reason else "")
