"""Programs: each module is one small binary on top of the composition root."""
