"""A fleet of routers for very many returning chats.

The package provides two programs: ``topazlugd``, the daemon, and
``topazlug``, the operators' command line. All modules are private.
"""

__version__ = "0.1.0"
