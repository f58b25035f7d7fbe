"""Control work under leases, inside entry processes."""
