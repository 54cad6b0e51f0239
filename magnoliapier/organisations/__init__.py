"""
The limits of organisations on what their runs may take, as decisions without I/O.

``allowances`` divides each limit among the services, with ``division``, ``steps`` and
``turns``. ``usage`` applies one service's allowances to its scheduling, with ``limits``
and ``rooms``. ``rows`` holds what both sides store, ``amounts`` the arithmetic.
"""
