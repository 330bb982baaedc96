"""Property tests that feed arbitrary bytes and values to each external interface."""
