/**
 * The ledger of requests on real sockets: every request that begins ends in exactly one way, the counts agree with what its
 * caller saw, and those that have begun are at any time those that have ended and those in flight.
 */
import test, { type ExecutionContext } from "ava";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerAnswer, CallerLink, CallerRequest, StreamCut, StreamReceiver } from "../../src/links/callers.ts";
import { createMetrics, type Metrics } from "../../src/links/metrics.ts";
import { createRequestLedger } from "../../src/links/requestledger.ts";
import { answerWithLength, openCallerLink } from "./callerlink.ts";

const wholeBody = "first part, second part.";
const firstPart = "first part, ";
const workMilliseconds = 150;
const largeBytes = 33_554_432;

const streamOf = (start: (receiver: StreamReceiver) => void) => ({
    start,
    resume: () => undefined,
    abort: () => undefined,
});
const cutBy = (cut: StreamCut): CallerAnswer => ({
    kind: "answer",
    statusCode: 200,
    headers: { "content-length": String(wholeBody.length) },
    body: streamOf(({ onBytes, onFailure }) => {
        onBytes(Buffer.from(firstPart));
        setTimeout(() => onFailure(cut), 20);
    }),
});
const whole = () => answerWithLength(wholeBody);

/** Answers by the path of the request. */
const answers: Record<string, (request: CallerRequest) => CallerAnswer | Promise<CallerAnswer>> = {
    "/running": () => sleep(workMilliseconds, whole()),
    "/long": () => sleep(5_000, whole(), { ref: false }),
    "/half": () => ({
        ...whole(),
        body: streamOf(({ onBytes, onEnd }) => {
            onBytes(Buffer.from(firstPart));
            setTimeout(() => {
                onBytes(Buffer.from(wholeBody.slice(firstPart.length)));
                onEnd();
            }, workMilliseconds);
        }),
    }),
    "/large": () => ({
        ...whole(),
        headers: { "content-length": String(largeBytes) },
        body: Buffer.alloc(largeBytes, "x"),
    }),
    "/refused": () => ({ kind: "refusal", reason: "no-target", detail: "" }),
    "/broken": () => cutBy("answer-cut-short"),
    "/late": () => cutBy("answer-timed-out"),
    "/stopped": () => cutBy("host-stopped"),
    "/unframed": () => ({ ...whole(), headers: {}, endsWithConnection: true }),
    "/throws": () => {
        throw new Error("A fault of the router.");
    },
};

/** Metrics that note when the sums of the ledger disagree. */
const createCheckedMetrics = () => {
    const metrics = createMetrics();
    const disagreements: string[] = [];
    const sumOf = (name: string): number =>
        Object.entries(metrics.snapshot()).reduce(
            (sum, [series, value]) => series.startsWith(name) ? sum + value : sum,
            0,
        );
    const checked: Pick<Metrics, "count" | "gauge"> = {
        count: metrics.count,
        gauge: (...gauge) => {
            metrics.gauge(...gauge);
            const [begun, ended, inFlight] = ["request-begins", "request-ends", "requests-in-flight"].map(sumOf);
            if (begun !== ended + inFlight || inFlight < 0) {
                disagreements.push(`${begun} begun, ${ended} ended, ${inFlight} in flight`);
            }
        },
    };
    const ends = (): Record<string, number> =>
        Object.fromEntries(
            Object.entries(metrics.snapshot()).flatMap(([series, value]) => {
                const [, end, reason] = /^request-ends\{end=(.*),reason=(.*)\}$/.exec(series) ?? [];
                return end === undefined ? [] : [[`${end} ${reason}`, value]];
            }),
        );
    return { checked, disagreements, ends, inFlight: () => sumOf("requests-in-flight") };
};

const openLink = async (t: ExecutionContext) => {
    const metrics = createCheckedMetrics();
    const { link, served } = await openCallerLink({
        callers: { maxBodyBytes: 64, maxHeadBytes: 2_048 },
        serve: async request => await (answers[request.path] ?? whole)(request),
        ledger: createRequestLedger(metrics.checked),
    });
    t.teardown(link.close);
    link.setTimeouts(5_000, 60_000);
    return { link, metrics, served };
};

