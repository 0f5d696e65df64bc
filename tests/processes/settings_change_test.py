"""Tests of relay hosts as processes whose settings files change without a signal."""

import asyncio
import unittest

from host_case import HostTestCase, hosts


class SettingsChangeTest(HostTestCase):
    async def wait_for_hosts(self, host, count):
        for _ in range(100):
            if await self.metric("waxwing_relay_hosts", host) == count:
                return
            await asyncio.sleep(0.1)
        self.fail(f"host {host.number} does not know {count} hosts")

    async def test_host_with_stale_seeds_finds_the_others(self):
        """Guards against a host that stays alone, and takes quotas and limits for itself, since its
        seeds were down at its start and no signal told of new ones."""
        await self.start()
        network = self.host.address.rsplit(".", 1)[0]
        # No host has the address.
        late = hosts.Host(1, network, [f"{network}.99"], self.store, self.host.folder,
                          self.host.binary)
        self.addAsyncCleanup(late.end)
        await late.open()
        await asyncio.sleep(1.5)
        self.assertEqual(1, await self.metric("waxwing_relay_hosts", late))
        late.seeds = [self.host.address]
        late.write_settings()
        await self.wait_for_hosts(late, 2)
        await self.wait_for_hosts(self.host, 2)

    async def test_damaged_file_changes_nothing(self):
        """Guards against a file that is read while it is written."""
        await self.start()
        text = self.host.settings.read_text()
        self.host.settings.write_text(text[:len(text) // 2])
        await asyncio.sleep(2.5)
        self.assertEqual(1, len(self.log_lines("settings not reloaded")))
        self.assertEqual(200, await self.call("/one/"))
        self.host.settings.write_text(text)
        await asyncio.sleep(1.5)
        self.assertEqual(1, len(self.log_lines("settings reloaded")))


if __name__ == "__main__":
    unittest.main()
