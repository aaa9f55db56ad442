"""Network drivers that execute the effects computed by `carobstair.core`."""
