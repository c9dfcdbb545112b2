"""Fleet membership (pure): which proxies are up, and the small state entries they share by gossip.

``core`` is one member: events in, actions out, with the clock and the random seed passed in;
``docs/design/fleet.md`` gives the design.
"""
