/**
 * What follows a request on a caller's connection, on real sockets: answers that are due are written whole and in order,
 * then the refusal of what follows, then the connection ends.
 */
import test, { type ExecutionContext } from "ava";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { promisify } from "node:util";
import type { CallerAnswer, CallerRequest, StreamReceiver } from "../../src/links/callers.ts";
import { openCallerLink, type OpenedLink } from "./callerlink.ts";

const workMilliseconds = 200;
const pauseMilliseconds = 60;
const thenMilliseconds = 30;
const turnMilliseconds = 10;
const headMilliseconds = 100;
const longHeadMilliseconds = 60_000;
const largeBytes = 33_554_432;
const firstPart = "first part, ";
const wholeBody = "first part, second part.";

/**
 * An answer that comes after some work and not before `mayAnswer` has resolved, or one whose first part comes at once and
 * the rest after the work.
 */
const answerOf = async ({ path }: CallerRequest, mayAnswer: Promise<void>): Promise<CallerAnswer> => {
    const answer = { kind: "answer" as const, statusCode: 200, headers: { "content-length": `${wholeBody.length}` } };
    if (path === "/running") {
        await Promise.all([sleep(workMilliseconds), mayAnswer]);
        return { ...answer, body: Buffer.from(wholeBody) };
    }
    if (path === "/long") {
        await sleep(10 * workMilliseconds);
        return { ...answer, body: Buffer.from(wholeBody) };
    }
    if (path === "/half") {
        const start = ({ onBytes, onEnd }: StreamReceiver): void => {
            onBytes(Buffer.from(firstPart));
            setTimeout(() => {
                onBytes(Buffer.from(wholeBody.slice(firstPart.length)));
                onEnd();
            }, workMilliseconds);
        };
        return { ...answer, body: { start, resume: () => undefined, abort: () => undefined } };
    }
    if (path === "/large") {
        const body = Buffer.alloc(largeBytes, "x");
        return { ...answer, headers: { "content-length": String(largeBytes) }, body };
    }
    if (path === "/stream") {
        const start = ({ onBytes }: StreamReceiver): void => {
            while (onBytes(Buffer.alloc(largeBytes / 8, "x"))) {
                // Until the caller is to be waited for.
            }
        };
        const body = { start, resume: () => undefined, abort: () => undefined };
        return { ...answer, headers: { "content-length": String(largeBytes) }, body };
    }
    if (path === "/slow") {
        const start = ({ onBytes, onEnd }: StreamReceiver): void => {
            onBytes(Buffer.alloc(largeBytes / 2, "x"));
            setTimeout(() => {
                onBytes(Buffer.alloc(largeBytes / 2, "x"));
                onEnd();
            }, 2_000);
        };
        const body = { start, resume: () => undefined, abort: () => undefined };
        return { ...answer, headers: { "content-length": String(largeBytes) }, body };
    }
    if (path === "/unframed") {
        return { ...answer, headers: {}, body: Buffer.from(wholeBody), endsWithConnection: true };
    }
    if (path === "/broken" || path === "/late") {
        const start = ({ onFailure }: StreamReceiver): void =>
            onFailure(path === "/late" ? "answer-timed-out" : "answer-cut-short");
        const body = { start, resume: () => undefined, abort: () => undefined };
        return { ...answer, headers: {}, body, endsWithConnection: true };
    }
    return { ...answer, body: Buffer.from(wholeBody) };
};

const openLink = async (mayAnswer = Promise.resolve()): Promise<OpenedLink> => {
    const opened = await openCallerLink({
        callers: { maxBodyBytes: 64, maxHeadBytes: 2_048 },
        serve: request => answerOf(request, mayAnswer),
    });
    opened.link.setTimeouts(5_000, longHeadMilliseconds);
    return opened;
};

const get = (path: string, ...lines: string[]): string =>
    [`GET /orders/${path} HTTP/1.1`, "host: x", ...lines, "", ""].join("\r\n");
const post = (path: string, ...lines: string[]): string => get(path, ...lines).replace("GET", "POST");
const wholePost = `${post("b", "content-length: 3")}abc`;

