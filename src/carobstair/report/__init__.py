"""Service level report: burn rates and budgets from the routers' metrics."""
