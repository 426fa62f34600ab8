"""Decision systems: pure functions over tables of records."""