type Follower = {
    title: string;
    bytes?: string;
    /** Time in which a head must have come whole. */
    headLimit?: number;
    act?: (opened: OpenedLink, socket: Socket) => void;
    /** Statuses after the answer of the first request, if there is one. */
    statuses: number[];
    /** Paths of requests whose answer announces the end of the connection, so that no status comes after it. */
    announcedBy?: Array<string | undefined>;
    /** Paths of requests after which a stop may end the connection without the last answer. */
    droppedByStop?: Array<string | undefined>;
    /** Whether the connection stays open. */
    staysOpen?: boolean;
    /** Whether a connection without a request stays open. */
    staysUnused?: boolean;
};

const stop = ({ link }: OpenedLink): void => {
    link.disableKeepAlive();
    void link.stopAccepting();
};

const halfClose = (...[, socket]: [OpenedLink, Socket]): void => void socket.end();

const followers: Follower[] = [
    { title: "garbage", bytes: "\0\0 no request\r\n\r\n", statuses: [400] },
    { title: "a head that is too long", bytes: get("b", `a: ${"b".repeat(4_096)}`), statuses: [431] },
    {
        title: "a head that is never ended",
        bytes: "GET /orders/b HTTP/1.1\r\nhost: x\r\n",
        headLimit: headMilliseconds,
        statuses: [408],
        // It comes behind an answer that announces the end.
        droppedByStop: ["running"],
    },
    {
        title: "one more request with a head that is never ended",
        bytes: get("b") + "GET /orders/c HTTP/1.1\r\nhost: x\r\n",
        headLimit: headMilliseconds,
        statuses: [200, 408],
        // The host can't tell that a part of a head came with the request before it.
        droppedByStop: [undefined, "running", "half"],
    },
    { title: "garbage without end", bytes: "no request\r\n\r\n".repeat(300_000), statuses: [400] },
    { title: "two lengths", bytes: post("b", "content-length: 5", "content-length: 6"), statuses: [400] },
    { title: "an expectation", bytes: get("b", "expect: miracles"), statuses: [400] },
    { title: "a method that opens a tunnel", bytes: "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n", statuses: [400] },
    {
        title: "a refused request, and one more",
        bytes: get("b", "carobpier-key: a", "carobpier-key: b") + get("c"),
        statuses: [400],
    },
    {
        title: "a body that is never sent",
        bytes: post("b", "content-length: 5", "carobpier-deadline: 100"),
        statuses: [503],
    },
    {
        title: "a body that is no chunk",
        bytes: post("b", "transfer-encoding: chunked") + "no chunk\r\n",
        statuses: [400],
    },
    { title: "one more request and garbage", bytes: get("b") + "no request\r\n\r\n", statuses: [200, 400] },
    { title: "a whole body and garbage", bytes: wholePost + "no request\r\n\r\n", statuses: [200, 400] },
    {
        title: "a whole body, a request and garbage",
        bytes: wholePost + get("c") + "no request\r\n\r\n",
        statuses: [200, 200, 400],
    },
    {
        title: "a whole body, a request and a tunnel",
        bytes: wholePost + get("c") + "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n",
        statuses: [200, 200, 400],
    },
    {
        title: "a whole body and one that is no chunk",
        bytes: wholePost + post("c", "transfer-encoding: chunked") + "no chunk\r\n",
        statuses: [200, 400],
    },
    { title: "a half close", act: halfClose, statuses: [] },
    { title: "a half close within a head", bytes: "GET /orders/b HTTP/1.1\r\n", act: halfClose, statuses: [400] },
    {
        title: "a half close within a body",
        bytes: `${post("b", "content-length: 5")}12`,
        act: halfClose,
        statuses: [400],
    },
    { title: "one more request and a planned stop", bytes: get("running"), act: stop, statuses: [200] },
    // The refusal is for a request that crosses the end.
    { title: "a planned stop", act: stop, statuses: [408], announcedBy: ["running"], staysUnused: true },
    {
        title: "a reload with shorter time-outs",
        act: ({ link }) => link.setTimeouts(10_000, 50),
        statuses: [],
        staysOpen: true,
    },
];

