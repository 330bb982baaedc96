"""Commands `status`, `hosts`, `upstreams`, `drain` and `events`."""

from collections.abc import Iterator

from pepperstep.adapters.operator_messages import (
    DrainBody,
    EventsView,
    HostsView,
    UpstreamsView,
)
from pepperstep.cli.exits import CommandError, Exit
from pepperstep.cli.options import Options
from pepperstep.cli.printing import Output, format_time
from pepperstep.cli.server import Server
from pepperstep.observability.views import StatusView, VoterView

__all__ = ["drain", "events", "hosts", "status", "upstreams"]


def status(options: Options, output: Output) -> Exit:
    """Print the state of the answering host."""
    view = Server.from_options(options).get("status", StatusView)
    output.print(view, _status_lines(view))
    return Exit.OK


def hosts(options: Options, output: Output) -> Exit:
    """Print the hosts known to the answering host."""
    view = Server.from_options(options).get("hosts", HostsView)
    titles = ("HOST", "STATE", "ZONE", "SITE", "ROLES", "PEERS", "CALLERS")
    rows = [
        (
            each.name,
            each.state,
            each.zone,
            each.site,
            "+".join(_roles(bool(each.caller_url), each.is_control)),
            each.peer_address,
            each.caller_url or "-",
        )
        for each in view.hosts
    ]
    output.print(view, output.table(titles, rows))
    return Exit.OK


def upstreams(options: Options, output: Output) -> Exit:
    """Print the upstreams known to the answering host."""
    view = Server.from_options(options).get("upstreams", UpstreamsView)
    titles = ("UPSTREAM", "STATE", "ZONE", "SERVES", "HERE", "RUNS", "WAITS", "SLOTS")
    rows = [
        (
            each.name,
            "leaving" if each.is_leaving else each.ejected or "ok",
            each.zone,
            each.service or ",".join(each.models) or "-",
            each.in_flight,
            each.running,
            each.waiting,
            each.slots,
        )
        for each in view.upstreams
    ]
    output.print(view, output.table(titles, rows))
    return Exit.OK


def drain(options: Options, output: Output) -> Exit:
    """Start the drain of a host."""
    if len(options.arguments) != 1:
        raise CommandError(Exit.USAGE, "drain needs one name: pepperstep drain HOST")
    body = DrainBody(options.arguments[0])
    answer = Server.from_options(options).post("drain", body, DrainBody)
    output.print(answer, [f"Host {answer.host} drains; see `pepperstep hosts`."])
    return Exit.OK


def events(options: Options, output: Output) -> Exit:
    """Print the event log of the answering host."""
    path = f"events?limit={options.limit}"
    if options.after is not None:
        path += f"&after={options.after}"
    view = Server.from_options(options).get(path, EventsView)
    lines = [
        f"{each.id}  {format_time(each.at)}  {each.host}  {each.part}: {each.text}"
        + (f" {each.reason}" if each.reason else "")
        for each in view.events
    ]
    output.print(view, lines or ["No events."])
    return Exit.OK


def _roles(is_entry: bool, is_control: bool) -> Iterator[str]:
    if is_entry:
        yield "entry"
    if is_control:
        yield "control"


def _status_lines(view: StatusView) -> Iterator[str]:
    state = "leaving" if view.is_leaving else "ready"
    if view.reasons_not_ready:
        state = "not ready"
    yield f"Host {view.host} in {view.zone} of {view.site} is {state}."
    for reason in view.reasons_not_ready:
        yield f"  {reason}"
    yield f"Revision {view.revision} is in force; {view.in_flight} requests in flight."
    leader = f"{view.leader} leads in term {view.term}" if view.leader else "no leader"
    yield f"Control hosts: {leader}."
    if view.is_redundant is not None:
        text = "may be lost without harm" if view.is_redundant else "must NOT be lost"
        yield f"One control host {text}."
    # Only the leader knows the progress of the other control hosts.
    is_leader = view.leader == view.host
    for voter in view.voters:
        yield f"  {voter.host}: {voter.role}" + (
            _format_progress(voter) if is_leader else ""
        )


def _format_progress(voter: VoterView) -> str:
    age = "-" if voter.contact_age is None else f"{voter.contact_age:.1f} s ago"
    return f", entry {voter.match_index}, seen {age}"
