"""Stand-ins that the cases of the third review share."""
