"""Any bytes and any values at each border."""