const get = (path: string, ...lines: string[]): string =>
    [`GET /orders/${path} HTTP/1.1`, "host: x", ...lines, "", ""].join("\r\n");
const post = (path: string, ...lines: string[]): string => get(path, ...lines).replace("GET", "POST");
const health = "GET /-/health HTTP/1.1\r\nhost: x\r\n\r\n";
const chunked = "transfer-encoding: chunked";

type Opened = { link: CallerLink; socket: Socket };
type Case = {
    title: string;
    bytes: string;
    /** Requests that must be served before `act`. */
    served?: number;
    /** Called a moment after the bytes were written and the requests served. */
    act?: (opened: Opened) => void;
    /** Called before the bytes are written. */
    prepare?: (opened: Opened) => void;
    /** Whether the caller reads. */
    reads?: boolean;
    /** Statuses of the answers that the caller got whole. */
    statuses: number[];
    ends: Record<string, number>;
};

const reset = ({ socket }: Opened): void => void socket.resetAndDestroy();
const halfClose = ({ socket }: Opened): void => void socket.end();
const closeLink = ({ link }: Opened): void => void link.close();
const stop = ({ link }: Opened): void => {
    link.disableKeepAlive();
    void link.stopAccepting();
};

const cases: Case[] = [
    { title: "one request", bytes: get("a"), statuses: [200], ends: { "answered none": 1 } },
    {
        title: "requests one behind the other, of which one is refused",
        bytes: get("running") + get("refused") + get("half"),
        statuses: [200, 503, 200],
        ends: { "answered none": 2, "refused no-target": 1 },
    },
    {
        title: "health checks among requests",
        bytes: health + get("running") + health + get("a") + health,
        statuses: [200, 200, 200, 200, 200],
        ends: { "answered none": 2 },
    },
    {
        title: "a body in two parts",
        bytes: `${post("a", "content-length: 4")}ab`,
        act: ({ socket }) => void socket.write("cd"),
        statuses: [200],
        ends: { "answered none": 1 },
    },
    {
        title: "a request and garbage",
        bytes: get("running") + "no request\r\n\r\n",
        statuses: [200, 400],
        ends: { "answered none": 1, "refused malformed-request": 1 },
    },
    {
        title: "a head that is too long",
        bytes: get("a", `a: ${"b".repeat(4_096)}`),
        statuses: [431],
        ends: { "refused head-too-large": 1 },
    },
    {
        title: "a head that its reader refuses",
        bytes: get("a", "carobpier-key: a", "carobpier-key: b"),
        statuses: [400],
        ends: { "refused malformed-request": 1 },
    },
    {
        title: "an expectation",
        bytes: get("a", "expect: miracles"),
        statuses: [400],
        ends: { "refused malformed-request": 1 },
    },
    {
        title: "a tunnel behind a request",
        bytes: get("a") + "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n",
        statuses: [200, 400],
        ends: { "answered none": 1, "refused malformed-request": 1 },
    },
    {
        title: "a body that is too large",
        bytes: post("a", "content-length: 100") + "x".repeat(100),
        statuses: [413],
        ends: { "refused body-too-large": 1 },
    },
    {
        title: "a body that is no chunk behind a request",
        bytes: get("running") + post("a", chunked) + "no chunk\r\n",
        statuses: [200, 400],
        ends: { "answered none": 1, "refused malformed-request": 1 },
    },
    {
        title: "a body that does not come in time",
        bytes: post("a", "content-length: 5", "carobpier-deadline: 100"),
        statuses: [503],
        ends: { "refused deadline-unreachable": 1 },
    },
    {
        title: "a head that does not come in time",
        bytes: "GET /orders/a HTTP/1.1\r\n",
        prepare: ({ link }) => link.setTimeouts(5_000, 100),
        statuses: [408],
        ends: { "refused read-timed-out": 1 },
    },
    {
        title: "a head that does not come in a time that was shortened meanwhile",
        bytes: "GET /orders/a HTTP/1.1\r\n",
        act: ({ link }) => link.setTimeouts(5_000, 100),
        statuses: [408],
        ends: { "refused read-timed-out": 1 },
    },
    {
        title: "the close of all connections within a body",
        bytes: `${post("a", "content-length: 5")}12`,
        act: closeLink,
        statuses: [503],
        ends: { "refused host-stopping": 1 },
    },
    {
        title: "a head whose rest does not come within the idle time",
        bytes: "GET /orders/a HTTP/1.1\r\n",
        prepare: ({ link }) => link.setTimeouts(100, 60_000),
        statuses: [],
        ends: { "caller-gone caller-stalled": 1 },
    },
    {
        title: "a half close within a head",
        bytes: "GET /orders/a HTTP/1.1\r\n",
        act: halfClose,
        statuses: [400],
        ends: { "refused malformed-request": 1 },
    },
    {
        title: "a half close within a body",
        bytes: `${post("a", "content-length: 5")}12`,
        act: halfClose,
        statuses: [400],
        ends: { "refused malformed-request": 1 },
    },
    {
        title: "a half close behind requests that run",
        bytes: get("running") + get("running"),
        served: 2,
        act: halfClose,
        statuses: [200, 200],
        ends: { "answered none": 2 },
    },
    {
        title: "a reset within a head",
        bytes: "GET /orders/a HTTP/1.1\r\n",
        act: reset,
        statuses: [],
        ends: { "caller-gone caller-reset": 1 },
    },
    {
        title: "a reset within a body behind a request",
        bytes: get("long") + post("a", "content-length: 5"),
        served: 1,
        act: reset,
        statuses: [],
        ends: { "caller-gone caller-reset": 2 },
    },
    {
        title: "a reset while requests run",
        bytes: get("a") + get("long") + get("long"),
        served: 3,
        act: reset,
        statuses: [200],
        ends: { "answered none": 1, "caller-gone caller-reset": 2 },
    },
    {
        title: "a reset before the refusal of garbage is due",
        bytes: get("long") + "no request\r\n\r\n",
        served: 1,
        act: reset,
        statuses: [],
        ends: { "caller-gone caller-reset": 2 },
    },
    {
        title: "a caller that takes nothing",
        bytes: get("large") + get("a"),
        served: 2,
        act: ({ link }) => link.setTimeouts(200, 60_000),
        reads: false,
        statuses: [],
        ends: { "caller-gone caller-stalled": 2 },
    },
    {
        title: "a target that breaks off, with a request behind",
        bytes: get("a") + get("broken") + get("a"),
        statuses: [200],
        ends: { "answered none": 1, "cut answer-cut-short": 2 },
    },
    { title: "the time of a route", bytes: get("late"), statuses: [], ends: { "cut answer-timed-out": 1 } },
    { title: "a send that the stop ends", bytes: get("stopped"), statuses: [], ends: { "cut host-stopped": 1 } },
    {
        title: "an answer without a length, with requests behind",
        bytes: get("unframed") + get("running") + get("a"),
        statuses: [200],
        ends: { "answered none": 1, "cut answer-without-length": 2 },
    },
    {
        title: "an exception",
        bytes: get("throws"),
        statuses: [502],
        ends: { "refused host-failed": 1 },
    },
    {
        title: "the close of all connections while a request runs",
        bytes: get("a") + get("long"),
        served: 2,
        act: closeLink,
        statuses: [200],
        ends: { "answered none": 1, "cut host-stopped": 1 },
    },
    {
        title: "the close of all connections within a head",
        bytes: get("a") + "GET /orders/a HTTP/1.1\r\n",
        served: 1,
        act: ({ link, socket }) => {
            socket.write("x: y\r\n");
            setTimeout(() => void link.close(), 50);
        },
        statuses: [200, 503],
        ends: { "answered none": 1, "refused host-stopping": 1 },
    },
    {
        title: "a request that arrives when all connections are about to close",
        bytes: get("a"),
        served: 1,
        act: ({ link, socket }) => {
            socket.write(get("long"));
            void link.close();
        },
        statuses: [200, 503],
        ends: { "answered none": 1, "refused host-stopping": 1 },
    },
    {
        title: "a planned stop while requests run",
        bytes: get("running") + get("half"),
        served: 2,
        act: stop,
        // The last is for a request that crosses the end of the connection.
        statuses: [200, 200, 408],
        ends: { "answered none": 2 },
    },
    {
        title: "requests behind an answer that announces the end of the connection",
        bytes: get("half"),
        served: 1,
        prepare: ({ link }) => link.disableKeepAlive(),
        act: ({ socket }) => void socket.write(get("a") + health + get("a")),
        statuses: [200],
        ends: { "answered none": 1, "dropped closing": 2 },
    },
];

