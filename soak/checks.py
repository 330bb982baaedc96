"""Verdict on a record: what callers, upstreams and operators may rely on."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from soak.callers import Sent
from soak.hosts import Life
from soak.trial import Record
from soak.upstreams import Arrival

__all__ = ["TIMED_RULES", "Failure", "Verdict", "judge"]

# Rules whose bounds a machine that is too slow for its hosts breaks.
TIMED_RULES = frozenset(("exit in time", "in force"))

# Statuses which promise that a request hasn't run and never will.
_PROMISES = frozenset((408, 421, 429, 503))
_MAX_SAFE_RUNS = 3
# A stopping host serves all requests for at least this share of its grace period.
_EARLY_SHARE = 0.25
# A request sent so late that its upstream still works on it in the last sixth of the
# grace period may be cut, if it was sent soon after the signal.
_LAST_SHARE = 5 / 6
_SOON_SECONDS = 3.0
# A host counts as serving once it has listened for this long.
_SERVING_SECONDS = 1.5
# Share of a deadline or time-out that has passed when it may be over: hosts subtract
# the way of the answer.
_DEADLINE_SHARE = 0.9
# From an acknowledgement until a version is in force, and from a disturbance of a host
# until it keeps to that.
_IN_FORCE_SECONDS = 2.0
_STEADY_SECONDS = 3.0
# Time for which hosts may not know that an upstream has come back under its id. When
# they learn of it, they close the connections that they have opened to it meanwhile.
_RETURN_SECONDS = 5.0
# Time between an event and its observation by the soak, beside its own delay.
_SLACK_SECONDS = 0.5
# From a connection's end until an upstream or the soak sees it.
_SEEN_SECONDS = 0.1
_NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Failure:
    """A broken rule; `at` is in seconds after the start of the callers."""

    rule: str
    at: float
    host: str
    subject: str
    text: str


@dataclass(slots=True)
class Verdict:
    """Failures, and how often each rule was checked and each exemption was used."""

    failures: list[Failure] = field(default_factory=list)
    checks: Counter[str] = field(default_factory=Counter)
    exempt: Counter[str] = field(default_factory=Counter)
    # Ends of requests by their status.
    statuses: Counter[str] = field(default_factory=Counter)
    # Largest share of the grace period that a stopping host took.
    latest_exit: float = 0.0


def judge(record: Record) -> Verdict:
    """Check all rules on a run's record."""
    return _Judge(record).judge()


