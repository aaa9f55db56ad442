"""Starts the edge router from a checkout, as deploy/system.toml asks."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from carobstair.cli.edge_router import main  # noqa: E402

main()