/** A reset may show as an end. */
const withResets = (ends: Record<string, number>): Record<string, number> =>
    Object.fromEntries(
        Object.entries(ends).map(([end, count]) => [end.replace("caller-closed", "caller-reset"), count]),
    );

/** Statuses of the whole answers among the bytes that a caller got. */
const statusesOf = (received: string): number[] =>
    received.split("HTTP/1.1 ").slice(1).flatMap(text => {
        const [head, body = ""] = text.split("\r\n\r\n");
        const length = /content-length: (\d+)/i.exec(head)?.[1];
        const isChunked = /transfer-encoding: chunked/i.test(head);
        const isWhole = isChunked ? text.endsWith("0\r\n\r\n") : length === undefined || body.length >= Number(length);
        return isWhole ? [Number(head.slice(0, 3))] : [];
    });

for (const { title, bytes, served = 0, act, prepare, reads = true, statuses, ends } of cases) {
    test(`every request ends once in the ledger: ${title}`, async t => {
        const { link, metrics, served: servedPaths } = await openLink(t);
        const [host, port] = link.address.split(":");
        const socket = connect({ host, port: Number(port), allowHalfOpen: true }).on("error", () => undefined);
        t.teardown(() => socket.destroy());
        let received = "";
        if (reads) {
            socket.on("data", part => {
                received += String(part);
            });
        }
        socket.on("end", () => socket.end());
        prepare?.({ link, socket });
        socket.write(bytes);
        while (servedPaths.length < served) {
            await sleep(5);
        }
        await sleep(60);
        act?.({ link, socket });
        const expected = Object.values(ends).reduce((sum, count) => sum + count, 0);
        const ended = (): number => Object.values(metrics.ends()).reduce((sum, count) => sum + count, 0);
        const endAt = performance.now() + 4_000;
        while ((ended() < expected || metrics.inFlight() > 0) && performance.now() < endAt) {
            await sleep(5);
        }
        await sleep(50);
        t.deepEqual(act === reset ? withResets(metrics.ends()) : metrics.ends(), ends);
        t.is(metrics.inFlight(), 0);
        t.deepEqual(metrics.disagreements, []);
        t.deepEqual(statusesOf(received), statuses, received);
    });
}

