"""Generated code of the messages between daemons; see scripts/generate."""
