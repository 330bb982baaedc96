"""Command-line tool, against an HTTP server in a thread and without a server."""

import json
import socket
import threading
from dataclasses import replace
from functools import partial

import pytest
import trio

from pepperstep.adapters.http_api import serve_api
from pepperstep.cli import Exit, main
from pepperstep.configuration import ChangeAnswer, ChangeStatus, Limits
from pepperstep.errors import Code, Execution, Failure, Finding
from pepperstep.observability.explanations import StepKind
from pepperstep.observability.views import HostView, StatusView, VoterView
from tests.api.fake_node import BASE_TEXT, CALLER_KEY, OPERATOR_KEY, FakeNode
from tests.api.test_server import settings_of

SETTINGS = """
[host]
name = "entry-0"
zone = "zone-a"
region = "dosanko"
site = "kitahara"
peer_address = "127.0.0.1:7000"
caller_address = "127.0.0.1:8080"
[control]
voters = ["entry-0"]
"""


def free_port() -> int:
    """Return a free port of the loopback interface."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


class Server:
    """A fake host that serves in a thread until `stop` is called."""

    def __init__(self, name: str = "entry-0") -> None:
        self._name = name
        self.port = free_port()
        self.url = f"http://127.0.0.1:{self.port}"
        self._started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._serve,))
        self._thread.start()
        assert self._started.wait(10)
        self.node: FakeNode

    async def _serve(self) -> None:
        self.node = FakeNode(self._name)
        self._token = trio.lowlevel.current_trio_token()
        self._stop = trio.Event()
        async with trio.open_nursery() as nursery:
            serve = serve_api
            arguments = (self.node.api(), settings_of(self.port), Limits)
            await nursery.start(
                lambda task_status: serve(*arguments, self._stop.wait, task_status)
            )
            self._started.set()
            await self._stop.wait()

    def note(self, *arguments, **options) -> None:
        """Add a step to the explanation of a request."""
        note = partial(self.node.explanations.note, *arguments, **options)
        trio.from_thread.run_sync(note, trio_token=self._token)

    def stop(self) -> None:
        """Stop the server and wait for the end of the thread."""
        self._token.run_sync_soon(self._stop.set)
        self._thread.join(10)
        assert not self._thread.is_alive()


@pytest.fixture
def server():
    started = Server()
    yield started
    started.stop()


@pytest.fixture
def run(server, capsys, monkeypatch):
    """Return a function that runs the tool against the server."""
    monkeypatch.setenv("PEPPERSTEP_KEY", OPERATOR_KEY)
    monkeypatch.setenv("PEPPERSTEP_SERVER", server.url)

    def run_tool(*arguments: str) -> tuple[int, str, str]:
        code = main(arguments)
        output = capsys.readouterr()
        assert "Traceback" not in output.err
        return code, output.out, output.err

    return run_tool


@pytest.fixture
def overlay(tmp_path):
    path = tmp_path / "kitahara.toml"
    path.write_text('site = "kitahara"\n[deployments.zaseki-model]\nmax_replicas = 9\n')
    return path


@pytest.mark.parametrize(
    ("command", "text", "member"),
    [
        ("status", "Host entry-0 in zone-a of kitahara is ready.", "revision"),
        ("hosts", "entry-1", "hosts"),
        ("upstreams", "engine-0", "upstreams"),
        ("events", "No events.", "events"),
        ("show", "deployments.zaseki-model.max_replicas", "values"),
    ],
)
def test_views_as_text_and_json(run, command, text, member):
    code, out, _ = run(command)
    assert (code, text in out) == (Exit.OK, True)
    code, out, err = run(command, "--json")
    assert (code, member in json.loads(out), err) == (Exit.OK, True, "")


@pytest.mark.parametrize(
    ("leader", "is_redundant", "texts"),
    [
        ("entry-0", False, ["must NOT be lost", "entry-1: learner, entry 7, seen 0.5"]),
        ("entry-0", True, ["may be lost without harm", "seen 0.5 s ago"]),
        ("entry-1", None, ["entry-1 leads in term 4", "  entry-1: learner\n"]),
        ("", None, ["no leader"]),
    ],
)
def test_status_of_control_hosts(run, server, leader, is_redundant, texts):
    voters = (VoterView("entry-1", "learner", 7, 0.5),)
    view = replace(
        StatusView("entry-0", "zone-a", "dosanko", "kitahara", 1),
        leader=leader,
        term=4,
        is_redundant=is_redundant,
        voters=voters,
        reasons_not_ready=("No quorum.",),
    )
    server.node.status = lambda: view
    _, out, _ = run("status")
    for text in [*texts, "is not ready.\n  No quorum."]:
        assert text in out
    assert ("without harm" in out) is (is_redundant is True)


def test_show_prints_origins_and_documents(run):
    _, out, _ = run("show")
    rows = {line.split()[0]: line.split()[1:] for line in out.splitlines()[2:]}
    assert rows["deployments.zaseki-model.max_replicas"] == ["8", "kitahara"]
    assert rows["deployments.zaseki-model.min_replicas"] == ["1", "default"]
    assert run("show", "--document=base")[1] == BASE_TEXT
    code, _, err = run("show", "--document=nowhere")
    assert (code, "base, kitahara" in err) == (Exit.UNKNOWN, True)


def test_apply_and_conflict(run, server, overlay):
    code, out, err = run("apply", str(overlay))
    assert (code, out) == (Exit.OK, "Accepted as revision 2.\n")
    change = server.node.store.changes[0]
    assert change.change_id in err
    assert (change.document, change.from_revision) == ("kitahara", 1)
    code, out, _ = run("apply", str(overlay), "--from_revision=1", "--change_id=mine")
    assert (code, "by chief made revision 2 first" in out) == (Exit.CONFLICT, True)
    assert server.node.store.changes[1].change_id == "mine"
    code, out, _ = run("apply", str(overlay), "--from_revision=1", "--json")
    assert (code, json.loads(out)["answer"]["status"]) == (Exit.CONFLICT, "conflict")


@pytest.mark.parametrize(
    ("status", "findings", "code", "text"),
    [
        (ChangeStatus.FORBIDDEN, (), Exit.REFUSED_KEY, "may not change kitahara"),
        (ChangeStatus.ID_REUSED, (), Exit.CONFLICT, "was used for another change"),
        (
            ChangeStatus.INVALID,
            (Finding("kitahara", "site", "is odd"),),
            Exit.INVALID,
            "site: is odd",
        ),
    ],
)
def test_apply_refused(run, server, overlay, status, findings, code, text):
    async def refuse(change, timeout):
        return ChangeAnswer(status, 1, None, findings)

    server.node.store.apply_change = refuse
    found, out, _ = run("apply", str(overlay))
    assert (found, text in out) == (code, True)


def test_apply_without_quorum(run, server, overlay):
    async def fail(change, timeout):
        raise Failure(Code.NO_QUORUM, "No quorum answered.", retry_after=1.0)

    server.node.store.apply_change = fail
    code, _, err = run("apply", str(overlay))
    assert (code, "No quorum answered." in err) == (Exit.UNAVAILABLE, True)


@pytest.mark.parametrize("execution", Execution)
def test_apply_tells_whether_the_change_may_have_been_made(
    run, server, overlay, execution
):
    """Guards against a change that its operator takes for refused."""

    async def fail(change, timeout):
        raise Failure(Code.NO_QUORUM, "No quorum answered.", execution=execution)

    server.node.store.apply_change = fail
    code, _, err = run("apply", str(overlay))
    assert code == Exit.UNAVAILABLE
    is_doubtful = execution is Execution.MAY_HAVE_RUN
    assert ("may still have been made: resend it by its id" in err) is is_doubtful


def test_drain_and_events(run, server):
    assert run("drain", "entry-1")[0] == Exit.OK
    assert server.node.drained == ["entry-1"]
    assert "Host entry-1 drains. Operator chief asked for it." in run("events")[1]
    assert run("events", "--after=1")[1] == "No events.\n"
    code, _, err = run("drain", "entry-9")
    assert code == Exit.UNKNOWN
    assert err == "pepperstep: No host entry-9 is known. (unknown_name)\n"


def test_explain_queries_owner_and_participating_hosts(run, server):
    other = Server("entry-1")
    try:
        server.node.hosts = lambda: [
            host_view("entry-0", server.url),
            host_view("entry-1", other.url),
            host_view("entry-2", f"http://127.0.0.1:{free_port()}"),
            host_view("entry-3", f"http://127.0.0.1:{free_port()}"),
        ]
        request_id = "entry-1.cmpl-1"
        other.note(request_id, StepKind.ACCEPTED)
        other.note(request_id, StepKind.RECORDED, host="entry-0")
        other.note(request_id, StepKind.MOVED, host="entry-2", reason="Reclaim.")
        server.note(request_id, StepKind.TAKEN_OVER)
        code, out, err = run("explain", request_id)
        assert code == Exit.OK
        for text in ("entry-1: accepted", "entry-0: taken over", "host entry-2: Recl"):
            assert text in out
        assert err == "pepperstep: Host entry-2 gave no answer; its part is missing.\n"
        code, _, err = run("explain", "entry-0.cmpl-2")
        assert (code, "No host knows entry-0.cmpl-2" in err) == (Exit.UNKNOWN, True)
    finally:
        other.stop()


def host_view(name: str, url: str) -> HostView:
    """Return the view of a host with a URL for callers."""
    return HostView(name, "alive", "zone-a", "dosanko", "kitahara", "x:1", url)


def test_next_server_is_tried_if_one_is_unreachable(run, server):
    closed = f"http://127.0.0.1:{free_port()}"
    assert run("status", f"--server={closed},{server.url}")[0] == Exit.OK
    assert run("status", f"--server={closed}", f"--server={server.url}")[0] == Exit.OK
    code, out, err = run("status", f"--server={closed}")
    assert (code, out) == (Exit.UNREACHABLE, "")
    assert err.count("\n") == 1
    assert "--server" in err


def test_wrong_keys(run, tmp_path, monkeypatch):
    key_file = tmp_path / "key"
    key_file.write_text(OPERATOR_KEY + "\n")
    for key in ("wrong", CALLER_KEY):
        code, _, err = run("status", f"--key={key}")
        assert (code, err.count("\n")) == (Exit.REFUSED_KEY, 1)
        assert "$PEPPERSTEP_KEY" in err
    monkeypatch.delenv("PEPPERSTEP_KEY")
    assert run("status")[0] == Exit.USAGE
    assert run("status", f"--key_file={key_file}")[0] == Exit.OK


def test_server_of_another_kind(run):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"

        def answer() -> None:
            for data in (b"HTTP/1.1 200 OK\r\n\r\nhello", b"junk\r\n\r\n", b""):
                with listener.accept()[0] as connection:
                    connection.recv(10_000)
                    connection.sendall(data)

        thread = threading.Thread(target=answer)
        thread.start()
        codes = [run("status", f"--server={url}")[0] for _ in range(3)]
        thread.join()
    assert codes == [Exit.INTERNAL, Exit.UNREACHABLE, Exit.UNREACHABLE]


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        ((), Exit.USAGE),
        (("--help",), Exit.OK),
        (("help", "apply"), Exit.OK),
        (("apply", "--help"), Exit.OK),
        (("nothing",), Exit.USAGE),
        (("status", "--no_such_flag"), Exit.USAGE),
        (("events", "--limit=many"), Exit.USAGE),
        (("events", "--limit=0"), Exit.USAGE),
        (("drain",), Exit.USAGE),
        (("apply", "one", "two"), Exit.USAGE),
        (("apply", "no-such-file"), Exit.USAGE),
        (("explain",), Exit.USAGE),
        (("check",), Exit.USAGE),
        (("check", "no-such-file"), Exit.USAGE),
        (("status", "--key=\xe9"), Exit.USAGE),
        (("status", "--key_file=no-such-file"), Exit.USAGE),
        (("status", "--key=k", "--server=ftp://x"), Exit.USAGE),
        (("status", "--key=k", "--authority=no-such-file"), Exit.USAGE),
    ],
)
def test_usage(capsys, monkeypatch, arguments, code):
    monkeypatch.delenv("PEPPERSTEP_KEY", raising=False)
    assert main(arguments) == code
    output = capsys.readouterr()
    assert "Traceback" not in output.err
    if code is Exit.OK:
        assert "Exit codes:" in output.out
        assert "pepperstep apply" in output.out or arguments == ("--help",)
    elif arguments:
        assert output.err.count("\n") == 1


CHECKS = [
    ({"a.toml": SETTINGS}, []),
    ({"a.toml": BASE_TEXT}, []),
    ({"a.toml": BASE_TEXT, "b.toml": 'site = "kitahara"\n'}, []),
    ({"a.toml": 'site = "kitahara"\n'}, ["a.toml: document: can be checked only"]),
    ({"a.toml": BASE_TEXT, "b.toml": BASE_TEXT}, ["b.toml: document: is a second"]),
    ({"a.toml": "x = 1"}, ["a.toml: document: has no `host`"]),
    ({"a.toml": "x = "}, ["is no TOML"]),
    (
        {
            "a.toml": SETTINGS.replace("zone-a", "Z Z").replace(
                "[control]", "other = 1\n[control]"
            ),
            "b.toml": BASE_TEXT + "[workspaces.bad]\nweight = 0\n",
            "c.toml": 'site = "nowhere"\n[callers.x]\nworkspace = "w"\n',
        },
        ["a.toml: host.zone:", "a.toml: host.other:", "b.toml: workspaces.bad.weight"]
        + ["c.toml: callers.x.key_sha256"],
    ),
]


@pytest.mark.parametrize(("files", "findings"), CHECKS)
def test_check_reports_all_findings_at_once(tmp_path, capsys, files, findings):
    for name, text in files.items():
        (tmp_path / name).write_text(text)
    paths = [str(tmp_path / name) for name in files]
    assert main(["check", *paths]) == (Exit.INVALID if findings else Exit.OK)
    out = capsys.readouterr().out
    for finding in findings:
        assert finding in out
    main(["check", "--json", *paths])
    assert json.loads(capsys.readouterr().out)["is_valid"] is not bool(findings)


def test_check_of_invalid_utf8(tmp_path, capsys):
    path = tmp_path / "a.toml"
    path.write_bytes(b"\xff\xfe")
    assert main(["check", str(path)]) == Exit.INVALID
    assert "is not UTF-8" in capsys.readouterr().out
