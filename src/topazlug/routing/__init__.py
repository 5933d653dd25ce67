"""Where a request goes: ranking, owners, admission, load."""
