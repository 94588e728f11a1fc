"""Requests that are arriving, as waitress parses them."""

from waitress.parser import HTTPRequestParser, ParsingError


class ArrivingRequest(HTTPRequestParser):  # type: ignore[misc]
    """Parses one request within the limits for its arrival."""

    @property
    def body_bytes_received(self) -> int:
        """Bytes of its body, without framing."""
        return 0 if self.body_rcv is None else len(self.body_rcv)

    @body_bytes_received.setter
    def body_bytes_received(self, _: int) -> None:
        # waitress adds what was on the wire, with framing.
        return

    def received(self, data: bytes) -> int:
        """Parse what has arrived; return how many bytes belong to it."""
        consumed: int = super().received(data)
        if self.error:
            # waitress would go on with a request that expects to continue.
            self.completed = True
            self.expect_continue = False
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head."""
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise ParsingError("Head is invalid") from error
