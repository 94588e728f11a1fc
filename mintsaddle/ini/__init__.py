"""INI texts read with the place of every key, so that findings can name it."""

from mintsaddle.ini._document import Document, Section, read_document
from mintsaddle.ini._fields import FieldReader

__all__ = ["Document", "FieldReader", "Section", "read_document"]
