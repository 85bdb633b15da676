/**
 * Compressed frames of a reader: only followers that take them get them, and damaged ones close the connection alone.
 */
import test from "ava";
import { loadsSchema, readerFrameSchema, statePath } from "../../../src/contracts/statemessages.ts";
import { decodeFrame, deflateFrame, encodeFrame, inflateFrame, maxFrameBytes } from "../../../src/links/frames.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createStateCache } from "../../../src/machines/resident/statecache.ts";
import { createStateFollow } from "../../../src/machines/resident/statefollow.ts";
import { createStateServer } from "../../../src/machines/resident/stateserver.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";
import { createFakeStore } from "./fakestore.ts";

const large = { text: "route ".repeat(2_000) };

const common = () => {
    const clock = createVirtualClock();
    const { store } = createFakeStore(clock);
    const { signal } = new AbortController();
    return { store, ages: () => ({}), clock, log: silentLog, metrics: createMetrics(), signal };
};

const followers = [
    {
        title: "one that inflates",
        follow: { inflates: true },
        expected: "deflated" as const,
        expectedLoads: "deflated" as const,
    },
    { title: "one of an earlier version", follow: {}, expected: "changes" as const, expectedLoads: "loads" as const },
];

/** Returns the loads that the frame tells, compressed or not. */
const loadsIn = (frame: Buffer): unknown => {
    const message = readerFrameSchema.parse(decodeFrame(frame));
    const inner = message.kind === "deflated" ? inflateFrame(message.frame) : message;
    return loadsSchema.parse(inner).loads;
};

for (const { title, follow, expected, expectedLoads } of followers) {
    test(`a large object goes to ${title} as ${expected}, many loads as ${expectedLoads}`, t => {
        const cache = createStateCache();
        cache.applyList("config", { objects: [{ name: "main", revision: 2, value: large }], position: 2 });
        const options = common();
        const server = createStateServer({
            cache,
            kinds: ["config"],
            patches: {},
            isCurrent: () => true,
            onLoads: () => undefined,
            wholeLoads: () => ({ kind: "loads", whole: true, loads: [] }),
            ...options,
        });
        const sent: Buffer[] = [];
        const loads: Array<[string, number]> = Array.from({ length: 285 }, (...[, index]) => [`target-${index}`, 1]);
        const listener = server.service({
            send: () => undefined,
            sendFrame: frame => sent.push(frame),
            isOpen: () => true,
            queuedBytes: () => 0,
            close: () => undefined,
        });
        t.true(listener.onFrame({ kind: "follow", host: "h2", positions: {}, ...follow }));
        server.sendLoads(loads);
        const kinds = sent.map(frame => readerFrameSchema.parse(decodeFrame(frame)).kind);
        t.deepEqual(kinds, [expected, "loads", expectedLoads]);
        t.deepEqual(loadsIn(sent[2]), loads);
    });
}

const status = encodeFrame({ kind: "status", current: true });
const deflated = (frame: Buffer) => ({ kind: "deflated", frame });

const damaged = [
    { title: "bytes that are not compressed", message: deflated(status) },
    { title: "a frame cut short", message: deflated(deflateFrame(status).subarray(0, 8)) },
    { title: "a frame beyond the limit", message: deflated(deflateFrame(Buffer.alloc(maxFrameBytes + 1))) },
    { title: "a message of an unknown kind", message: deflated(deflateFrame(encodeFrame({ kind: "orders" }))) },
    {
        title: "a compressed message within",
        message: deflated(deflateFrame(encodeFrame(deflated(deflateFrame(status))))),
    },
    { title: "a text in place of the frame", message: { kind: "deflated", frame: "x" } },
];

for (const { title, message } of damaged) {
    test(`a reader that sends ${title} is left, without an exception`, async t => {
        const options = common();
        const network = createFakeNetwork(options.clock);
        network.listen("10.0.0.1:1", {
            [statePath]: connection => ({
                onFrame: () => {
                    connection.send(message);
                    return true;
                },
                onClose: () => undefined,
            }),
        });
        const follow = createStateFollow({
            self: "h2",
            reader: { name: "h1", zone: "z", address: "10.0.0.1:1", processor: 1 },
            cache: createStateCache(),
            kinds: ["config"],
            patches: {},
            dial: network.dialerOf("10.0.0.2:1"),
            onChange: () => undefined,
            onLoads: () => undefined,
            ...options,
        });
        await options.clock.advance(50);
        t.is(follow.closeReason(), "connection-closed");
    });
}

test("a frame is the same after its compression", t => {
    t.deepEqual(inflateFrame(deflateFrame(encodeFrame(large))), large);
});
