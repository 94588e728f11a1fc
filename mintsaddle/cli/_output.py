"""Output of commands, rendered as text tables or as JSON."""

import json
from typing import NamedTuple

Cell = str | int | float | bool


class Table(NamedTuple):
    """A table whose rows all have as many cells as its heading."""

    title: str
    heading: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]

    def to_text(self) -> str:
        """Return the table with aligned columns."""
        lines = [self.heading, *(tuple(map(_format_cell, row)) for row in self.rows)]
        widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
        texts = [
            "  ".join(
                cell.ljust(width) for cell, width in zip(line, widths, strict=True)
            )
            for line in lines
        ]
        body = "\n".join(text.rstrip() for text in texts)
        return f"{self.title}\n{body}" if self.title else body


class Output(NamedTuple):
    """The output of one command."""

    tables: tuple[Table, ...]
    found_problem: bool = False
    """Whether the command exits with a code that reports a problem."""

    def to_text(self) -> str:
        """Return the tables that have rows as text."""
        texts = [table.to_text() for table in self.tables if table.rows]
        return "\n\n".join(texts) if texts else "nothing to show"

    def to_json(self) -> str:
        """Return a JSON object with a list of row objects for each table."""
        parts = {
            table.title: [
                dict(zip(table.heading, row, strict=True)) for row in table.rows
            ]
            for table in self.tables
        }
        return json.dumps(parts, indent=2)


def _format_cell(cell: Cell) -> str:
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:.3f}"
    return str(cell)
