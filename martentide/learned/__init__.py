"""Learned state across restarts: persistence of what the decision module learned about session servers.

``schema`` defines which fields are saved and why, ``ageing`` how they lose weight, ``codec`` the file format,
``snapshot`` reads them from a Controller and ``restore`` loads them into a new one. Everything here is pure:
the clock and the random numbers are passed in, and no file is accessed.
"""
