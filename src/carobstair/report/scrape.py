"""Scraping of the metrics pages of all routers."""

from __future__ import annotations

import asyncio
import time

import aiohttp

from carobstair.net.bodies import CheckedResponse, read_body
from carobstair.report.history import ScrapeRound
from carobstair.report.settings import ReportSection
from carobstair.report.tallies import (
    MetricsPageError,
    RouterTallies,
    parse_metrics_page,
)

__all__ = ["scrape_all"]

MAX_PAGE_BYTES = 64 * 1024 * 1024


async def scrape_all(settings: ReportSection) -> ScrapeRound:
    """Return one scrape of all routers, with an error message for each failed one.

    Parameters
    ----------
    settings : ReportSection
    """
    timeout = aiohttp.ClientTimeout(total=settings.timeout_s)
    headers = {}
    if settings.metrics_key:
        headers["Authorization"] = f"Bearer {settings.metrics_key}"
    addresses = settings.addresses()
    async with aiohttp.ClientSession(
        timeout=timeout, headers=headers, response_class=CheckedResponse
    ) as session:
        results = await asyncio.gather(
            *(_scrape(session, address) for address in addresses.values())
        )
    return ScrapeRound(time.time(), dict(zip(addresses, results, strict=True)))


async def _scrape(session: aiohttp.ClientSession, address: str) -> RouterTallies | str:
    try:
        async with session.get(f"{address}/metrics") as response:
            if response.status != 200:
                return f"status {response.status}"
            text = await read_body(response, MAX_PAGE_BYTES)
            return parse_metrics_page(text.decode("utf-8", "replace"))
    except TimeoutError:
        return "no answer in time"
    except aiohttp.ClientError as error:
        return str(error) or type(error).__name__
    except MetricsPageError as error:
        return str(error)
