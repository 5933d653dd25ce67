"""Which daemons and targets live, as daemons tell each other."""
