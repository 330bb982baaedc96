"""The main job, embedded: real processes on this machine."""
