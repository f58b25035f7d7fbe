"""Cases of measure-control."""
