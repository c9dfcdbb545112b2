"""Pure parsers and encoders of the wire formats; no I/O happens here."""


class CodecError(ValueError):
    """Bytes or text that violate the protocol."""
