"""Measurements: policies, relay cost and capacity (`pepperstep-measure`)."""
