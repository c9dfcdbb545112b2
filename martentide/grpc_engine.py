"""Selects gRPC's polling engine; must be imported before ``grpc``.

gRPC's event engine hands each read and write to a thread pool, which wakes another CPU each time. Together
with asyncio, on an echo of 500 messages per second, it took half of the CPU time and most of the latency (p99
0.8 ms without the pool, 5 to 20 ms with it; docs/design/external-processor.md). A GRPC_EXPERIMENTS set by the
operator takes precedence.
"""

import os

os.environ.setdefault("GRPC_EXPERIMENTS", "-event_engine_client,-event_engine_listener")
