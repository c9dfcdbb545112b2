"""Fleet-wide overload control without I/O, built on the gossiped state of ``martentide/fleet/``."""
