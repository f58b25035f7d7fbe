"""Live, leaving and silent processes."""
