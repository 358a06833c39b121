"""What the system would cost at another size: hollow fleets, the price of each message, and the page of both."""
