"""A router fleet for very many returning chats.

The package ships two programs: ``topazlugd``, the daemon, and ``topazlug``,
the operators' command line. All other modules are private.
"""

__version__ = "0.1.0"
