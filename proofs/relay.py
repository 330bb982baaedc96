"""Mechanisms of the relay and its coordination, and the tests that fail without."""

from proofs.mechanism import Cut, Mechanism

__all__ = ["RELAY_MECHANISMS"]

_RELAY = "tests/relaying/test_relay.py::"
_COORDINATION = "tests/relaying/test_coordination.py::"
_HOST_SHARE = "tests/relaying/test_host_share.py::"
_RETRY_WINDOWS = (
    "tests/relaying/test_retry_windows.py"
    "::test_no_window_exceeds_the_retry_budget_during_faults"
)
_CRASHES = "tests/relaying/test_crashing_requests.py::"
_CRASHING = (
    f"{_CRASHES}test_content_that_crashed_three_upstreams_hardly_reaches_any_more"
)
_SUSPECTS = "tests/relaying/test_suspects.py::"
_BLAME = "tests/relaying/test_blame.py::"
_PARTS = (
    "tests/relaying/test_crashing_parts.py::"
    "test_part_that_crashed_five_engines_hardly_reaches_any_more"
)
_DEPARTURES = "tests/relaying/test_acknowledged_leaving.py::"
_ACKNOWLEDGED = (
    f"{_DEPARTURES}test_no_host_sends_to_an_upstream_whose_leaving_was_acknowledged"
)
_GROUP = "tests/relaying/test_group.py::"
_HANDOVER = "tests/relaying/test_handover.py::"
_HANDOVER_ORDERS = "tests/relaying/test_handover_properties.py::"
_LOST = "tests/relaying/test_lost_contact.py::"
_AUTOSCALER = "tests/relaying/test_autoscaler.py::"
_PLACEMENT = "tests/relaying/test_placement.py::"
_QUOTAS = "tests/relaying/test_quota_windows.py::"
_KINDS = "tests/relaying/test_quota_kinds.py::"
_LATE = "tests/relaying/test_late_answers.py::"
_PROMISES = "tests/relaying/test_promises.py::"
_FORWARDING = "tests/relaying/test_peer_forwarding.py::"
_PARTIAL = "tests/relaying/test_partial_views.py::"
_LEAVING = "tests/relaying/test_leaving_upstreams.py::"
_LIMITS = "tests/relaying/test_stated_limits.py::"
_SILENCE = "tests/relaying/test_silence.py::"
_SILENT = "tests/relaying/test_silent_upstreams.py::"
_RETRY_AFTER = "tests/relaying/test_retry_after.py::"
_RESTARTS = "tests/relaying/test_upstream_restarts.py::"

_BROKEN = "tests/relaying/test_broken_answers.py::"
_VERSIONS = "tests/relaying/test_stream_versions.py::"
_DRAINING = "tests/relaying/test_draining.py::"

