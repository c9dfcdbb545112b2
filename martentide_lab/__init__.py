"""Test doubles and simulations, written from the public specifications; the product never imports them."""
