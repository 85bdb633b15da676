/**
 * Frames that no host of this version sends, at the services by which hosts gossip and keep limits: none may throw, and
 * none may change what the host holds.
 */
import test from "ava";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import type { PeerConnection, PeerService } from "../../../src/links/peers.ts";
import { createGossip } from "../../../src/machines/resident/gossip.ts";
import { createTargetLimits } from "../../../src/machines/resident/targetlimits.ts";
import { limitGossipKind, limitGossipSchema } from "../../../src/machines/resident/targetnotices.ts";
import { createVirtualClock } from "../fakes/clock.ts";

const connection: PeerConnection = {
    send: () => undefined,
    sendFrame: () => undefined,
    isOpen: () => true,
    queuedBytes: () => 0,
    close: () => undefined,
};

const deep = (): unknown => {
    let value: unknown = [];
    for (let level = 0; level < 5_000; level += 1) {
        value = [value];
    }
    return value;
};

const limitEntry = (value: unknown, ...changed: unknown[]): unknown => [
    changed[0] ?? `${limitGossipKind} a#1`,
    changed[1] ?? 1,
    changed[2] ?? "h2",
    value,
    changed[3] ?? 0,
    changed[4] ?? 1_000,
];
const sound = { pool: "stock", perSecond: 2 };

const frames: Array<[string, unknown]> = [
    ["nothing", undefined],
    ["a text", "entries"],
    ["a number that is no number", NaN],
    ["another kind", { kind: "orders" }],
    ["deep nesting", deep()],
    ["entries that are no list", { kind: "entries", entries: 7 }],
    ["an entry of deep nesting", { kind: "entries", entries: [limitEntry(deep())] }],
    ["an entry of another form", { kind: "entries", entries: [limitEntry({ ...sound, perSecond: -1 })] }],
    ["an entry of an unknown kind", { kind: "entries", entries: [limitEntry(sound, "prices a")] }],
    ["an entry without a kind", { kind: "entries", entries: [limitEntry(sound, "")] }],
    ["an entry of a version beyond all", { kind: "entries", entries: [limitEntry(sound, undefined, 1e300)] }],
    ["an entry of a negative age", { kind: "entries", entries: [limitEntry(sound, undefined, 1, "h2", -5)] }],
    ["a digest that is no number", { kind: "beat", digest: "x" }],
    ["a question without a target", { kind: "question", id: 1, pool: "stock", perSecond: 1, priority: 0 }],
    ["a question with a limit that is no number", {
        kind: "question",
        id: 1,
        pool: "stock",
        target: "a#1",
        perSecond: NaN,
        priority: 0,
    }],
    ["a verdict that nobody asked for", { kind: "verdict", id: 99, verdict: { allowed: true } }],
    ["a verdict without a time", { kind: "verdict", id: 1, verdict: { allowed: false } }],
];

for (const [title, frame] of frames) {
    test(`a frame with ${title} throws nothing and changes nothing`, t => {
        const clock = createVirtualClock();
        const common = {
            dial: () => connection,
            clock,
            log: silentLog,
            metrics: createMetrics(),
            signal: new AbortController().signal,
        };
        const gossip = createGossip({
            self: "h1",
            kinds: { [limitGossipKind]: limitGossipSchema },
            peers: () => ({ ownZone: [], nearest: [], otherZones: new Map() }),
            ...common,
        });
        const heard: unknown[] = [];
        gossip.onChange(limitGossipKind, (...given) => heard.push(given));
        const limits = createTargetLimits({ rankedBefore: () => [], ...common });
        const services: PeerService[] = [gossip.service, limits.service];
        t.notThrows(() => services.forEach(service => service(connection).onFrame(frame)));
        t.deepEqual(heard, []);
    });
}
