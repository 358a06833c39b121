"""What the system would cost at another size: hollow fleets, prices of messages, the page of both."""
