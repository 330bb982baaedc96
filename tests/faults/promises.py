"""The seven promises, checked on what a scene has seen."""

from pepperstep.configuration import ChangeStatus
from pepperstep.entities import ServiceAnswer
from pepperstep.errors import Code, Execution
from pepperstep.fakes import FakeEngine, answer_of
from tests.faults.scene import POISON, Scene

__all__ = ["check_promises"]

_LEAVING_SECONDS = 3.0


def check_promises(scene: Scene) -> None:
    """Raise AssertionError with all that the scene broke."""
    findings = [
        *_check_survival(scene),
        *_check_own_answers(scene),
        *_check_refusals(scene),
        *_check_runs(scene),
        *_check_leaving(scene),
        *_check_drains(scene),
        *_check_configuration(scene),
        *_check_crashes(scene),
    ]
    assert not findings, "\n".join(findings)


def _check_survival(scene: Scene) -> list[str]:
    """(a) Each accepted request is answered whole."""
    findings = [f for c in scene.callers for f in c.findings if "Cut by" not in f]
    for caller in scene.callers:
        if caller.outcome is None:
            findings.append(f"(a) {caller.name}: no outcome in time.")
        elif _is_promised(caller, scene) and not caller.outcome.is_answered:
            findings.append(f"(a) {caller.name}: {caller.outcome}.")
    beside = scene.stream.outcome_beside
    if scene.stream.outcome and (beside is None or not beside.is_answered):
        findings.append(f"(a) The reader beside got {beside}.")
    return findings


def _is_promised(caller, scene: Scene) -> bool:
    """Whether an answer is due: a claim may end in doubt, a crash in a refusal."""
    return caller.is_repeatable and caller.prompt != POISON


def _check_own_answers(scene: Scene) -> list[str]:
    """(b) Whole answers have all tokens, each the request's own."""
    findings = []
    stream = scene.stream
    answers = [(c, c.tokens, c.outcome) for c in scene.callers if c.is_repeatable]
    answers.append((stream, stream.tokens_beside, stream.outcome_beside))
    for caller, tokens, outcome in answers:
        if outcome is None or not outcome.is_answered:
            continue
        if tokens != answer_of(caller.request) or outcome.finish != "length":
            findings.append(f"(b) {caller.name}: {len(tokens)} tokens, {outcome}.")
    answer = ServiceAnswer(200, "application/json", b"done service")
    for caller in (scene.service, scene.repeat):
        outcome = caller.outcome
        if outcome and outcome.is_answered and outcome.service != answer:
            findings.append(f"(b) Service: {outcome.service}.")
    return findings


def _check_refusals(scene: Scene) -> list[str]:
    """(c) What was refused with "not run" ran nowhere."""
    ran = set()
    for each in scene.upstreams.all.values():
        if isinstance(each, FakeEngine):
            ran |= {attempt_id.rsplit(".", 2)[0] for attempt_id in each.attempts}
        else:
            ran |= {request_id for request_id, n in each.runs_by_id.items() if n}
    return [
        f"(c) {refusal} has run."
        for caller in scene.callers
        for refusal in caller.refusals
        if refusal.execution is Execution.NOT_RUN and refusal.request_id in ran
    ]


def _check_runs(scene: Scene) -> list[str]:
    """(d) What isn't repeatable runs at most once, and its outcome is true."""
    service = scene.service
    runs = sum(
        each.runs[service.name.encode()]
        for each in scene.upstreams.all.values()
        if not isinstance(each, FakeEngine)
    )
    if runs > 1:
        return [f"(d) Ran {runs} times."]
    findings = []
    for outcome in (service.outcome, scene.repeat.outcome):
        if outcome is None:
            continue
        if outcome.is_answered and runs != 1:
            findings.append(f"(d) Answered after {runs} runs.")
        is_refused = not outcome.is_answered
        if is_refused and outcome.execution is Execution.NOT_RUN and runs:
            findings.append(f"(d) Has run: {outcome}.")
    return findings


def _check_leaving(scene: Scene) -> list[str]:
    """(e) An upstream gets nothing new 3 s after it said that it leaves."""
    return [
        f"(e) {opened} but left at {left_at}."
        for opened in scene.opened
        if (left_at := scene.left_at.get((opened.upstream, opened.epoch))) is not None
        and opened.time > left_at + _LEAVING_SECONDS
    ]


def _check_drains(scene: Scene) -> list[str]:
    """(f) No caller is cut by a drain."""
    return [f"(f) {f}" for c in scene.callers for f in c.findings if "Cut by" in f]


def _check_configuration(scene: Scene) -> list[str]:
    """(g) What was accepted is in force on all hosts, and none goes back."""
    findings = [f"(g) {finding}" for c in scene.changes for finding in c.findings]
    accepted = [change for change in scene.changes if change.is_accepted]
    if len(accepted) != 1:
        findings.append(f"(g) {len(accepted)} changes were accepted.")
    for change in scene.changes:
        if any(answer != change.answer for answer in change.answers):
            findings.append(f"(g) A resend got another answer: {change.answers}.")
        if not change.is_accepted:
            findings += _check_loser(change, accepted)
    for name, host in scene.hosts.hosts.items():
        if host.node.reasons_not_ready():
            findings.append(f"(g) {name}: {host.node.reasons_not_ready()}.")
        value = host.node.configuration.limits.max_queue
        if accepted and value != accepted[0].value:
            findings.append(f"(g) {name} has value {value} in force.")
    return findings + _check_no_return(scene)


def _check_loser(change, accepted) -> list[str]:
    if change.answer is None:
        return [f"(g) Change {change.change_id} has no answer."]
    is_told = (
        change.answer.winner is not None
        and accepted
        and (change.answer.winner.change_id == accepted[0].change_id)
    )
    if change.answer.status is ChangeStatus.CONFLICT and is_told:
        return []
    return [f"(g) {change.change_id}: {change.answer}."]


def _check_no_return(scene: Scene) -> list[str]:
    findings = []
    newest: dict[str, int] = {}
    for served in scene.hosts.served:
        if not served.is_ready:
            continue
        if served.revision < newest.get(served.host, 0):
            findings.append(f"(g) Went back: {served}.")
        newest[served.host] = max(newest.get(served.host, 0), served.revision)
    return findings


def _check_crashes(scene: Scene) -> list[str]:
    """A crashing content ends two upstreams at most, and is told so."""
    crashed = [engine.name for engine in scene.upstreams.engines if engine.has_crashed]
    findings = [f"Crashed: {crashed}."] if len(crashed) > 2 else []
    for caller in scene.callers:
        is_poison = caller.prompt == POISON and caller.outcome is not None
        if is_poison and caller.outcome.code is not Code.CRASHING_REQUEST:
            findings.append(f"{caller.name}: {caller.outcome}.")
    return findings
