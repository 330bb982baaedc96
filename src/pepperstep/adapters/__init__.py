"""Implementations of the ports by libraries and the operating system."""

import os

# gRPC reads this variable when it is imported. Without the event engine, the threads
# that wait for calls to complete also poll the sockets. The event engine polls in a
# pool of up to 16 threads, each of which wakes up several times after it has worked. At
# ten calls a second, that costs 13 to 26% of a call's processor time.
os.environ.setdefault("GRPC_EXPERIMENTS", "-event_engine_client,-event_engine_listener")
