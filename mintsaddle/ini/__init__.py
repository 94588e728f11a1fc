"""INI parser that keeps line numbers, so that findings can report them."""

from mintsaddle.ini._document import Document, Section, read_document
from mintsaddle.ini._fields import FieldReader

__all__ = ["Document", "FieldReader", "Section", "read_document"]
