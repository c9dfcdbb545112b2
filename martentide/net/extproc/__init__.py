"""gRPC services of the external processor and the actor of each front; imported only if enabled."""
