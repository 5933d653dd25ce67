"""Message streams between daemons."""
