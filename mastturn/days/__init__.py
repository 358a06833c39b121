"""Days that nobody chose: drawn from a site's troubles by number, and what came of playing them."""
