"""Load generators: chats of several turns, and a low-overhead client."""
