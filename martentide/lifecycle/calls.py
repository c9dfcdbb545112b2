"""Paths, methods and body limits of the operator's calls; separate from their parser, which needs h11."""

READY, OUT_OF_SERVICE, IN_SERVICE = "/control/ready", "/control/out-of-service", "/control/in-service"
FLEET, VERSIONS, PROPOSE = "/control/fleet", "/control/fleet/versions", "/control/fleet/propose"
VOTERS = "/control/fleet/voters"
METHODS = {
    READY: ("GET", "HEAD"), OUT_OF_SERVICE: ("POST",), IN_SERVICE: ("POST",), FLEET: ("GET",),
    VERSIONS: ("GET",), PROPOSE: ("POST",), VOTERS: ("POST",),
}  # fmt: skip
MAX_BODY_BYTES_BY_PATH = {PROPOSE: 48 * 1024, VOTERS: 1024}  # bytes, for paths that use the body
