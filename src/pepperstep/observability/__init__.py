"""Metrics, logs, events and explanations of a host, for operators.

Each program imports only the submodules that it needs.
"""

from pepperstep.observability.events import Event, EventLog

__all__ = ["Event", "EventLog"]