class _Judge:
    """A record with its indexes."""

    def __init__(self, record: Record):
        self._record = record
        self._verdict = Verdict()
        self._arrivals: dict[bytes, list[Arrival]] = defaultdict(list)
        for arrival in record.arrivals:
            self._arrivals[arrival.attempt].append(arrival)
        self._lives: dict[str, list[Life]] = defaultdict(list)
        for life in record.lives:
            self._lives[life.host].append(life)
        self._forwarded = _find_forwarded(record.lives)

    def judge(self) -> Verdict:
        """Return the verdict."""
        for sent in self._record.sent:
            self._verdict.statuses[_end_of(sent)] += 1
            self._check_answered(sent)
            self._check_runs(sent)
            self._check_content(sent)
            self._check_reason(sent)
            self._check_early(sent)
        for host, at in self._record.refused:
            self._check_refused(host, at)
        for life in self._record.lives:
            self._check_exit(life)
        self._check_versions()
        self._check("settles", self._record.settled_at, "", "", self._record.unsettled)
        return self._verdict

    def _check(self, rule: str, at: float, host: str, subject: str, text: str) -> None:
        """Count a check, which has failed if there is a text."""
        self._verdict.checks[rule] += 1
        if text:
            at = round(at - self._record.begun_at, 2)
            self._verdict.failures.append(Failure(rule, at, host, subject, text))

    def _check_request(self, rule: str, sent: Sent, text: str) -> None:
        if text:
            runs = [f"{a.upstream} {a.outcome}" for a in self._arrivals[sent.attempt]]
            connection = "kept" if sent.is_kept else "new"
            text += (
                f" [{sent.kind}, {connection} connection, deadline {sent.deadline} s, "
                f"ended after {sent.ended_at - sent.sent_at:.2f} s, status "
                f"{sent.status}, {sent.error.decode()} upstreams {runs}, "
                f"{self._describe(sent)}]"
            )
        self._check(rule, sent.sent_at, sent.host, sent.attempt.decode(), text)

    def _describe(self, sent: Sent) -> str:
        """Return what happened to the host's process, from the sending's time on."""
        return "; ".join(
            f"started {life.started_at - sent.sent_at:+.2f} s, signals "
            + ", ".join(f"{name} {at - sent.sent_at:+.2f}" for at, name in life.signals)
            + f", ended {life.ended_at - sent.sent_at:+.2f} with {life.code}"
            for life in self._lives_during(sent)
        )

    def _lives_during(self, sent: Sent) -> list[Life]:
        """Return the processes that may have taken a request."""
        hosts = {sent.host, *self._forwarded.get(sent.attempt, ())}
        return [
            life
            for host in hosts
            for life in self._lives[host]
            if life.started_at <= sent.ended_at
            and life.ended_at >= sent.sent_at - _SEEN_SECONDS
        ]

    def _check_answered(self, sent: Sent) -> None:
        """A request that an upstream has got is answered."""
        if not self._arrivals[sent.attempt]:
            return
        text = ""
        if not sent.status:
            reason = next(self._excuses(sent), "")
            if reason:
                self._verdict.exempt[f"not answered: {reason}"] += 1
            else:
                text = "an upstream got it, and it has no answer"
        self._check_request("answered", sent, text)

    def _excuses(self, sent: Sent) -> Iterator[str]:
        """Yield the reasons for which a request may have no answer of its upstream."""
        if sent.has_left:
            yield "caller left"
        for life in self._lives_during(sent):
            if sent.sent_at <= life.killed_at <= sent.ended_at + _SEEN_SECONDS:
                yield "host killed"
            if any(
                begin <= sent.ended_at and end >= sent.sent_at
                for begin, end in life.pauses()
            ):
                yield "host frozen"
        if any(each.outcome == "crashed" for each in self._arrivals[sent.attempt]):
            yield "upstream broke off"
        if self._is_expired(sent):
            begun = "after the answer began" if sent.has_begun else "before any answer"
            yield f"deadline or time-out {begun}"
        if any(
            each.outcome == "dropped" and each.since_return < _RETURN_SECONDS
            for each in self._arrivals[sent.attempt]
        ):
            yield "upstream came back under its id (KNOWN-RED.txt)"
        for life in self._lives_during(sent):
            last = life.stopped_at + _LAST_SHARE * self._record.plan.grace
            if sent.sent_at <= life.stopped_at + _SOON_SECONDS and any(
                each.ended_at >= last for each in self._arrivals[sent.attempt]
            ):
                yield "end of the grace period"

    def _is_expired(self, sent: Sent) -> bool:
        """Whether a request's deadline, or a time-out in force, has passed."""
        old = [
            each.number
            for each in self._record.versions
            if each.acknowledged_at < sent.sent_at - 2 * _IN_FORCE_SECONDS
        ]
        time_outs = [
            each.timeout
            for each in self._record.versions
            if each.asked_at <= sent.ended_at and each.number >= max(old, default=0)
        ]
        limit = min(sent.deadline, *time_outs)
        return sent.ended_at - sent.sent_at >= _DEADLINE_SHARE * limit

    def _check_runs(self, sent: Sent) -> None:
        """A request runs only as often as its route permits, and not if refused."""
        runs = [each for each in self._arrivals[sent.attempt] if each.has_run]
        limit = _MAX_SAFE_RUNS if sent.kind == "safe" else 1
        text = f"it ran {len(runs)} times" if len(runs) > limit else ""
        self._check_request("runs", sent, text)
        if sent.status in _PROMISES:
            text = "refused as not run, and an upstream ran it" if runs else ""
            self._check_request("promise", sent, text)

    def _check_content(self, sent: Sent) -> None:
        """An answer is that of its request, and whole."""
        if sent.status:
            self._check_request("content", sent, sent.fault)

    def _check_reason(self, sent: Sent) -> None:
        """A request fails only if its upstream did, or its time is over."""
        arrivals = self._arrivals[sent.attempt]
        if sent.status == 504:
            text = "" if self._is_expired(sent) else "time-out before its deadline"
            self._check_request("failed", sent, text)
        elif sent.status == 502:
            has_run = any(each.has_run for each in arrivals)
            reason = next(self._excuses(sent), "")
            if not has_run and not reason and self._has_crash(sent):
                reason = "upstream crashed before it read the request"
            if reason:
                self._verdict.exempt[f"failed: {reason}"] += 1
            self._check_request("failed", sent, "" if reason else "no upstream failed")

    def _has_crash(self, sent: Sent) -> bool:
        """Whether an upstream of the request's service crashed meanwhile."""
        return any(
            service == sent.service
            and sent.sent_at - _SEEN_SECONDS <= at <= sent.ended_at
            for service, at in self._record.crashes
        )

    def _check_early(self, sent: Sent) -> None:
        """A host that was told to stop still serves requests at first."""
        life = self._early_life(sent.host, sent.sent_at)
        if life is None or sent.has_left:
            return
        # A busy host, or one that gets a request in pieces, may decide on it later.
        early = life.stopped_at + _EARLY_SHARE * self._record.plan.grace
        is_refused = b"draining" in sent.error and sent.ended_at < early
        text = "refused early in the grace period" if is_refused else ""
        self._check_request("early", sent, text)

    def _check_refused(self, host: str, at: float) -> None:
        """A host that was told to stop still accepts connections at first."""
        life = self._early_life(host, at)
        if life is not None and not life.killed_at < at:
            text = f"connection refused, stopped {at - life.stopped_at:.2f} s before"
            self._check("early", at, host, "", text)

    def _early_life(self, host: str, at: float) -> Life | None:
        """Return the process that serves and was told to stop shortly before `at`."""
        early = _EARLY_SHARE * self._record.plan.grace
        for life in self._lives[host]:
            if (
                life.stopped_at < at < life.stopped_at + early
                and life.listens_at + _SERVING_SECONDS < life.stopped_at
                and not any(begin <= at for begin, _ in life.pauses())
            ):
                return life
        return None

    def _check_exit(self, life: Life) -> None:
        """A process ends by itself, with 0 and within its grace period."""
        if life.killed_at < _NEVER and life.killed_at < self._due(life):
            self._verdict.exempt["exit: killed"] += 1
            return
        text = ""
        if life.code and life.code != 0 and not _has_begun(life):
            self._verdict.exempt["exit: signal before the program ran"] += 1
        elif life.code != 0:
            text = f"exit status {life.code}"
        elif life.stopped_at == _NEVER:
            text = "ended without a signal"
        if life.code == 0 and life.stopped_at < _NEVER:
            grace = self._due(life) - _SLACK_SECONDS - self._record.delay
            share = (life.ended_at - life.stopped_at) / (grace - life.stopped_at)
            self._verdict.latest_exit = max(self._verdict.latest_exit, share)
        late = ""
        if life.ended_at > self._due(life):
            late = f"ended {life.ended_at - life.stopped_at:.2f} s after its signal"
        signals = [(round(at - life.started_at, 2), s) for at, s in life.signals]
        for rule, each in (("exit", text), ("exit in time", late)):
            each = each and f"{each} [signals after its start: {signals}]"
            self._check(rule, life.started_at, life.host, "", each)

    def _due(self, life: Life) -> float:
        """Return the time at which a process must have ended."""
        pauses = sum(
            end - begin for begin, end in life.pauses() if end > life.stopped_at
        )
        slack = _SLACK_SECONDS + self._record.delay
        return life.stopped_at + self._record.plan.grace + pauses + slack

    def _check_versions(self) -> None:
        """An acknowledged version comes into force in time, and stays."""
        for number, before in self._record.reads:
            text = f"read {number} after {before} was acknowledged"
            self._check("reads", 0.0, "", "", text if number < before else "")
        newest: dict[str, tuple[int, float]] = {}
        for probe in sorted(self._record.probes, key=lambda each: each.ended_at):
            version, since = newest.get(probe.host, (0, 0.0))
            subject = f"version {probe.version}"
            if probe.is_in_force:
                is_older = probe.version < version and probe.sent_at > since
                text = f"{version} was in force before" if is_older else ""
                self._check("not back", probe.sent_at, probe.host, subject, text)
                if probe.version > version:
                    newest[probe.host] = probe.version, probe.ended_at
            elif self._is_due(probe):
                if self._is_steady(probe.host, probe.sent_at):
                    text = "isn't in force"
                    self._check("in force", probe.sent_at, probe.host, subject, text)
                else:
                    self._verdict.exempt["in force: hosts disturbed"] += 1
            if probe.is_in_force and self._is_due(probe):
                self._check("in force", probe.sent_at, probe.host, subject, "")

    def _is_due(self, probe) -> bool:
        """Whether the probed version must be in force, as the latest one."""
        versions = self._record.versions
        version = versions[probe.version - 1]
        is_latest = (
            probe.version == len(versions)
            or versions[probe.version].asked_at > probe.ended_at
        )
        due = version.acknowledged_at + _IN_FORCE_SECONDS + self._record.delay
        return is_latest and probe.sent_at > due

    def _is_steady(self, host: str, at: float) -> bool:
        """Whether the host and all control hosts have been left alone for a while."""
        for life in self._record.lives:
            if life.host != host and not life.host.startswith("control"):
                continue
            times = [life.listens_at, life.ended_at, *(t for t, _ in life.signals)]
            for begin, end in [*((t, t) for t in times), *life.pauses()]:
                if begin <= at and end >= at - _IN_FORCE_SECONDS - _STEADY_SECONDS:
                    return False
        return True


def _end_of(sent: Sent) -> str:
    """Return how a request ended: its status with the error's code, or without one."""
    if not sent.status:
        return "left" if sent.has_left else "cut"
    return f"{sent.status} {sent.error.decode()}".strip()


def _has_begun(life: Life) -> bool:
    """Whether the process has reached the host's program."""
    return any("Starting host" in line for line in life.lines())


def _find_forwarded(lives: list[Life]) -> dict[bytes, set[str]]:
    """Return the hosts to which requests were forwarded, from the hosts' logs."""
    hosts: dict[str, str] = {}
    forwarded = defaultdict(set)
    for life in lives:
        hosts[_address_number(life.host)] = life.host
    for life in lives:
        for line in life.lines():
            if "request_forwarded" not in line:
                continue
            event = json.loads(line)
            number = event["to"].rpartition(":")[0].rpartition(".")[2]
            if number in hosts:
                forwarded[event["request"].encode()].add(hosts[number])
    return forwarded


def _address_number(host: str) -> str:
    return host.rpartition("-")[2]
