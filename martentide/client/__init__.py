"""Client library of the external processor's own service, for front proxies in Python.

    async with Client(["127.0.0.1:7443"], front="edge-1") as client:
        call = await client.ask("qualified-sign", number="7f3a", time_left=3000)
        if isinstance(call.verdict, Route): ...

``Client.carry`` does the whole round: it asks, runs the attempts that it is told to make, reports what came
of them, and returns the one final. ``examples/`` has a program for each way.
"""

from martentide.client.client import Attempt, Call, Carried, Client, ClientClosed
from martentide.extproc.messages import Failed, Refused, Route, Standing, Why
from martentide.interface import Ending

__all__ = [
    "Attempt",
    "Call",
    "Carried",
    "Client",
    "ClientClosed",
    "Ending",
    "Failed",
    "Refused",
    "Route",
    "Standing",
    "Why",
]
