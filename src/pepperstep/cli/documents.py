"""Commands `check`, `apply` and `show`."""

import secrets
from pathlib import Path

import msgspec

from pepperstep.adapters.operator_messages import ChangeBody, ConfigurationView
from pepperstep.cli.exits import CommandError, Exit
from pepperstep.cli.options import Options
from pepperstep.cli.printing import Output
from pepperstep.cli.server import Server
from pepperstep.configuration import (
    BASE,
    ChangeAnswer,
    ChangeStatus,
    Document,
    merge,
    parse,
)
from pepperstep.errors import Finding, InvalidDocument
from pepperstep.settings import read_settings

__all__ = ["apply", "check", "show"]

_CHANGE_STATUSES = (403, 409, 422)
_EXITS = {
    ChangeStatus.ACCEPTED: Exit.OK,
    ChangeStatus.CONFLICT: Exit.CONFLICT,
    ChangeStatus.ID_REUSED: Exit.CONFLICT,
    ChangeStatus.INVALID: Exit.INVALID,
    ChangeStatus.FORBIDDEN: Exit.REFUSED_KEY,
}


class CheckReport(msgspec.Struct):
    """Result of `check` for all files."""

    is_valid: bool
    findings: list[Finding]


class ApplyReport(msgspec.Struct):
    """Result of a change."""

    change_id: str
    document: str
    answer: ChangeAnswer


def check(options: Options, output: Output) -> Exit:
    """Validate files together, without a server."""
    if not options.arguments:
        raise CommandError(Exit.USAGE, "check needs a file: pepperstep check FILE...")
    findings: list[Finding] = []
    documents: list[Document] = []
    for name in options.arguments:
        try:
            document = _read_document(name)
            if document is None:
                read_settings(Path(name))
            else:
                documents.append(document)
        except InvalidDocument as error:
            findings += error.findings
        except OSError as error:
            raise _unreadable_file(name, error) from error
    findings += _merge_findings(documents)
    output.print(CheckReport(not findings, findings), _check_lines(findings))
    return Exit.INVALID if findings else Exit.OK


def apply(options: Options, output: Output) -> Exit:
    """Propose a document to the control hosts, which accept or refuse it."""
    if len(options.arguments) != 1:
        raise CommandError(Exit.USAGE, "apply needs one file: pepperstep apply FILE")
    name = options.arguments[0]
    text = _read_text(name)
    document = parse(text, name)
    document_name = _name_of(document.table)
    if not document_name:
        finding = Finding(name, "document", "is neither a base nor an overlay")
        raise InvalidDocument([finding])
    server = Server.from_options(options)
    revision = options.from_revision
    if revision is None:
        revision = server.get("configuration", ConfigurationView).revision
    change_id = options.change_id or secrets.token_hex(8)
    body = ChangeBody(document_name, text, revision, change_id)
    # Printed before sending, so that a change whose answer is lost can be resent.
    output.note(f"Change {change_id} of {document_name} from revision {revision}.")
    answer = server.post("configuration", body, ChangeAnswer, _CHANGE_STATUSES)
    report = ApplyReport(change_id, document_name, answer)
    output.print(report, _apply_lines(name, report))
    return _EXITS[answer.status]


def show(options: Options, output: Output) -> Exit:
    """Print the configuration in force, each value with its origin."""
    view = Server.from_options(options).get("configuration", ConfigurationView)
    if not options.document:
        widths = [(each.path, each.value, each.document) for each in view.values]
        title = f"Revision {view.revision}."
        output.print(view, [title, *output.table(("VALUE", "", "FROM"), widths)])
        return Exit.OK
    for each in view.documents:
        if each.name == options.document:
            output.print(each, each.text.splitlines())
            return Exit.OK
    names = ", ".join(each.name for each in view.documents)
    text = f"No document {options.document}; there are: {names}."
    raise CommandError(Exit.UNKNOWN, text)


def _read_document(name: str) -> Document | None:
    """Return the base or overlay in a file, None for a settings file."""
    text = _read_text(name)
    document = parse(text, name)
    found = _name_of(document.table)
    if found:
        return parse(text, found, name)
    if "host" in document.table:
        return None
    text = "has no `host` (settings), no `sites` (base) and no `site` (overlay)"
    raise InvalidDocument([Finding(name, "document", text)])


def _name_of(table: dict) -> str:
    """Return the document's name, "" for neither a base nor an overlay."""
    if "sites" in table:
        return BASE
    site = table.get("site")
    return site if isinstance(site, str) else ""


def _merge_findings(documents: list[Document]) -> list[Finding]:
    bases = [document for document in documents if document.name == BASE]
    overlays = [document for document in documents if document.name != BASE]
    if len(bases) > 1:
        return [Finding(bases[1].file, "document", "is a second base")]
    if not bases and overlays:
        text = "can be checked only together with its base: give that file, too"
        return [Finding(overlays[0].file, "document", text)]
    if not bases:
        return []
    try:
        merge(bases[0], overlays)
    except InvalidDocument as error:
        return error.findings
    return []


def _read_text(name: str) -> str:
    try:
        return Path(name).read_bytes().decode()
    except OSError as error:
        raise _unreadable_file(name, error) from error
    except UnicodeDecodeError as error:
        finding = Finding(name, f"byte {error.start}", "is not UTF-8")
        raise InvalidDocument([finding]) from error


def _unreadable_file(name: str, error: OSError) -> CommandError:
    return CommandError(Exit.USAGE, f"{name} can't be read: {error.strerror or error}.")


def _check_lines(findings: list[Finding]) -> list[str]:
    if not findings:
        return ["All files are valid."]
    return [*map(str, findings), f"{len(findings)} findings."]


def _apply_lines(name: str, report: ApplyReport) -> list[str]:
    answer = report.answer
    match answer.status:
        case ChangeStatus.ACCEPTED:
            return [f"Accepted as revision {answer.revision}."]
        case ChangeStatus.CONFLICT if answer.winner is not None:
            winner = answer.winner
            return [
                f"Refused: change {winner.change_id} by {winner.operator or 'nobody'}"
                f" made revision {winner.revision} first.",
                f"Read it by `pepperstep show --document={report.document}`, put your",
                f"change in, and apply it with --from_revision={answer.revision}.",
            ]
        case ChangeStatus.CONFLICT:
            return [f"Refused: revision {answer.revision} is in force."]
        case ChangeStatus.ID_REUSED:
            return [
                f"Refused: id {report.change_id} was used for another change.",
                "For a resend give the same file and --from_revision as at first;",
                "for a new change leave --change_id out.",
            ]
        case ChangeStatus.FORBIDDEN:
            return [f"Refused: your key may not change {report.document}."]
    lines = [f"{name}: {found.path}: {found.text}" for found in answer.findings]
    return ["Refused, as the documents would not be valid together:", *lines]
