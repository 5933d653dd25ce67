"""State of daemons and targets, spread by gossip between daemons."""
