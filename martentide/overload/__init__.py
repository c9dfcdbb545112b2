"""Overload handled by the fleet as one: pure, like ``martentide/fleet/`` on whose facets it rests."""
