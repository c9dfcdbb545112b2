"""Pure parsers and encoders of what travels over the sockets; no input or output happens here."""


class CodecError(ValueError):
    """Bytes or text that the protocol does not allow."""
