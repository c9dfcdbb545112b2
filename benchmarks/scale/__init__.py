"""Scale tests: how messages, bytes, processor time and memory grow, on the rig and simulator of the lab."""
