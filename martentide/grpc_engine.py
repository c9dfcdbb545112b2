"""Imported before ``grpc``: which of its engines drives the sockets.

gRPC's event engine hands each read and write over to a pool of threads, which wakes another processor each
time. With asyncio beside it that cost, on an echo of 500 messages a second, half of the processor time and
most of the delay (p99 0.8 ms without the pool, 5 to 20 ms with it; docs/design/external-processor.md). An
operator's own GRPC_EXPERIMENTS goes before.
"""

import os

os.environ.setdefault("GRPC_EXPERIMENTS", "-event_engine_client,-event_engine_listener")
