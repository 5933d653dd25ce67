"""Fleet of daemons on a platform's store: directory, tables, relays."""
