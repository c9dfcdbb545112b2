"""Settings and lists in versions that a fleet agrees on, without I/O: events in, actions out
(docs/design/agreement.md)."""