type After = { title: string; act?: (opened: OpenedLink, follower: Follower) => void };
/** What comes shortly after the bytes of a follower. */
const afters: After[] = [
    { title: "" },
    { title: ", then a planned stop", act: stop },
    {
        title: ", then a reload",
        act: ({ link }, { headLimit = longHeadMilliseconds }) => link.setTimeouts(10_000, headLimit),
    },
];

type Before = { title: string; path: string | undefined };
const befores: Before[] = [
    { title: "nothing", path: undefined },
    { title: "a running request", path: "running" },
    { title: "an answer half written", path: "half" },
];

/** Waits in turns of the event loop, so that time in which this process does not run counts neither for nor against. */
const waitTurns = async (milliseconds: number, hasHappened: () => boolean): Promise<void> => {
    for (let turn = 0; turn < milliseconds / turnMilliseconds && !hasHappened(); turn += 1) {
        await sleep(turnMilliseconds);
    }
};

for (const { title: before, path } of befores) {
    const plays = followers.flatMap(follower =>
        afters.filter(after => after.act === undefined || follower.bytes !== undefined).map(after => ({
            follower,
            after,
        }))
    );
    for (const { follower, after } of plays) {
        const { title, bytes, act, staysOpen = false, staysUnused = false } = follower;
        const statuses = follower.announcedBy?.includes(path) === true ? [] : follower.statuses;
        test(`answers that are due go first: ${title} after ${before}${after.title}`, async t => {
            const first = path === undefined ? [] : [200];
            const wanted = staysUnused && path === undefined ? [] : [...first, ...statuses];
            const mayBeDropped = after.act === stop && follower.droppedByStop?.includes(path) === true;
            let allowAnswer = (): void => undefined;
            const opened = await openLink(
                new Promise(resolve => {
                    allowAnswer = resolve;
                }),
            );
            t.teardown(opened.link.close);
            opened.link.setTimeouts(5_000, follower.headLimit ?? longHeadMilliseconds);
            const [host, port] = opened.link.address.split(":");
            const socket = connect({ host, port: Number(port), allowHalfOpen: true });
            let received = "";
            let ended = false;
            socket.on("data", chunk => {
                received += String(chunk);
            });
            socket.on("end", () => {
                ended = true;
                socket.end();
            });
            socket.on("error", () => undefined);
            t.teardown(() => socket.destroy());
            if (path !== undefined) {
                socket.write(get(path));
            }
            while (path !== undefined && opened.served.length === 0) {
                await sleep(5);
            }
            await sleep(pauseMilliseconds);
            if (bytes !== undefined) {
                socket.write(bytes);
            }
            while (act !== undefined && opened.served.length < wanted.filter(status => status === 200).length) {
                await sleep(5);
            }
            act?.(opened, socket);
            if (after.act !== undefined) {
                await waitTurns(thenMilliseconds, () => false);
                after.act(opened, follower);
            }
            allowAnswer();
            const stays = staysOpen || (staysUnused && path === undefined);
            await waitTurns(stays ? 800 : 2_000, () => ended);
            const found = received.split("HTTP/1.1 ").slice(1);
            const statusesFound = found.map(answer => Number(answer.slice(0, 3)));
            const isShort = mayBeDropped && statusesFound.length === wanted.length - 1;
            t.deepEqual(statusesFound, isShort ? wanted.slice(0, -1) : wanted, received);
            t.true(found.filter(answer => answer.startsWith("200")).every(answer => answer.endsWith(wholeBody)));
            const isAnnounced = found.some(answer => answer.startsWith("200") && answer.includes("connection: close"));
            t.true(isAnnounced || follower.announcedBy?.includes(path) !== true);
            t.is(opened.served.length, wanted.filter(status => status === 200).length);
            t.is(ended, !stays);
        });
    }
}

const openSocket = (t: ExecutionContext, { link }: OpenedLink): Socket => {
    const [host, port] = link.address.split(":");
    const socket = connect(Number(port), host).on("error", () => undefined);
    t.teardown(() => socket.destroy());
    return socket;
};

