/**
 * Links between hosts on real sockets: the handshake, the rotation of shared keys, and the refusal of invalid frames.
 */
import test, { type ExecutionContext } from "ava";
import { pack } from "msgpackr";
import { WebSocket } from "ws";
import type { Hello, Message } from "../../src/contracts/messages.ts";
import { protocolVersion } from "../../src/contracts/messages.ts";
import { systemClock } from "../../src/links/clock.ts";
import { decodeFrame } from "../../src/links/frames.ts";
import { computeProof, linkRoles } from "../../src/links/handshake.ts";
import { createHostLinks, type HostLinks } from "../../src/links/hosts.ts";
import { type Log, type LogFields, silentLog } from "../../src/links/logs.ts";
import { createMetrics, type Metrics } from "../../src/links/metrics.ts";
import { until } from "../system.ts";

const key = Buffer.from("shared-key");
const otherKey = Buffer.from("other-key");
const maxFrameBytes = 4_096;

type TestHost = { links: HostLinks; metrics: Metrics; lines: string[]; stop: () => void };

const startHost = async (name: string, keys: Buffer[] = [key], incarnation = `${name}-1`): Promise<TestHost> => {
    const lifetime = new AbortController();
    const metrics = createMetrics();
    const lines: string[] = [];
    const lineWriter = (level: string) => (event: string, { peer, reason }: LogFields = {}): void =>
        void lines.push([level, event, peer, reason].join(" ").trimEnd());
    const log: Log = { ...silentLog, info: lineWriter("info"), warn: lineWriter("warn") };
    const links = await createHostLinks({
        name,
        zone: "zone-1",
        incarnation,
        bindAddress: "127.0.0.1",
        port: 0,
        sharedKeys: keys,
        maxFrameBytes,
        queueLength: 4,
        clock: systemClock,
        log,
        metrics,
        signal: lifetime.signal,
    });
    links.handle("objects-question", (...[, { after }]) => ({
        kind: "objects-answer",
        ready: true,
        position: after + 1,
        more: false,
        items: [],
        readAgeMilliseconds: 0,
        admitMilliseconds: 0,
        current: [],
        departures: [],
    }));
    return { links, metrics, lines, stop: () => lifetime.abort() };
};

const question: Message = { kind: "objects-question", after: 7 };

const connect = (left: TestHost, leftName: string, right: TestHost, rightName: string): void => {
    left.links.setPeers([{ name: rightName, address: right.links.address }]);
    right.links.setPeers([{ name: leftName, address: left.links.address }]);
};

const askPosition = async (host: TestHost, peer: string): Promise<number | undefined> => {
    const answer = await host.links.ask(peer, question, 30_000);
    return answer?.kind === "objects-answer" ? answer.position : undefined;
};

test("two hosts connect and answer each other's questions", async t => {
    const [a, b] = [await startHost("a"), await startHost("b")];
    connect(a, "a", b, "b");
    await until(() => a.links.connected().includes("b") && b.links.connected().includes("a"));
    t.is(await askPosition(a, "b"), 8);
    t.is(await askPosition(b, "a"), 8);
    t.is(a.links.incarnationOf("b"), "b-1");
    a.stop();
    await until(() => b.links.connected().length === 0);
    t.false(b.links.tell("a", question));
    t.is(await b.links.ask("a", question, 30_000), undefined);
    b.stop();
});

const rotationSteps: Array<{ title: string; left: Buffer[]; right: Buffer[] }> = [
    { title: "one host already accepts the new key", left: [key], right: [key, otherKey] },
    { title: "one host signs with the new key", left: [key, otherKey], right: [otherKey, key] },
    { title: "one host has dropped the old key", left: [otherKey, key], right: [otherKey] },
];

for (const { title, left, right } of rotationSteps) {
    test(`keys are rotated: ${title}`, async t => {
        const [a, b] = [await startHost("a", left), await startHost("b", right)];
        connect(a, "a", b, "b");
        await until(() => a.links.connected().includes("b") && b.links.connected().includes("a"));
        t.deepEqual(a.metrics.snapshot(), {});
        a.stop();
        b.stop();
    });
}

test("a host with another key is refused on both sides", async t => {
    const [a, b] = [await startHost("a"), await startHost("b", [otherKey])];
    connect(a, "a", b, "b");
    const refused = "peer-closed{reason=wrong-proof}";
    await until(() => (a.metrics.snapshot()[refused] ?? 0) + (b.metrics.snapshot()[refused] ?? 0) > 0);
    t.deepEqual([a.links.connected(), b.links.connected()], [[], []]);
    a.stop();
    b.stop();
});

