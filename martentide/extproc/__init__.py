"""External processor mode: other proxies carry the calls and ask this process to decide on each call.

``messages``, ``ledger``, ``limits`` and ``sessions`` hold the logic and its state; they do no I/O and take
clock and random numbers as arguments. ``martentide/net/extproc/`` serves them over gRPC.
"""
