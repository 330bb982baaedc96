"""Small programs that stand in for the systems outside of pepperstep."""
