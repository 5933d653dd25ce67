"""The fleet on a platform's store: directory, tables, relays."""
