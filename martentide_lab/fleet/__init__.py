"""Several proxies with faults between them: real processes (``rig``) or simulated time (``simulated``).

One script of faults, one event log and one checker serve both.
"""
