"""Request routing: ranking, replica ownership, admission and load."""