RELAY_MECHANISMS = (
    Mechanism(
        2,
        "a stream that ends inside an event has been broken off",
        "relay/answers.py",
        "        if events.has_partial:\n",
        "        if False:\n",
        (
            f"{_BROKEN}test_stream_that_ends_inside_an_event_does_not_look_complete",
            f"{_BROKEN}test_stream_that_ends_inside_an_event_is_resumed_after_the_last"
            "_whole_one",
        ),
    ),
    Mechanism(
        2,
        "a stream goes on at the software version that began it",
        "relay/choice.py",
        "        if software is not None:\n"
        "            selected = self._versions.select_bound(",
        "        if False:\n            selected = self._versions.select_bound(",
        (f"{_VERSIONS}test_streams_that_are_resumed_do_not_mix_software_versions",),
    ),
    Mechanism(
        2,
        "other hosts keep the origin of a stream",
        "relay/stream_origins.py",
        "            self._nursery.start_soon(self._report, stream)",
        "            pass",
        (
            f"{_VERSIONS}test_stream_goes_on_right_after_the_host_that_served_it_has"
            "_ended",
        ),
    ),
    Mechanism(
        5,
        "an upstream that says in an answer that it leaves is taken at its word",
        "relay/signals.py",
        "if facts.is_leaving and self._catalog.mark_leaving(upstream.key):",
        "if False:",
        (f"{_LEAVING}test_isolated_host_applies_leaving_in_an_answer",),
    ),
    Mechanism(
        5,
        "what one host's answer says of its upstream is told to all",
        "coordination/sync_server.py",
        "            self._catalog.mark_leaving(upstream, sender)\n",
        "            pass\n",
        (f"{_LEAVING}test_leaving_in_one_answer_reaches_all_hosts",),
    ),
    Mechanism(
        8,
        "an upstream that names a time to come back gets nothing before",
        "relay/signals.py",
        "if facts.retry_after and status in _REFUSAL_STATUSES:",
        "if False:",
        (f"{_RETRY_AFTER}test_refused_request_is_served_by_a_free_upstream",),
    ),
    Mechanism(
        8,
        "one host grants the permits of a stated limit for all",
        "relay/permits.py",
        '        asked = self._owners.owner_of(upstream[0]) or ""\n',
        "        asked = self._owners.own_name\n",
        (f"{_LIMITS}test_all_hosts_together_obey_an_upstreams_limit[7-1.0-/safe/1]",),
    ),
    Mechanism(
        8,
        "hosts next in line take off what was granted",
        "relay/permits.py",
        "bucket.charge(message.count, rate, _capacity_of(rate), self._now())",
        "pass",
        (f"{_LIMITS}test_limit_holds_while_hosts_disagree_on_the_owner[1]",),
    ),
    Mechanism(
        8,
        "a host that was granted nothing leaves the upstream alone",
        "relay/permits.py",
        '        self._backoff.hold(upstream, bounded, "no permit", asked)\n'
        "        return False\n",
        "        return True\n",
        (f"{_LIMITS}test_all_hosts_together_obey_an_upstreams_limit[7-1.0-/safe/1]",),
    ),
    Mechanism(
        8,
        "one host's answer with a limit is told to all",
        "relay/signals.py",
        "        self._has_pending.set()\n",
        "        pass\n",
        (f"{_LIMITS}test_hosts_learn_a_limit_from_another_hosts_answer",),
    ),
    Mechanism(
        2,
        "an answer belongs to the request whose id it names",
        "relay/attempt.py",
        "while facts.attempt_id != request.facts.attempt_id:",
        "while False:",
        (
            f"{_RELAY}test_answer_without_the_requests_id_is_refused",
            f"{_LATE}test_late_answers_are_skipped_whatever_they_say",
        ),
    ),
    Mechanism(
        2,
        "an upstream's own status is no promise that a request hasn't run",
        "relay/attempt.py",
        "        if is_promise(head.status) and not request.route.is_repeatable:\n",
        "        if False:\n",
        (f"{_PROMISES}test_upstream_that_ran_a_request_makes_no_promise",),
    ),
    Mechanism(
        2,
        "only a host's mark tells that it has refused a forwarded request",
        "relay/peer_forwarding.py",
        "        was_refused = has_mark(head)\n",
        "        was_refused = is_promise(head.status)\n",
        (
            f"{_FORWARDING}test_status_from_another_host_alone_is_no_promise",
            f"{_PROMISES}test_upstream_cannot_mark_a_refusal",
        ),
    ),
    Mechanism(
        2,
        "an answer that breaks off resets the caller's connection",
        "relay/relay.py",
        "            exchange.abort()\n",
        "            pass\n",
        (f"{_RELAY}test_broken_stream_never_looks_complete",),
    ),
    Mechanism(
        2,
        "only whole events are passed on",
        "relay/answers.py",
        "            complete_events = events.feed(piece)\n",
        "            events.feed(piece)\n            complete_events = piece\n",
        (f"{_RELAY}test_broken_stream_resumes_after_the_last_complete_event",),
    ),
    Mechanism(
        2,
        "a whole answer is sent though its time is just over",
        "relay/answers.py",
        "with trio.move_on_after(_SEND_TIMEOUT_SECONDS, shield=True) as scope:",
        "with trio.move_on_after(_SEND_TIMEOUT_SECONDS) as scope:",
        (f"{_RELAY}test_answer_just_before_the_deadline_is_sent_completely[200]",),
    ),
    Mechanism(
        2,
        "a request that is framed twice is refused",
        "adapters/http1/connection.py",
        "if has_conflicting_framing(event.headers):",
        "if False:",
        (
            "tests/relaying/test_http1.py::"
            "test_malformed_request_is_refused_and_not_handled",
        ),
    ),
    Mechanism(
        4,
        "what may have run is repeated only if it's repeatable",
        "relay/relay.py",
        "        return request.route.is_repeatable\n",
        "        return True\n",
        (f"{_RELAY}test_once_only_request_with_attempts_left_runs_once",),
    ),
    Mechanism(
        3,
        "a request whose connection broke may have run",
        "relay/attempt.py",
        "request.may_have_run = request.may_have_run or fault.was_sent",
        "request.may_have_run = request.may_have_run",
        (f"{_RELAY}test_broken_once_only_request_is_never_reported_as_not_run",),
    ),
    Mechanism(
        5,
        "most voters know of an upstream's leaving",
        "coordination/departures.py",
        "return 2 * len(voters.intersection(names)) > len(voters)",
        "return bool(names)",
        (f"{_ACKNOWLEDGED}[leaves-announce_at_minority-12-5]",),
    ),
    Mechanism(
        5,
        "a repeat of an upstream's leaving is told again",
        "coordination/sync_server.py",
        "now.key != before.key\n        await self._acknowledge(",
        "now.key != before.key\n        is_news and await self._acknowledge(",
        (f"{_ACKNOWLEDGED}[leaves-repeat_at_isolated_host-5-3]",),
    ),
    Mechanism(
        5,
        "an upstream's leaving is on the disk",
        "coordination/departures.py",
        "            await self._store()\n",
        "            pass\n",
        (f"{_ACKNOWLEDGED}[leaves-kill_all_hosts-5-3]",),
    ),
    Mechanism(
        5,
        "an upstream's end outlives a restart",
        "coordination/hints.py",
        "return self._catalog.age(upstream.id) < _KEEP_GONE_SECONDS",
        "return False",
        (f"{_DEPARTURES}test_late_announcement_after_restart_is_ignored",),
    ),
    Mechanism(
        5,
        "entry hosts have taken an upstream's leaving in",
        "coordination/departures.py",
        "            await self._entry_host_progress.wait_applied(version)\n",
        "            pass\n",
        (f"{_DEPARTURES}test_leaving_is_acknowledged_once_entry_hosts_applied_it",),
    ),
    Mechanism(
        5,
        "entry hosts ask most voters",
        "coordination/sync_client.py",
        "voter_majority = len(self._voters) // 2 + 1",
        "voter_majority = 0",
        (f"{_ACKNOWLEDGED}[leaves-announce_at_majority-12-5]",),
    ),
    Mechanism(
        5,
        "an upstream that is gone stays gone",
        "coordination/upstream_catalog.py",
        "is_gone=known.is_gone or heard.is_gone,",
        "is_gone=heard.is_gone,",
        (f"{_COORDINATION}test_late_announcement_does_not_bring_an_upstream_back",),
    ),
    Mechanism(
        6,
        "a leaving entry host tells so at once",
        "programs/entry_host.py",
        "            self.sync.sync_now()\n",
        "            pass\n",
        (f"{_COORDINATION}test_leaving_entry_host_leaves_the_directory_at_once",),
    ),
    Mechanism(
        6,
        "entry hosts' reports age on their way",
        "coordination/sync_server.py",
        "EntryReport.from_message(message), age + message.age\n",
        "EntryReport.from_message(message), age\n",
        (
            "tests/relaying/test_entry_host_catalog.py::test_transit_time_adds_to_age_of_reports",
        ),
    ),
    Mechanism(
        7,
        "the highest version wins",
        "coordination/tables.py",
        "if message.version > self.document.version:",
        "if True:",
        (f"{_COORDINATION}test_version_that_is_not_higher_changes_nothing",),
    ),
    Mechanism(
        7,
        "hints of the agreed table",
        "programs/control_host.py",
        "        await self._hints.load()\n",
        "",
        (f"{_COORDINATION}test_restarted_control_hosts_serve_table_before_election",),
    ),
    Mechanism(
        7,
        "a learner takes a silent voter's place",
        "consensus/repair.py",
        "silent = [voter for voter, age in ages.items() if age > limit]",
        "silent = []",
        (
            f"{_GROUP}test_host_at_a_new_address_replaces_a_lost_one",
            f"{_HANDOVER}test_disk_lost_a_second_after_a_kill_ends_the_log",
        ),
    ),
    Mechanism(
        7,
        "an elected host knows how long the leader before it has been silent",
        "consensus/node.py",
        "            self._follower.silent_leader,\n",
        "",
        (f"{_HANDOVER}test_disk_lost_a_second_after_a_kill_ends_the_log",),
    ),
    Mechanism(
        7,
        "a learner takes the place of a voter that leaves",
        "consensus/repair.py",
        "if count < self._target_voter_count or leaving:",
        "if count < self._target_voter_count:",
        (
            f"{_HANDOVER}test_disk_lost_after_planned_replacement_ends_the_log",
            f"{_HANDOVER_ORDERS}"
            "test_acknowledged_version_is_lost_in_an_order_of_allowed_losses",
        ),
    ),
    Mechanism(
        7,
        "a learner that doesn't answer isn't promoted",
        "consensus/repair.py",
        " if silence <= limit]",
        "]",
        (f"{_HANDOVER}test_dead_learner_is_promoted",),
    ),
    Mechanism(
        7,
        "the next leader needn't wait for the end of a released lease",
        "consensus/follower.py",
        "        if request.is_lease_released:\n",
        "        if False:\n",
        (f"{_HANDOVER}test_stopped_leader_leaves_a_group_without_a_leader",),
    ),
    Mechanism(
        9,
        "a control host judges silence only while it's in contact",
        "coordination/silence.py",
        "if was_frozen or not self._quorum_monitor.has_quorum():",
        "if was_frozen:",
        (f"{_SILENCE}test_host_without_quorum_marks_nothing_silent",),
    ),
    Mechanism(
        9,
        "a host that was frozen judges no silence at first",
        "coordination/silence.py",
        "if was_frozen or not self._quorum_monitor.has_quorum():",
        "if not self._quorum_monitor.has_quorum():",
        (f"{_SILENCE}test_frozen_host_marks_nothing_silent",),
    ),
    Mechanism(
        9,
        "one control host that hears an upstream keeps it in use",
        "coordination/silence.py",
        "set(first).intersection(*others)",
        "set(first).union(*others)",
        (f"{_SILENT}test_upstream_that_moves_to_isolated_host_stays_in_use",),
    ),
    Mechanism(
        9,
        "what a control host called silent counts again once it answers again",
        "coordination/silence.py",
        "if vote is None or vote.epoch != reply.registry_epoch:",
        "if vote is None or self._now() - vote.answered_at > _SILENCE_SECONDS:",
        (f"{_SILENCE}test_vote_counts_again_once_control_host_answers",),
    ),
    Mechanism(
        7,
        "a control host that is cut off refuses changes at once",
        "programs/control_host.py",
        "        self._contact.check()\n        await propose_table",
        "        await propose_table",
        (f"{_LOST}test_host_that_is_cut_off_refuses_at_once",),
    ),
    Mechanism(
        9,
        "what a control host out of reach heard last isn't called silent soon",
        "coordination/silence.py",
        "is_reachable = heard_by in reachable",
        "is_reachable = True",
        (f"{_SILENT}test_upstreams_of_unpolled_control_hosts_stay_in_use",),
    ),
    Mechanism(
        9,
        "an announcement ends an upstream's silence",
        "coordination/upstream_catalog.py",
        "if heard_at > self._silent.get(announcement.key, math.inf):",
        "if False:",
        (f"{_SILENCE}test_announcement_ends_silence_at_once",),
    ),
    Mechanism(
        8,
        "the control host that counts most entry hosts is believed",
        "coordination/sync_client.py",
        "        self.entry_count = max(1, *counts)\n",
        "        self.entry_count = max(1, reply.entry_count)\n",
        (f"{_PARTIAL}test_entry_count_is_highest_of_any_control_host",),
    ),
    Mechanism(
        9,
        "a control host without contact doesn't rule the directory",
        "coordination/sync_client.py",
        "        if reply.is_in_contact or not any(connected):\n",
        "        if True:\n",
        (f"{_PARTIAL}test_directory_holds_all_entry_hosts",),
    ),
    Mechanism(
        8,
        "a reserve of the quota for what hosts don't know yet",
        "relay/quotas.py",
        "bucket.level - cost >= reserve",
        "bucket.level - cost >= 0",
        (f"{_QUOTAS}test_no_window_exceeds_the_quota",),
    ),
    Mechanism(
        8,
        "a host without contact keeps to a fraction of its part",
        "relay/quotas.py",
        "            return _ISOLATED_SHARE_FRACTION * equal\n",
        "            return equal\n",
        (f"{_QUOTAS}test_no_window_exceeds_the_quota_with_isolated_hosts",),
    ),
    Mechanism(
        8,
        "a host's part grows with what is left",
        "relay/quotas.py",
        "return equal * max(1.0, _MAX_SHARE_GROWTH * left)",
        "return equal",
        (f"{_QUOTAS}test_shares_of_lost_hosts_are_used",),
    ),
    Mechanism(
        8,
        "quotas are whole after a restart of all hosts",
        "relay/quotas.py",
        "            bucket.level = min(bucket.size.burst, bucket.level + refill)\n",
        "",
        (f"{_QUOTAS}test_most_requests_are_admitted_after_all_hosts_restart",),
    ),
    Mechanism(
        8,
        "no more than the tolerated amount in any window of a quota",
        "relay/quotas.py",
        "        return bucket.spent.seconds_until(room, self._now())\n",
        "        return 0.0\n",
        (f"{_KINDS}test_no_window_exceeds_the_tolerance_without_an_owner",),
    ),
    Mechanism(
        8,
        "a quota without a burst has one second of its rate as one",
        "relay/quota_limits.py",
        "if self.window and burst < least:",
        "if False:",
        (f"{_KINDS}test_demand_within_the_rate_is_served",),
    ),
    Mechanism(
        8,
        "a changed quota starts without the debts of the earlier one",
        "relay/quotas.py",
        "        bucket.spent = SlidingTotal(self._tolerance.window)\n",
        "",
        (f"{_KINDS}test_demand_within_a_changed_rate_is_served",),
    ),
    Mechanism(
        9,
        "prompts go where the host has few requests under way",
        "relay/choice.py",
        "    return work.unread + _TOKENS_PER_REQUEST * work.requests",
        "    return work.unread",
        (f"{_PLACEMENT}test_first_tokens_arrive_in_time",),
    ),
    Mechanism(
        9,
        "hosts rank upstreams alike by a prompt's shared part",
        "relay/choice.py",
        "+ rank_cost_share * shared * rank",
        "",
        (f"{_PLACEMENT}test_prompts_with_a_shared_part_go_to_few_engines",),
    ),
    Mechanism(
        9,
        "steady upstreams are ordered ahead of the next zone's loss",
        "coordination/scaling.py",
        "_missing_after_next_loss(\n"
        "            needed_on_average, expected_counts, are_losses_clustered\n"
        "        )",
        "needed_now - sum(expected_counts)",
        (f"{_AUTOSCALER}test_capacity_suffices_after_two_zone_losses",),
    ),
    Mechanism(
        9,
        "a service without upstreams is ordered some",
        "coordination/autoscaler.py",
        "if is_empty and now - self._started_at < _EMPTY_DISCOVERY_SECONDS:",
        "if is_empty:",
        (f"{_AUTOSCALER}test_steady_stay_until_reclaimable_run_again",),
    ),
    Mechanism(
        7,
        "hosts that start ask often",
        "coordination/sync_client.py",
        "if is_reachable or self._timers.now() < startup_until:",
        "if is_reachable:",
        (f"{_COORDINATION}test_entry_host_soon_finds_control_hosts_that_start_later",),
    ),
    Mechanism(
        8,
        "a content that has broken three runs is refused",
        "relay/crash_guard.py",
        "return self._suspects.blocked_seconds(*request.features)",
        "return 0.0",
        (f"{_CRASHING}[calm-6-0.8-1]",),
    ),
    Mechanism(
        8,
        "hosts tell each other which contents break runs",
        "relay/crash_guard.py",
        "if await send_notice(self._peers, self._control_hosts(), notice):",
        "if True:",
        (
            f"{_CRASHES}test_blocked_content_is_refused_at_once_by_hosts_that_never"
            "_sent_it",
        ),
    ),
    Mechanism(
        8,
        "an answer clears a content",
        "relay/attempt.py",
        "self._crash_guard.record_answer(request)",
        "pass",
        (f"{_CRASHES}test_content_that_broke_off_by_chance_is_served_again[4]",),
        (
            Cut(
                "relay/attempt.py",
                "self._crash_guard.record_alive(upstream.key, "
                "request.attempt_started_at)",
                "pass",
            ),
        ),
    ),
    Mechanism(
        8,
        "runs that break at the same time are of one round",
        "coordination/suspects.py",
        "loss = _Loss(known_round + 1, self._now())",
        "loss = _Loss(self.suspicion_of(digest).round + 1, self._now())",
        (
            f"{_SUSPECTS}test_runs_that_break_at_the_same_time_block_only_for_a_short_time",
        ),
    ),
    Mechanism(
        8,
        "a trial renews the block",
        "relay/crash_guard.py",
        "if self._suspects.record_trial(feature):",
        "if False:",
        (f"{_CRASHES}test_trials_of_a_blocked_content_that_upstreams_refuse_are_few",),
    ),
    Mechanism(
        8,
        "an upstream that answers hasn't crashed",
        "relay/attempt.py",
        "self._crash_guard.record_alive(upstream.key, request.attempt_started_at)",
        "pass",
        (f"{_CRASHES}test_content_is_not_blocked_while_its_upstreams_answer_others",),
    ),
    Mechanism(
        8,
        "contents outlive a loss of power of all hosts",
        "coordination/hints.py",
        "self._suspects.merge(hints.suspects)",
        "pass",
        (f"{_CRASHES}test_blocked_content_stays_blocked_after_a_loss_of_all_power",),
    ),
    Mechanism(
        8,
        "prompt parts are features of requests",
        "relay/relayed_request.py",
        "self._parts = part_digests(self.facts.prompt_parts)",
        "self._parts = ()",
        (f"{_PARTS}[/stream/1-2.5-6-calm]",),
    ),
    Mechanism(
        8,
        "answers show parts to be sound",
        "relay/crash_guard.py",
        "if self._suspects.record_answer(part, request.begun_at):",
        "if False:",
        (f"{_PARTS}[/stream/1-2.5-6-calm]",),
    ),
    Mechanism(
        8,
        "parts that crash upstreams in one round aren't blamed",
        "coordination/blame.py",
        "_MIN_ROUNDS = 2",
        "_MIN_ROUNDS = 1",
        (f"{_BLAME}test_losses_of_one_round_blame_no_part",),
    ),
    Mechanism(
        8,
        "parts that another one explains aren't blamed",
        "coordination/blame.py",
        "explained.update(*leaders.values())",
        "losses = {part: losses[part] for part in losses.keys() - leaders.keys()}",
        (f"{_BLAME}test_part_that_explains_all_crashes_is_blamed_alone",),
    ),
    Mechanism(
        8,
        "retries draw on a budget",
        "relay/relay.py",
        "if request.attempt_count and not self._spend_retry(request):",
        "if False:",
        (f"{_RELAY}test_retries_stop_when_their_budget_is_exhausted",),
    ),
    Mechanism(
        8,
        "a host starts with nothing saved of the retries' allowance",
        "relay/budget.py",
        "counts.saved = counts.credit = 0.0",
        "counts.saved, counts.credit = 60.0, 0.0",
        (f"{_HOST_SHARE}test_restarting_hosts_never_exceed_the_allowance_in_a_window",),
    ),
    Mechanism(
        8,
        "a host without word of the others uses no allowance",
        "relay/budget.py",
        "(by_allowance > counts.saved or not self._share.part)",
        "by_allowance > counts.saved",
        (f"{_HOST_SHARE}test_short_loss_of_contact_keeps_the_saved_retries",),
    ),
    Mechanism(
        8,
        "a lower number of hosts counts after a window",
        "coordination/host_share.py",
        "while len(self._host_counts) > 1 and self._host_counts[0][0] < limit:",
        "while len(self._host_counts) > 1:",
        (f"{_HOST_SHARE}test_lower_host_count_applies_after_a_window",),
    ),
    Mechanism(
        8,
        "control hosts that are cut off tell no number of hosts",
        "programs/entry_host.py",
        "if reply.is_in_contact:",
        "if True:",
        (f"{_RETRY_WINDOWS}[cut_in_unequal_parts-5-5]",),
    ),
    Mechanism(
        2,
        "an upstream's later start replaces what was known of the one before",
        "coordination/upstream_catalog.py",
        "if announcement.incarnation > known.announcement.incarnation:",
        "if False:",
        (f"{_RESTARTS}test_later_start_replaces_all_that_was_known",),
    ),
    Mechanism(
        2,
        "requests at an upstream that started again end at once",
        "programs/entry_host.py",
        "        self._pools.close_all(before.key)\n",
        "        pass\n",
        (f"{_RESTARTS}test_request_at_restarted_upstream_is_retried_at_once",),
    ),
    Mechanism(
        9,
        "an announcement of another service changes no known upstream",
        "coordination/upstream_catalog.py",
        "return has_both and heard.service != known.service",
        "return False",
        (f"{_RESTARTS}test_service_does_not_change_within_a_start",),
    ),
    Mechanism(
        1,
        "entry hosts tell callers where to connect while control hosts are down",
        "coordination/sync_server.py",
        "            reply.directory.CopyFrom(directory.to_message())\n",
        "            pass\n",
        (
            "tests/relaying/test_directory.py::"
            "test_entry_hosts_serve_it_without_control_hosts",
        ),
    ),
    Mechanism(
        8,
        "a host's own clock is one vote on the true time",
        "coordination/sync_client.py",
        "return now + _median(others, self._timers.wall() - now)",
        "return self._timers.wall()",
        (
            "tests/relaying/test_clock_steps.py::"
            "test_clock_jumps_do_not_change_the_estimated_time",
        ),
    ),
    Mechanism(
        9,
        "hosts place prompts by what others have sent, too",
        "relay/choice.py",
        "return own + peer_work[upstream]",
        "return own",
        (
            "tests/relaying/test_shared_load.py::"
            "test_small_prompts_avoid_an_engine_busy_with_another_hosts_prompt",
        ),
    ),
    Mechanism(
        9,
        "one host grants what is left of a quota",
        "relay/quotas.py",
        "admission = None if claim is None else await claim(workspace.name, cost)",
        "admission = None",
        (f"{_QUOTAS}test_many_hosts_grant_the_remaining_quota",),
    ),
    Mechanism(
        7,
        "control hosts tell each other what changed only",
        "coordination/entry_host_catalog.py",
        "if state.version > version",
        "if True",
        ("tests/relaying/test_entry_host_catalog.py::test_only_changes_are_published",),
    ),
    Mechanism(
        7,
        "one control host tells the others of an entry host",
        "coordination/sync_client.py",
        "return not connected or name == connected[0]",
        "return True",
        (
            "tests/relaying/test_entry_host_catalog.py::"
            "test_one_control_host_publishes_an_entry_host",
        ),
    ),
    Mechanism(
        9,
        "steady upstreams follow the mean of the work",
        "coordination/scaling.py",
        "needed_on_average = max(math.ceil(demand.mean), _MIN_UPSTREAMS)",
        "needed_on_average = needed",
        (
            "tests/relaying/test_scaling.py::"
            "test_steady_follow_the_mean_when_zones_are_lost",
        ),
    ),
    Mechanism(
        9,
        "a system that nobody has used gives back at once",
        "coordination/autoscaler.py",
        "state.is_unused = holder.is_first and not demand.peak",
        "state.is_unused = False",
        (f"{_AUTOSCALER}test_unused_upstreams_are_released_at_system_start",),
    ),
    Mechanism(
        6,
        "a stopping host takes only what ends before it does",
        "programs/draining.py",
        "elapsed < self.any_length or elapsed + remaining <= self.answered",
        "True",
        (f"{_DRAINING}test_late_request_is_taken_or_early_one_is_refused",),
    ),
    Mechanism(
        6,
        "what is in progress when a host ends is answered",
        "relay/relay.py",
        "            request.is_ended = not scope.cancel_called\n"
        "            scope.cancel()",
        "            pass",
        (f"{_DRAINING}test_request_in_progress_at_the_end_is_cut",),
    ),
    Mechanism(
        6,
        "connections that wait are accepted before a listener is closed",
        "adapters/http1/server.py",
        "                self._accept_last(listener, nursery)",
        "                listener.close()",
        (f"{_DRAINING}test_connections_that_wait_are_reset_by_closing",),
    ),
    Mechanism(
        6,
        "only idle connections of a closing server are closed",
        "adapters/http1/connection.py",
        "        if not self.has_unread_request:\n            self._sock.close()",
        "        self._sock.close()",
        (f"{_DRAINING}test_unread_request_of_a_kept_connection_is_cut_by_closing",),
    ),
    Mechanism(
        6,
        "a second stop signal changes nothing",
        "stop_signals.py",
        "            self._requested.set()",
        "            self._requested.set()\n"
        "            signal.signal(number, signal.SIG_DFL)",
        ("tests/wire/test_stopping_hosts.py",),
    ),
)
