"""Settings and lists in versions that the fleet agrees on; pure: events in, actions out
(docs/design/agreement.md)."""
