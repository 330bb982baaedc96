"""The counts of arrivals must find what exceeds each bound, and nothing else."""

from dataclasses import replace

from standins.arrivals import Arrival, ArrivalLog, Sending
from standins.retry_rule import RetryRule

RULE = RetryRule(ratio=0.2, allowance=2.0, window=10.0)


def log_of(times: list[float], *, crashes: int = 0, crashing: str = "") -> ArrivalLog:
    """Return a log of requests that arrive once each, the first ones crashing."""
    log = ArrivalLog()
    for number, time in enumerate(times):
        name = b"a-%d" % number
        log.sendings[name] = Sending(name, "desk", time, 1.0, 2, crashing)
        has_crashed = number < crashes
        arrival = Arrival(name, "desk", f"u{number}", time, 1.0, True, has_crashed)
        log.arrivals.append(arrival)
    return log


def test_window_counts_arrivals_beyond_the_first():
    log = log_of([0.0, 1.0, 2.0, 3.0, 4.0])
    assert log.fullest_windows(RULE) == {}
    log.arrivals += [replace(each, time=5.0) for each in log.arrivals[:4]]
    assert log.fullest_windows(RULE) == {"desk": (4, 3.0)}


def test_runs_beyond_the_route_are_counted():
    log = log_of([0.0])
    [first] = log.arrivals
    log.arrivals += [replace(first, upstream="u1")]
    assert log.count_attempt_excess() == 0
    log.arrivals += [replace(first, upstream="u2")]
    assert log.count_attempt_excess() == 1


def test_time_beyond_the_caller_is_counted():
    log = log_of([0.0])
    [first] = log.arrivals
    log.arrivals += [replace(first, time=0.6, wait=0.4)]
    assert log.count_time_excess() == 0
    log.arrivals += [replace(first, time=0.7, wait=0.9)]
    assert log.count_time_excess() == 1
    log.arrivals += [replace(first, time=0.7, wait=0.9, unread=0.5)]
    assert log.count_time_excess() == 1


def test_content_may_come_three_times_after_hosts_had_time_to_learn():
    times = [0.0, 1.0, 2.0, 4.9, 5.1, 5.2, 5.3]
    log = log_of(times, crashes=3, crashing="c")
    assert log.late_retries() == {"c": 3}
    assert not log.has_crashing_excess()
    assert log_of([*times, 6.0], crashes=3, crashing="c").has_crashing_excess()
    assert log_of([*times, 6.0], crashes=2, crashing="c").late_retries() == {}


def test_hosts_without_contact_are_excused():
    times = [0.0, 1.0, 2.0, 6.0, 7.0, 8.0, 9.0]
    log = log_of(times, crashes=3, crashing="c")
    assert log.late_retries() == {"c": 4}
    log.disturb("", 5.0)
    assert log.late_retries() == {"c": 1}