test("the link of a former incarnation is closed, and new ones are refused", async t => {
    const [a, oldHost] = [await startHost("a"), await startHost("b", [key], "b-1")];
    a.links.setPeers([{ name: "b", address: oldHost.links.address, incarnation: "b-1" }]);
    await until(() => a.links.incarnationOf("b") === "b-1");
    const newHost = await startHost("b", [key], "b-2");
    a.links.setPeers([{ name: "b", address: newHost.links.address, incarnation: "b-2" }]);
    await until(() => a.links.incarnationOf("b") === "b-2");
    oldHost.links.setPeers([{ name: "a", address: a.links.address }]);
    await until(() => (a.metrics.snapshot()["peer-closed{reason=former-incarnation}"] ?? 0) > 1);
    t.is(a.links.incarnationOf("b"), "b-2");
    [a, oldHost, newHost].forEach(host => host.stop());
});

test("a peer whose address is none is linked to as soon as its address is corrected", async t => {
    const [a, b] = [await startHost("a"), await startHost("b")];
    a.links.setPeers([{ name: "b", address: "no address" }]);
    await until(() => a.lines.includes("warn peer-dial-failed b"));
    a.links.setPeers([{ name: "b", address: b.links.address }]);
    await until(() => a.links.connected().includes("b"));
    t.is(await askPosition(a, "b"), 8);
    a.stop();
    b.stop();
});

/** What ends the link that host "a" dialled to "b", and the line that tells of it at "a". */
const linkEnds: Array<{ title: string; end: (a: TestHost, b: TestHost) => void; line: string }> = [
    { title: "the other host stops", end: (...[, b]) => b.stop(), line: "info peer-link-lost b" },
    { title: "it is not wanted", end: a => a.links.setPeers([]), line: "info peer-link-closed b not-wanted" },
    {
        title: "the other host is a former incarnation",
        end: (a, b) => a.links.setPeers([{ name: "b", address: b.links.address, incarnation: "b-2" }]),
        line: "warn peer-link-closed b former-incarnation",
    },
];

for (const { title, end, line } of linkEnds) {
    test(`the end of a link is told, and as a warning only where it may harm: ${title}`, async t => {
        const [a, b] = [await startHost("a"), await startHost("b")];
        a.links.setPeers([{ name: "b", address: b.links.address, incarnation: "b-1" }]);
        await until(() => a.links.connected().includes("b"));
        t.deepEqual(a.lines, []);
        end(a, b);
        await until(() => a.lines.length > 0);
        t.is(a.lines[0], line);
        a.stop();
        b.stop();
    });
}

/** A plain socket that acts as a host named "z", with the frames that it received. */
type RawPeer = { socket: WebSocket; frames: unknown[]; hello: Hello };

const createHello = (changes: Partial<Hello> = {}): Hello => ({
    kind: "hello",
    protocolVersion,
    host: "z",
    zone: "zone-1",
    incarnation: "z-1",
    challenge: "0123456789abcdef",
    ...changes,
});

const openRaw = async (host: TestHost): Promise<RawPeer> => {
    const socket = new WebSocket(`ws://${host.links.address}`);
    const frames: unknown[] = [];
    socket.on("error", () => undefined);
    socket.on("message", (data: Buffer) => frames.push(decodeFrame(data)));
    await until(() => frames.length > 0);
    return { socket, frames, hello: frames[0] as Hello };
};

const connectRaw = async (host: TestHost): Promise<RawPeer> => {
    const peer = await openRaw(host);
    const own = createHello();
    peer.socket.send(pack(own));
    peer.socket.send(pack({ kind: "proof", proof: computeProof(key, linkRoles.dialer, own, peer.hello) }));
    await until(() => host.links.connected().includes("z"));
    return peer;
};

const assertRefused = async (t: ExecutionContext, host: TestHost, peer: RawPeer, reason: string): Promise<void> => {
    await until(() => peer.socket.readyState === WebSocket.CLOSED);
    await until(() => host.links.connected().length === 0);
    t.deepEqual(host.metrics.snapshot(), { [`peer-closed{reason=${reason}}`]: 1 });
};

type BadFrames = { title: string; reason: string; frames: (hello: Hello) => Buffer[] };

