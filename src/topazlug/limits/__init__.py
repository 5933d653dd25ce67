"""Fleet-wide ceilings of teams, fair queues, and the retry budget."""