test("a planned stop does not cut off an answer that a slow caller still reads", async t => {
    const opened = await openLink();
    t.teardown(opened.link.close);
    const socket = openSocket(t, opened).pause();
    socket.write(get("large"));
    while (opened.served.length === 0) {
        await sleep(5);
    }
    await sleep(pauseMilliseconds);
    stop(opened);
    let bytes = 0;
    socket.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
    });
    socket.resume();
    await once(socket, "close");
    t.true(bytes > largeBytes);
});

test("a caller that never reads does not hold the host once its bytes are refused", async t => {
    const opened = await openLink();
    t.teardown(opened.link.close);
    const socket = openSocket(t, opened).pause();
    socket.write(get("large"));
    while (opened.served.length === 0) {
        await sleep(5);
    }
    // Set only now, as it also limits the time until a first request is read.
    opened.link.setTimeouts(200, longHeadMilliseconds);
    socket.write("no request\r\n\r\n");
    await waitTurns(5_000, () => opened.link.inFlight() === 0 && opened.ends.length > 0);
    t.is(opened.link.inFlight(), 0);
    t.deepEqual(opened.ends.map(({ reason, due }) => ({ reason, due })), [{ reason: "caller-stalled", due: 1 }]);
});

type Reader = {
    title: string;
    path: string;
    idleMilliseconds: number;
    /** Called every 50 ms. */
    act: (socket: Socket) => unknown;
    /** Whether the caller is given up. */
    isStalled: boolean;
};
const readers: Reader[] = [
    { title: "nothing", path: "large", idleMilliseconds: 400, act: () => undefined, isStalled: true },
    { title: "nothing of a stream", path: "stream", idleMilliseconds: 400, act: () => undefined, isStalled: true },
    {
        title: "nothing, and goes on sending",
        path: "large",
        idleMilliseconds: 400,
        act: socket => socket.write("x"),
        isStalled: true,
    },
    { title: "little", path: "large", idleMilliseconds: 1_000, act: socket => socket.read(10_000), isStalled: false },
    { title: "all there is", path: "slow", idleMilliseconds: 100, act: socket => socket.resume(), isStalled: false },
];

for (const { title, path, idleMilliseconds, act, isStalled } of readers) {
    test(`a caller that takes ${title} ${isStalled ? "is given up after the idle time" : "keeps its connection"}`, async t => {
        const opened = await openLink();
        t.teardown(opened.link.close);
        const [host, port] = opened.link.address.split(":");
        const socket = connect(Number(port), host).on("error", () => undefined).pause();
        t.teardown(() => socket.destroy());
        socket.write(get(path));
        while (opened.served.length === 0) {
            await sleep(5);
        }
        opened.link.setTimeouts(idleMilliseconds, longHeadMilliseconds);
        const timer = setInterval(() => act(socket), 50);
        t.teardown(() => clearInterval(timer));
        await waitTurns(4_000, () => opened.ends.length > 0);
        const ends = opened.ends.map(({ reason, due, requestIds }) => ({ reason, due, ids: requestIds.length }));
        t.deepEqual(ends, isStalled ? [{ reason: "caller-stalled", due: 1, ids: 1 }] : []);
        t.is(opened.link.inFlight(), isStalled || path === "slow" ? 0 : 1);
    });
}

test("a request that has come in part when the host closes is refused, and the idle connection only ends", async t => {
    const opened = await openLink();
    t.teardown(opened.link.close);
    const texts = [["", ""], ["", "GET /orders/b HTTP/1.1\r\n"], [get("b"), "GET /orders/b HTTP/1.1\r\n"]];
    const received = texts.map(() => "");
    const sockets = texts.map(([text], index) => {
        const socket = openSocket(t, opened);
        socket.on("data", chunk => {
            received[index] += String(chunk);
        });
        socket.write(text);
        return socket;
    });
    await waitTurns(1_000, () => received[2].endsWith(wholeBody));
    sockets.forEach((socket, index) => socket.write(texts[index][1]));
    await sleep(pauseMilliseconds);
    await Promise.all([opened.link.close(), ...sockets.map(socket => once(socket, "close"))]);
    const statuses = received.map(text => text.split("HTTP/1.1 ").slice(1).map(answer => Number(answer.slice(0, 3))));
    t.deepEqual(statuses, [[], [503], [200, 503]]);
});

