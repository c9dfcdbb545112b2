"""Client library of the external processor's own service, for front proxies in Python.

    async with Client(["127.0.0.1:7443"], front="edge-1") as client:
        call = await client.ask("qualified-sign", number="7f3a", time_left=3000)
        if isinstance(call.verdict, Route): ...

``Client.carry`` handles a whole request: it asks, runs the ordered attempts, reports their outcomes, and
returns the final verdict. ``examples/`` has a program for each of the two ways.
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
