"""Starts the edge router from a source checkout; used by deploy/system.toml."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from carobstair.process_signals import hold_reloads  # noqa: E402

hold_reloads()

from carobstair.cli.edge_router import main  # noqa: E402

main()
