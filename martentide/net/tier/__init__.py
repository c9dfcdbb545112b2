"""The control tier on sockets: the actors of a control node and of a proxy that holds a lease."""
