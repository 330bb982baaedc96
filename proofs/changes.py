"""Mechanisms of changed routes and of roll-outs, and the tests that fail without."""

from proofs.mechanism import Mechanism

__all__ = ["CHANGE_MECHANISMS"]

_TABLES = "tests/relaying/test_table_changes.py::"
_UPDATES = "tests/relaying/test_table_updates.py::"
_HOSTS = "tests/rollouts/test_hosts.py::"
_EVALUATION = "tests/rollouts/test_judgement.py::"
_MACHINE = "tests/rollouts/test_machine.py::"
_VERSIONS = "tests/rollouts/test_versions.py::"

CHANGE_MECHANISMS = (
    Mechanism(
        7,
        "hosts that are behind are sent what changed",
        "coordination/table_history.py",
        "            if step.from_version == version:",
        "            if False:",
        (f"{_TABLES}test_small_change_of_large_table_is_small",),
    ),
    Mechanism(
        7,
        "a transfer goes on where it broke off",
        "coordination/table_fetcher.py",
        "            offset=len(self._partial.data),",
        "            offset=0,",
        (f"{_TABLES}test_transfer_continues_at_another_control_host",),
    ),
    Mechanism(
        7,
        "a step that leads to other bytes is refused",
        "coordination/table_updates.py",
        "    if _digest(data) != step.digest:",
        "    if False:",
        (f"{_UPDATES}test_step_with_wrong_digest_is_refused",),
    ),
    Mechanism(
        7,
        "the whole document is proposed where another change came between",
        "coordination/table_updates.py",
        "    if step.from_version != held.version:",
        "    if False:",
        (f"{_UPDATES}test_step_from_other_version_needs_whole_document",),
    ),
    Mechanism(
        7,
        "a control host that tells nonsense is passed over",
        "coordination/table_fetcher.py",
        "            if version > held and self._passed_until.get(name, now) <= now",
        "            if version > held",
        (f"{_UPDATES}test_control_host_with_bad_updates_is_skipped",),
    ),
    Mechanism(
        7,
        "an order for a roll-out that is sent again changes nothing",
        "rollouts/machine.py",
        "held.to == start.to and _is_repeat(held, start)",
        "False",
        (f"{_MACHINE}test_order_that_is_sent_again_changes_nothing",),
    ),
    Mechanism(
        7,
        "one version is rolled out at a time",
        "rollouts/machine.py",
        "        if held is not None and held.is_running:\n            return False\n",
        "",
        (f"{_MACHINE}test_other_version_is_refused_while_one_runs",),
    ),
    Mechanism(
        7,
        "a version that nobody judges gets nothing",
        "rollouts/versions.py",
        "        if not rollout.share or not self._is_judged(rollout):",
        "        if not rollout.share:",
        (
            f"{_VERSIONS}test_nothing_goes_to_a_version_that_nobody_judges",
            f"{_HOSTS}test_entry_host_that_is_cut_off_stops_sending",
        ),
    ),
    Mechanism(
        7,
        "control hosts tell of roll-outs before an election",
        "coordination/hints.py",
        "        self._rollouts.expect(hints.rollouts)\n",
        "",
        (f"{_HOSTS}test_control_host_without_a_leader_tells_of_roll_outs",),
    ),
    Mechanism(
        7,
        "a worse version is rolled back at once",
        "rollouts/plan.py",
        "    if situation.verdict.is_bad:",
        "    if False:",
        (f"{_HOSTS}test_bad_version_is_taken_back",),
    ),
    Mechanism(
        7,
        "outcomes since the latest step are judged alone, too",
        "rollouts/evaluation.py",
        "    if before is not None:",
        "    if False:",
        (
            f"{_EVALUATION}"
            "test_version_that_turns_bad_by_its_load_is_found_in_spite_of_its_record",
        ),
    ),
    Mechanism(
        7,
        "what one of several upstreams does isn't its version's fault",
        "rollouts/evaluation.py",
        "    if len(upstreams) < 2:",
        "    if True:",
        (
            f"{_EVALUATION}"
            "test_what_one_of_several_upstreams_does_is_not_the_versions_fault",
        ),
    ),
    Mechanism(
        7,
        "a version succeeds once nothing is under way at the others",
        "rollouts/plan.py",
        "    is_quiet = not situation.in_flight and _is_step_over(rollout, situation)",
        "    is_quiet = _is_step_over(rollout, situation)",
        ("tests/rollouts/test_plan.py",),
    ),
)
