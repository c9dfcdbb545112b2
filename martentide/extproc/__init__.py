"""External processor mode: other proxies carry the calls and ask here, once for each, what to do.

``messages``, ``ledger``, ``limits`` and ``sessions`` decide and keep state; they do no input or output, and
are handed their clock and their random numbers. ``martentide/net/extproc/`` puts them on gRPC.
"""
