"""The operator's calls by their paths; apart from their parser, which needs h11."""

READY, OUT_OF_SERVICE, IN_SERVICE = "/control/ready", "/control/out-of-service", "/control/in-service"
FLEET = "/control/fleet"
METHODS = {READY: ("GET", "HEAD"), OUT_OF_SERVICE: ("POST",), IN_SERVICE: ("POST",), FLEET: ("GET",)}
