"""Administration API over gRPC."""
