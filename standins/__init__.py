"""Stand-in programs for the external systems that pepperstep talks to."""
