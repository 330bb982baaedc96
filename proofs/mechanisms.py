"""Mechanisms behind the points, and the tests that fail without each."""

from proofs.changes import CHANGE_MECHANISMS
from proofs.mechanism import Cut, Mechanism
from proofs.relay import RELAY_MECHANISMS

__all__ = ["MECHANISMS", "POINTS", "Cut", "Mechanism"]

POINTS = {
    1: "An accepted request survives an announced reclaim.",
    2: "A caller receives the whole answer to its own request.",
    3: "What is refused with 'not run' did not run.",
    4: "What isn't repeatable runs at most once.",
    5: "A leaving upstream receives nothing new.",
    6: "A graceful shutdown cuts off no request.",
    7: "An accepted configuration is in force and never reverts.",
    8: "Quotas, stated limits and retry budgets hold over all hosts.",
    9: "Work finds upstreams with room, and these are ordered ahead of losses.",
}

_REQUESTS = "tests/faults/test_requests.py::test_promises_hold"
_CHANGES = "tests/faults/test_changes.py::test_promises_hold"


MECHANISMS = (
    Mechanism(
        1,
        "another attempt after an upstream was lost",
        "requests/driver.py",
        "            await self._diagnose_loss(run, placement.upstream, plan, start)\n"
        "        except AttemptStopped as stopped:",
        "            raise Failure(Code.UPSTREAM_FAILED, 'Lost.') from None\n"
        "        except AttemptStopped as stopped:",
        (f"{_REQUESTS}[stream-in_mid_stream-upstream_dies]",),
    ),
    Mechanism(
        1,
        "the second host takes over from an owner that is gone",
        "requests/backup_records.py",
        "if backup.is_takeover_pending\n"
        "            or is_gone(backup.link.owner, backup.link.incarnation)",
        "if backup.is_takeover_pending",
        (f"{_REQUESTS}[stream-in_mid_stream-owner_is_killed]",),
    ),
    Mechanism(
        1,
        "moves off an upstream before its announced end",
        "requests/mover.py",
        "            self._start_move(move, open_attempts[move.request_id])",
        "            pass",
        ("tests/moves/test_reclaims.py",),
    ),
    Mechanism(
        2,
        "chunks carry their attempt",
        "requests/answer_check.py",
        "        if attempt_id == self._attempt_id:",
        "        if True:",
        (f"{_REQUESTS}[stream-in_mid_stream-answers_are_crossed]",),
    ),
    Mechanism(
        2,
        "positions without gaps",
        "requests/answer_check.py",
        "        if chunk.position > expected:",
        "        if False:",
        (f"{_REQUESTS}[stream-in_mid_stream-answers_have_gaps]",),
    ),
    Mechanism(
        2,
        "the end mark's count",
        "requests/answer_check.py",
        "        if mark.count != expected:",
        "        if False:",
        (f"{_REQUESTS}[stream-in_mid_stream-answers_end_early]",),
    ),
    Mechanism(
        2,
        "doubled chunks are dropped",
        "requests/answer_check.py",
        "        return chunk.tokens[repeated_count:]",
        "        return chunk.tokens",
        (f"{_REQUESTS}[stream-in_mid_stream-answers_are_doubled]",),
    ),
    Mechanism(
        3,
        "a lost call is told as one that may have run",
        "requests/driver.py",
        '            "The upstream was lost while it ran what must not be repeated.",\n'
        "            execution=Execution.MAY_HAVE_RUN,",
        '            "The upstream was lost while it ran what must not be repeated.",\n'
        "            execution=Execution.NOT_RUN,",
        (
            f"{_REQUESTS}[service-replied-owner_is_killed]",
            "tests/requests/test_once.py",
        ),
    ),
    Mechanism(
        3,
        "a claim that wasn't granted in time is given up",
        "claims/client.py",
        "            if not is_granted:\n                self._release(pending)",
        "            pass",
        ("tests/claims/test_claims.py",),
    ),
    Mechanism(
        4,
        "one claim for a key",
        "claims/machine.py",
        "        if holder.fingerprint != record.fingerprint:",
        "        del self._claims[record.workspace, record.key]\n"
        "        return self._grant(record)\n"
        "        if holder.fingerprint != record.fingerprint:",
        (f"{_REQUESTS}[service-dispatched-messages_are_doubled]",),
    ),
    Mechanism(
        4,
        "no second attempt after a doubt",
        "requests/driver.py",
        "        if run.request.is_repeatable or is_ended:",
        "        if True:",
        (
            f"{_REQUESTS}[service-dispatched-upstream_dies]",
            "tests/requests/test_once.py",
        ),
    ),
    Mechanism(
        4,
        "the second host knows of the dispatch before the first byte",
        "requests/journal.py",
        "        if run.request.is_repeatable:\n            self.mark_changed(run)",
        "        if True:\n            self.mark_changed(run)",
        ("tests/requests/test_once.py",),
    ),
    Mechanism(
        5,
        "all three layers that keep new requests away",
        "membership/registry.py",
        "            if record.renewed_at <= oldest or record.is_ending:",
        "            if record.renewed_at <= oldest:",
        (f"{_REQUESTS}[stream-accepted-messages_are_doubled]",),
        (
            Cut(
                "requests/mover.py",
                "        return [u for u in self._view.candidates() "
                "if not self.is_leaving(u)]",
                "        return list(self._view.candidates())",
            ),
            Cut(
                "requests/placing.py",
                "                if not self._moves.is_leaving(placement.upstream):",
                "                if True:",
            ),
        ),
    ),
    Mechanism(
        5,
        "leaving upstreams aren't chosen",
        "requests/mover.py",
        "        return [u for u in self._view.candidates() if not self.is_leaving(u)]",
        "        return list(self._view.candidates())",
        ("tests/moves/test_reclaims.py", "tests/moves/test_guard.py"),
    ),
    Mechanism(
        5,
        "the registry hides what leaves",
        "membership/registry.py",
        "            if record.renewed_at <= oldest or record.is_ending:",
        "            if record.renewed_at <= oldest:",
        ("tests/membership/test_upstreams.py",),
    ),
    Mechanism(
        5,
        "leaving holds for good within a start",
        "membership/records.py",
        "    is_leaving = known.upstream.is_leaving or update.upstream.is_leaving\n",
        "    is_leaving = newest.upstream.is_leaving\n",
        (
            "tests/membership/test_upstreams.py"
            "::test_order_and_repeats_make_no_difference",
        ),
    ),
    Mechanism(
        6,
        "a drain waits for the requests in progress",
        "node.py",
        "            while self.requests.running:",
        "            while False:",
        ("tests/faults/test_drains.py",),
    ),
    Mechanism(
        6,
        "the callers' listener serves its open streams to their end",
        "adapters/http_api/server.py",
        "_GRACEFUL_SECONDS = 3600.0",
        "_GRACEFUL_SECONDS = 0.0",
        ("tests/api/test_server.py::test_graceful_stop_finishes_open_streams",),
    ),
    Mechanism(
        7,
        "a change is accepted only by its first commit",
        "configuration/machine.py",
        "        if not record.revision <= change.from_revision <= revision:",
        "        if False:",
        (f"{_CHANGES}[sent-operators_race]",),
    ),
    Mechanism(
        7,
        "a resend gets its first answer",
        "configuration/machine.py",
        "        if recorded is not None:",
        "        if False:",
        (
            "tests/configuration/test_change_machine.py"
            "::test_resend_gets_its_first_answer",
        ),
    ),
    Mechanism(
        7,
        "older updates change nothing",
        "configuration/versions.py",
        "        if update.revision <= self._revision:\n            return True\n",
        "",
        ("tests/configuration/test_distribution.py",),
    ),
    Mechanism(
        7,
        "the leader pushes each revision",
        "configuration/distribution.py",
        "                self._tree.start_from_root(self._nursery, push)",
        "                pass",
        (
            "tests/configuration/test_distribution.py"
            "::test_push_alone_reaches_all_hosts_past_dead_ones",
        ),
    ),
    Mechanism(
        7,
        "a restarted host isn't ready before it knows the agreed revision",
        "configuration/distribution.py",
        "        if not self._is_ready and self._confirmed_at >= self._started_at:",
        "        if not self._is_ready:",
        ("tests/configuration/test_distribution.py",),
    ),
    *RELAY_MECHANISMS,
    *CHANGE_MECHANISMS,
)
