"""Cost of a daemon per unit of work, and projections for the target size."""
