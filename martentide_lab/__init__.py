"""Stand-ins, written from the public specifications; the product never imports them."""
