"""Scale tests: growth of messages, bytes, processor time and memory with the size of the fleet."""
