"""Records that runs write, and tables made from them."""
