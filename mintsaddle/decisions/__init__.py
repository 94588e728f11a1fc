"""Decision logic without I/O: maps known facts and a time to decisions."""
