"""Proxies that know each other (pure): who is there, and the small words that members share.

``core`` is one member: events in, actions out, clock and dice handed in; ``docs/design/fleet.md`` says why.
"""