const badHandshakes: BadFrames[] = [
    { title: "garbage", reason: "malformed-hello", frames: () => [Buffer.from([0xc1, 0xff, 0x00])] },
    { title: "an empty frame", reason: "malformed-hello", frames: () => [Buffer.alloc(0)] },
    {
        title: "a huge declared length",
        reason: "malformed-hello",
        frames: () => [Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff])],
    },
    { title: "a hello without a name", reason: "malformed-hello", frames: () => [pack({ kind: "hello" })] },
    {
        title: "another protocol version",
        reason: "other-protocol-version",
        frames: () => [pack(createHello({ protocolVersion: protocolVersion + 1 }))],
    },
    {
        title: "a hello of a later version with other fields",
        reason: "other-protocol-version",
        frames: () => [pack({ kind: "hello", protocolVersion: protocolVersion + 1, name: "z" })],
    },
    { title: "the host's own name", reason: "own-name", frames: () => [pack(createHello({ host: "a" }))] },
    {
        title: "a message before the proof",
        reason: "wrong-proof",
        frames: () => [pack(createHello()), pack({ id: 0, answers: false, message: question })],
    },
    {
        title: "an oversized frame",
        reason: "oversized-frame",
        frames: () => [Buffer.alloc(maxFrameBytes + 1)],
    },
    {
        title: "a proof for another challenge",
        reason: "wrong-proof",
        frames: hello => {
            const stale = { ...hello, challenge: "fedcba9876543210" };
            return [
                pack(createHello()),
                pack({ kind: "proof", proof: computeProof(key, linkRoles.dialer, createHello(), stale) }),
            ];
        },
    },
    {
        title: "a proof for the other role in the link",
        reason: "wrong-proof",
        frames: hello => [
            pack(createHello()),
            pack({ kind: "proof", proof: computeProof(key, linkRoles.acceptor, createHello(), hello) }),
        ],
    },
];

for (const { title, reason, frames } of badHandshakes) {
    test(`refused in the handshake: ${title}`, async t => {
        const host = await startHost("a");
        const peer = await openRaw(host);
        frames(peer.hello).forEach(frame => peer.socket.send(frame));
        await assertRefused(t, host, peer, reason);
        host.stop();
    });
}

test("a reflected proof is refused", async t => {
    const host = await startHost("a");
    const peer = await openRaw(host);
    peer.socket.send(pack(createHello({ challenge: peer.hello.challenge })));
    await until(() => peer.frames.length > 1);
    peer.socket.send(pack(peer.frames[1]));
    await assertRefused(t, host, peer, "wrong-proof");
    host.stop();
});

test("the host's own proof from a link it dialled is refused on another link", async t => {
    const host = await startHost("a");
    const peer = await openRaw(host);
    const mirrored = { ...peer.hello, host: "z" };
    peer.socket.send(pack(mirrored));
    await until(() => peer.frames.length > 1);
    peer.socket.send(pack({ kind: "proof", proof: computeProof(key, linkRoles.acceptor, peer.hello, mirrored) }));
    await assertRefused(t, host, peer, "wrong-proof");
    host.stop();
});

const badMessages: Array<{ title: string; reason: string; frame: Buffer }> = [
    { title: "garbage", reason: "malformed-frame", frame: Buffer.from([0xc1]) },
    { title: "no envelope", reason: "malformed-frame", frame: pack("hello") },
    { title: "a negative id", reason: "malformed-frame", frame: pack({ id: -1, answers: false, message: question }) },
    {
        title: "an unknown message",
        reason: "unknown-message",
        frame: pack({ id: 1, answers: false, message: { kind: "teleport" } }),
    },
    {
        title: "a known message with wrong types",
        reason: "malformed-message",
        frame: pack({ id: 1, answers: false, message: { kind: "objects-question", after: "soon" } }),
    },
    {
        title: "a known message with an unknown field",
        reason: "malformed-message",
        frame: pack({ id: 1, answers: false, message: { ...question, hurry: true } }),
    },
    { title: "an oversized frame", reason: "oversized-frame", frame: Buffer.alloc(maxFrameBytes + 1) },
];

for (const { title, reason, frame } of badMessages) {
    test(`closed after the handshake: ${title}`, async t => {
        const host = await startHost("a");
        const peer = await connectRaw(host);
        peer.socket.send(frame);
        await assertRefused(t, host, peer, reason);
        const next = await connectRaw(host);
        next.socket.terminate();
        host.stop();
    });
}

test("an answer without a question is ignored", async t => {
    const host = await startHost("a");
    const peer = await connectRaw(host);
    peer.socket.send(pack({ id: 99, answers: true, message: question }));
    peer.socket.send(pack({ id: 5, answers: false, message: question }));
    await until(() => peer.frames.length > 2);
    t.is((peer.frames[2] as { id: number }).id, 5);
    peer.socket.terminate();
    host.stop();
});

test("questions beyond the limit are refused at once and counted", async t => {
    const host = await startHost("a");
    const peer = await connectRaw(host);
    const waiting = [1, 2, 3, 4].map(() => host.links.ask("z", question, 30_000));
    t.is(await host.links.ask("z", question, 30_000), undefined);
    t.is(host.metrics.snapshot()["peer-queue-full"], 1);
    peer.socket.terminate();
    t.deepEqual(await Promise.all(waiting), [undefined, undefined, undefined, undefined]);
    host.stop();
});