test("the sums of the ledger agree with what many callers saw at once", async t => {
    const { link, metrics } = await openLink(t);
    const [host, port] = link.address.split(":");
    const plays = Array.from({ length: 8 }, () => cases.filter(each => each.act === undefined && !each.prepare)).flat();
    const received = await Promise.all(plays.map(async ({ bytes, statuses, ends }) => {
        const socket = connect({ host, port: Number(port), allowHalfOpen: true }).on("error", () => undefined);
        let text = "";
        socket.on("data", part => {
            text += String(part);
        });
        socket.write(bytes);
        let isOver = false;
        socket.once("end", () => isOver = true).once("close", () => isOver = true);
        const isCut = Object.keys(ends).some(end => end.startsWith("cut"));
        const until = performance.now() + 8_000;
        while (!isOver && (isCut || statusesOf(text).length < statuses.length) && performance.now() < until) {
            await sleep(10);
        }
        socket.end();
        return statusesOf(text);
    }));
    const endAt = performance.now() + 4_000;
    while (metrics.inFlight() > 0 && performance.now() < endAt) {
        await sleep(5);
    }
    const total: Record<string, number> = {};
    for (const [end, count] of plays.flatMap(({ ends }) => Object.entries(ends))) {
        total[end] = (total[end] ?? 0) + count;
    }
    t.deepEqual(metrics.ends(), total);
    t.deepEqual(metrics.disagreements, []);
    t.is(metrics.inFlight(), 0);
    t.deepEqual(received, plays.map(({ statuses }) => statuses));
});
