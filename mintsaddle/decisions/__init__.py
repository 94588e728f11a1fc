"""The decisions, sans I/O: facts and a time in, a decision out."""
