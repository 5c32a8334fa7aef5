"""How much work an instance takes on when its own processor is short."""