test("an answer without a length that breaks off does not end the connection before the answer ahead of it", async t => {
    const opened = await openLink();
    t.teardown(opened.link.close);
    const socket = openSocket(t, opened);
    let received = "";
    socket.on("data", chunk => {
        received += String(chunk);
    });
    socket.write(get("running") + get("broken"));
    await once(socket, "close");
    t.regex(received, new RegExp(wholeBody));
    await sleep(20);
    t.is(opened.link.inFlight(), 0);
});

for (const [path, reason] of [["broken", "answer-cut-short"], ["late", "answer-timed-out"]] as const) {
    test(`an answer without a length that is cut is told as ${reason}`, async t => {
        const opened = await openLink();
        t.teardown(opened.link.close);
        const socket = openSocket(t, opened);
        const closed = new Promise(resolve => socket.on("error", () => undefined).once("close", resolve));
        socket.resume().write(get(path) + get("running"));
        await closed;
        await waitTurns(1_000, () => opened.ends.length > 0);
        t.deepEqual(opened.ends.map(end => [end.reason, end.due]), [[reason, 2]]);
    });
}

test("an answer without a length is written whole, and those that were due behind it are told as lost", async t => {
    const opened = await openLink();
    t.teardown(opened.link.close);
    const socket = openSocket(t, opened);
    let received = "";
    socket.on("data", chunk => {
        received += String(chunk);
    });
    socket.write(get("unframed") + get("running") + get("running"));
    await once(socket, "close");
    await waitTurns(1_000, () => opened.ends.length > 0);
    t.is(received.split("HTTP/1.1 ").length, 2, received);
    t.true(received.endsWith(`\r\n\r\n${wholeBody}`));
    const ends = opened.ends.map(({ reason, due, requestIds }) => ({ reason, due, ids: requestIds.length }));
    t.deepEqual(ends, [{ reason: "answer-without-length", due: 2, ids: 2 }]);
});

const droppedBytes = "x".repeat(100_000);
const unreadFollowers: [string, string][] = [
    ["garbage", `\0\0 no request\r\n\r\n${droppedBytes}`],
    ["a body that is too large", post("b", "content-length: 200000") + droppedBytes],
    ["an expectation with a body", post("b", "expect: miracles", "content-length: 200000") + droppedBytes],
    [
        "a dropped request with a body",
        get("b", "carobpier-key: a", "carobpier-key: b") + post("c", "content-length: 200000") + droppedBytes,
    ],
    [
        "a dropped expectation with a body",
        get("b", "expect: miracles") + post("c", "expect: miracles", "content-length: 200000") + droppedBytes,
    ],
];

for (const [title, bytes] of unreadFollowers) {
    test(`callers that close behind dropped bytes are noticed: ${title}`, async t => {
        const opened = await openLink();
        t.teardown(opened.link.close);
        const socket = openSocket(t, opened);
        socket.write(get("long"));
        while (opened.served.length === 0) {
            await sleep(5);
        }
        socket.write(bytes);
        await sleep(pauseMilliseconds);
        socket.destroy();
        await sleep(500);
        t.is(opened.ends.length, 1);
    });
}

/** The caller is a process of its own, which goes on sending while the host refuses. */
const largeBodyProgram = (port: string, head: string): string => `
    const socket = require("node:net").connect(${port}, "127.0.0.1");
    let received = "";
    socket.on("data", part => received += part);
    socket.on("error", error => received += error.code);
    socket.on("close", () => console.log(received));
    socket.write(${JSON.stringify(head)} + "x".repeat(4_000_000));`;

for (const [title, header] of [["a length", "content-length: 4000000"], ["chunks", "transfer-encoding: chunked"]]) {
    test(`callers that still send a body with ${title} get its refusal, not a reset`, async t => {
        const { link } = await openLink();
        t.teardown(link.close);
        const head = post("b", header) + (title === "chunks" ? "3D0900\r\n" : "");
        const program = largeBodyProgram(link.address.split(":")[1], head);
        const run = promisify(execFile);
        const outputs = await Promise.all(Array.from({ length: 8 }, () => run(process.execPath, ["-e", program])));
        t.deepEqual(outputs.map(({ stdout }) => stdout.slice(9, 12)), Array(8).fill("413"));
    });
}
