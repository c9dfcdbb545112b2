"""The external processor's services on gRPC, and the actor of each front. Imported only where turned on."""
