/**
 * Announcements of hosts that are gone. Guards against a removal that is told though the platform did not make it.
 */
import test from "ava";
import type { StoredObject } from "../../src/contracts/objects.ts";
import { silentLog } from "../../src/links/logs.ts";
import type { PlatformLink } from "../../src/links/platform.ts";
import { createAnnouncement } from "../../src/machines/announcement.ts";
import { createObjectView } from "../../src/machines/objects.ts";
import { createVirtualClock } from "./fakes/clock.ts";
import { createFakePlatform } from "./fakes/platform.ts";

const status = {
    zone: "z",
    incarnation: "1",
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
    size: 1,
    state: "live",
    isolationMilliseconds: 2_000,
};

const cases = [
    { title: "a host that is gone", isRemoved: true },
    { title: "a host that has announced itself again", newest: { ...status, incarnation: "2" }, isRemoved: false },
    { title: "a platform that does not answer", isUnreachable: true, isRemoved: false },
    { title: "a host without an announcement", isUnknown: true, isRemoved: false },
];

for (const { title, newest, isUnreachable = false, isUnknown = false, isRemoved } of cases) {
    test(`whether an announcement was removed: ${title}`, async t => {
        const clock = createVirtualClock();
        const platform = createFakePlatform(clock);
        const objects = createObjectView();
        const link = platform.linkOf(clock, () => false) as PlatformLink;
        if (!isUnknown) {
            platform.write("status", "gone", status);
            const held: StoredObject = {
                kind: "status",
                name: "gone",
                version: 1,
                writeId: "w",
                deleted: false,
                value: status,
            };
            objects.accept(held);
        }
        if (newest !== undefined) {
            platform.write("status", "gone", newest);
        }
        platform.setUnreachable(isUnreachable);
        const { signal } = new AbortController();
        const announcement = createAnnouncement({ host: "h1", platform: link, objects, clock, log: silentLog, signal });
        const removed = announcement.remove("gone");
        await clock.advance(30_000);
        t.is(await removed, isRemoved);
    });
}
