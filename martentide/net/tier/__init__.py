"""The control tier on sockets: the actor of a control node, and that of a proxy which holds a lease."""
