/**
 * Stand-ins for the scripts of this folder, written after the users' pages PROTOCOL.md and DEPLOY.md: the platform's
 * store, backends that hold keys, links that can be cut, consumers, and the platform's part of starting a host.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer as createHttpServer, request as httpRequest } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { clearTimeout, setTimeout as after } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { URL } from "node:url";

export { sleep };

/** Longest time that a script may take. */
const maxScriptMilliseconds = 115_000;
const loopback = "127.0.0.1";

/** Below the ports that systems give to outgoing connections. */
export const freePort = async () => {
    for (;;) {
        const port = 20_000 + Math.floor(Math.random() * 12_000);
        const server = createTcpServer();
        const free = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, loopback, () => resolve(true));
        });
        if (free) {
            await new Promise(resolve => server.close(resolve));
            return port;
        }
    }
};

/**
 * Runs a script: collects the record, ends everything that it opened, and exits with 1 if the rule was broken, 0 if it
 * held, 2 if the case could not run. `play` returns the breaches as lines of text.
 */
export const runScript = async (folder, play) => {
    const startedAt = performance.now();
    const lines = [];
    const closers = [];
    const now = () => performance.now() - startedAt;
    const note = text => lines.push(`${(now() / 1_000).toFixed(3).padStart(8)} ${text}`);
    const end = async code => {
        for (const close of closers.reverse()) {
            await close();
        }
        writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    const guard = after(() => {
        note("the script took too long");
        void end(2);
    }, maxScriptMilliseconds);
    const trouble = process.env["TROUBLE"] !== "0";
    note(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    try {
        const breaches = await play({ note, now, trouble, onEnd: close => closers.push(close) });
        clearTimeout(guard);
        breaches.forEach(text => note(`BROKEN ${text}`));
        note(breaches.length === 0 ? "the rule held" : `the rule was broken ${breaches.length} times`);
        process.stdout.write(`${lines.slice(-Math.min(12, breaches.length + 1)).join("\n")}\n`);
        await end(breaches.length === 0 ? 0 : 1);
    }
    catch (error) {
        note(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
        process.stdout.write(`${lines.at(-1)}\n`);
        await end(2);
    }
};

const readBody = async stream => {
    const parts = [];
    for await (const part of stream) {
        parts.push(part);
    }
    return Buffer.concat(parts);
};

export const waitUntil = async (what, condition, milliseconds = 20_000) => {
    const endAt = performance.now() + milliseconds;
    while (!await condition()) {
        if (performance.now() > endAt) {
            throw new Error(`Did not happen in time: ${what}.`);
        }
        await sleep(20);
    }
};

/**
 * The platform's store. `view()` opens an address for one machine, which can be cut off from the store and can be shown
 * other addresses for machines and backends, so that the links between these can be cut for it alone.
 */
export const startStore = ({ onEnd }) => {
    const objects = new Map();
    let events = [];
    let revision = 1;
    const pageSize = 500;
    /** Age of the data that `serializable` watches return. */
    const options = { staleMilliseconds: 0 };

    const commit = (kind, name, spec, removed = false) => {
        const before = objects.get(`${kind}/${name}`);
        if (!removed && before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) {
            return before;
        }
        revision += 1;
        const createRevision = before?.metadata.createRevision ?? revision;
        const metadata = { name, rev: revision, createRevision, finalizers: [], deleting: false };
        const object = { metadata, spec, status: {} };
        if (removed) {
            objects.delete(`${kind}/${name}`);
        }
        else {
            objects.set(`${kind}/${name}`, object);
        }
        events.push({ kind, rev: revision, at: performance.now(), removed, object: removed ? before : object });
        events = events.slice(-20_000);
        return object;
    };

    const write = (method, kind, name, body) => {
        const current = objects.get(`${kind}/${name}`);
        if (method === "POST" && current !== undefined) {
            return [409, current];
        }
        if (method === "PUT" && current === undefined) {
            return [404, {}];
        }
        if (method === "PUT" && body.metadata?.rev !== undefined && body.metadata.rev !== current.metadata.rev) {
            return [409, current];
        }
        return [200, commit(kind, name, body.spec)];
    };

    const watch = async (kind, from, waitMilliseconds, staleMilliseconds) => {
        const endAt = performance.now() + waitMilliseconds;
        for (;;) {
            const until = performance.now() - staleMilliseconds;
            const shown = events.filter(event => event.at <= until);
            const found = shown.filter(event => event.kind === kind && event.rev > from);
            if (found.length > 0 || performance.now() >= endAt) {
                const currentRev = staleMilliseconds === 0 ? revision : Math.max(from, shown.at(-1)?.rev ?? 1);
                return [200, { events: found.map(({ object, removed }) => ({ object, removed })), currentRev }];
            }
            await sleep(5);
        }
    };

    const read = (kind, name, query) => {
        if (name !== "") {
            const object = objects.get(`${kind}/${name}`);
            return object === undefined ? [404, {}] : [200, object];
        }
        if (query.has("watch")) {
            const stale = query.get("serializable") === "1" ? options.staleMilliseconds : 0;
            return watch(kind, Number(query.get("watch")), Number(query.get("waitMs") ?? 0), stale);
        }
        const all = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
            .filter(object => object.metadata.name > (query.get("after") ?? ""))
            .sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1);
        const items = all.slice(0, pageSize);
        return [200, { items, more: all.length > items.length, currentRev: revision }];
    };

    const view = async () => {
        const shown = { address: "", cut: false, addresses: new Map() };
        const server = createHttpServer(async (incoming, response) => {
            const body = await readBody(incoming).catch(() => undefined);
            if (shown.cut || body === undefined) {
                return;
            }
            const url = new URL(incoming.url, "http://store");
            const [, , , kind = "", name = ""] = url.pathname.split("/").map(decodeURIComponent);
            const { method } = incoming;
            const sent = body.length === 0 ? {} : JSON.parse(body.toString());
            const [statusCode, answer] = method === "GET"
                ? await read(kind, name, url.searchParams)
                : write(method, kind, method === "POST" ? sent.metadata.name : name, sent);
            if (shown.cut) {
                return;
            }
            let text = JSON.stringify(answer);
            shown.addresses.forEach((seen, real) => {
                text = text.replaceAll(`"${real}"`, `"${seen}"`);
            });
            response.writeHead(statusCode, { "content-type": "application/json" });
            response.end(text);
        });
        await new Promise(resolve => server.listen(0, loopback, resolve));
        shown.address = `${loopback}:${server.address().port}`;
        onEnd(() => {
            server.closeAllConnections();
            server.close();
        });
        return shown;
    };

    return {
        options,
        view,
        put: commit,
        remove: (kind, name) => commit(kind, name, undefined, true),
        read: (kind, name) => objects.get(`${kind}/${name}`)?.spec,
    };
};

/**
 * A link from one machine to an address. Cut, it is silent, or it resets what is open and what is opened ("reset"); then
 * bytes on their way are lost. `stall` makes the open connections silent for good, while new ones work. `onBytes` is
 * called with what the machine sends.
 */
export const openLink = async ({ onEnd }, address, onBytes = () => undefined) => {
    const [host, port] = address.split(":");
    const sockets = new Set();
    const stalled = new WeakSet();
    let state = "open";
    const server = createTcpServer({ pauseOnConnect: true }, near => {
        near.on("error", () => undefined);
        if (state === "reset") {
            near.resetAndDestroy();
            return;
        }
        const far = connect({ host, port: Number(port) });
        far.on("error", () => undefined);
        const isOpen = () => state === "open" && !stalled.has(near);
        for (const [one, other] of [[near, far], [far, near]]) {
            sockets.add(one);
            one.on("data", bytes => {
                if (isOpen()) {
                    other.write(bytes);
                }
                if (one === near) {
                    onBytes(bytes);
                }
            });
            one.on("end", () => isOpen() && other.end());
            one.on("close", () => {
                sockets.delete(one);
                if (isOpen()) {
                    other.destroy();
                }
            });
        }
        near.resume();
    });
    await new Promise(resolve => server.listen(0, loopback, resolve));
    onEnd(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return {
        address: `${loopback}:${server.address().port}`,
        cut: how => {
            state = how;
            if (how === "reset") {
                sockets.forEach(socket => socket.resetAndDestroy());
            }
        },
        stall: () => sockets.forEach(socket => stalled.add(socket)),
        /** What was under way is lost: those that waited have given up and reset their connections. */
        heal: () => {
            sockets.forEach(socket => socket.resetAndDestroy());
            state = "open";
        },
    };
};

export const signatureOf = (id, body) => `${id}.${createHash("sha256").update(body).digest("hex").slice(0, 16)}`;

/**
 * A backend. It keeps the history of what it held (`holds`) and of the requests that it began (`runs`), in milliseconds
 * of the script. `answer` may replace how a request is answered.
 */
export const startBackend = async ({ note, now, onEnd }, store, options) => {
    const { id, service, zone, sharded = false, slots = 4, workMilliseconds = 20, heartbeat = 870 } = options;
    const runs = [];
    const holds = [];
    let held = [];
    let fences = [];
    let running = [];
    let seq = 0;
    let server;
    let born;
    let sockets = new Set();
    const backend = {
        id,
        runs,
        holds,
        /** Grants as they came: time, keys, fence, answer and the life of the backend. */
        grants: [],
        life: 0,
        up: false,
        /** Whether its entry is refreshed. */
        reachesStore: true,
        state: "ready",
        answer: options.answer,
        intercept: options.intercept,
    };

    const overlap = (left, right) => left.from <= right.to && left.to >= right.from;
    const close = (hold, at) => {
        hold.end = Math.min(hold.end, at);
    };
    const without = (from, to) => {
        const at = now();
        held = held.filter(hold => hold.end > at).flatMap(hold => {
            if (!overlap(hold, { from, to })) {
                return [hold];
            }
            const pieces = [{ ...hold, to: Math.min(hold.to, from - 1), start: at },
                { ...hold, from: Math.max(hold.from, to + 1), start: at }].filter(piece => piece.from <= piece.to);
            close(hold, at);
            holds.push(...pieces);
            return pieces;
        });
    };
    const holdOf = key => held.find(hold => hold.from <= key && key <= hold.to && hold.end > now());

    const grant = ({ from, target: to, fence, hold_time: text }, arrivedAt) => {
        if (fences.some(seen => overlap(seen, { from, to }) && seen.fence > fence)) {
            return 409;
        }
        const until = arrivedAt + Number.parseFloat(text);
        const same = held.find(hold => hold.from === from && hold.to === to && hold.fence === fence && hold.end > now());
        if (same !== undefined) {
            same.end = until;
            same.until = until;
            return 200;
        }
        without(from, to);
        fences.push({ from, to, fence });
        const hold = { backend: id, life: backend.life, from, to, fence, start: now(), end: until, until };
        held.push(hold);
        holds.push(hold);
        return 200;
    };

    const control = async (incoming, response, body, arrivedAt) => {
        const call = JSON.parse(body.toString());
        const isGrant = incoming.url === "/v1/grant";
        if (isGrant) {
            const statusCode = grant(call, arrivedAt);
            const { from, target, fence } = call;
            backend.grants.push({ at: now(), from, to: target, fence, statusCode, life: backend.life });
            note(`${id} gets a grant of ${from}-${target} at ${fence}: ${statusCode}`);
            response.writeHead(statusCode, { "content-length": 0 });
            response.end();
            return;
        }
        without(call.from, call.target);
        fences.push({ from: call.from, to: call.target, fence: call.fence });
        note(`${id} gets a release of ${call.from}-${call.target} at ${call.fence}`);
        await waitUntil("the work has ended", () =>
            !running.some(run => run.key >= call.from && run.key <= call.target));
        note(`${id} answers the release of ${call.from}-${call.target} at ${call.fence}`);
        response.writeHead(200, { handover: `${id}-${call.fence}`, "content-length": 0 });
        response.end();
    };

    const work = async (incoming, response, body) => {
        const { headers } = incoming;
        const requestId = headers["request-id"];
        const refuse = (statusCode, notRun = true) => {
            response.writeHead(statusCode, {
                ...(requestId === undefined ? {} : { "request-id": requestId }),
                ...(notRun ? { "not-executed": "1" } : {}),
                "server-load": `${running.length},0,${slots}`,
                "content-length": 0,
            });
            response.end();
        };
        if (headers["target-instance"] !== undefined && headers["target-instance"] !== id) {
            refuse(421, false);
            return;
        }
        if (requestId === undefined) {
            refuse(400);
            return;
        }
        const key = Number(headers["shard-key"] ?? -1);
        if (sharded && holdOf(key) === undefined) {
            refuse(421);
            return;
        }
        if (running.length >= slots) {
            refuse(503);
            return;
        }
        const life = backend.life;
        const run = { at: now(), end: Infinity, id: requestId, key, path: incoming.url, body: body.toString(), backend: id };
        running.push(run);
        runs.push(run);
        note(`${id} runs ${requestId}${sharded ? ` key ${key}` : ""} ${incoming.method} ${incoming.url}`);
        if (backend.answer !== undefined) {
            await backend.answer(incoming, response, requestId);
        }
        else {
            await sleep(workMilliseconds);
            const text = `${id} served ${requestId}`;
            if (life === backend.life) {
                response.writeHead(200, {
                    "request-id": requestId,
                    "response-signature": signatureOf(id, text),
                    "server-load": `${running.length - 1},0,${slots}`,
                    "content-length": Buffer.byteLength(text),
                });
                response.end(text);
            }
        }
        run.end = now();
        running = running.filter(other => other !== run);
    };

    const serve = async (incoming, response) => {
        const arrivedAt = now();
        const body = await readBody(incoming);
        if (backend.intercept !== undefined && await backend.intercept(incoming, response, body) === true) {
            return;
        }
        if (incoming.url === "/v1/grant" || incoming.url === "/v1/release") {
            await control(incoming, response, body, arrivedAt);
            return;
        }
        if (incoming.url === "/health") {
            response.writeHead(200, { "instance-id": id, "content-length": 0 });
            response.end();
            return;
        }
        await work(incoming, response, body);
    };

    const register = () => {
        seq += 1;
        store.put("servers", id, {
            service,
            address: backend.address,
            zone,
            version: "v1",
            slots,
            state: backend.state,
            warmupLeft: "0ms",
            seq,
            born,
        });
    };
    const beat = async () => {
        const { life } = backend;
        while (backend.up && backend.life === life) {
            if (backend.reachesStore) {
                register();
            }
            await sleep(heartbeat);
        }
    };

    backend.start = async port => {
        backend.life += 1;
        born = Date.now();
        [held, fences, running, seq, sockets] = [[], [], [], 0, new Set()];
        server = createHttpServer({ keepAliveTimeout: 10_000 }, (incoming, response) => {
            serve(incoming, response).catch(() => response.destroy());
        });
        server.on("connection", socket => {
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => sockets.delete(socket));
        });
        await new Promise(resolve => server.listen(port ?? 0, loopback, resolve));
        backend.address = `${loopback}:${server.address().port}`;
        backend.up = true;
        note(`${id} is up, born ${born}`);
    };
    backend.join = () => void beat();
    /** Reports that it is draining, and goes on to serve. */
    backend.leave = () => {
        backend.state = "draining";
        register();
    };
    /** The process ends at once. */
    backend.kill = async () => {
        backend.up = false;
        backend.life += 1;
        holds.forEach(hold => close(hold, now()));
        held = [];
        note(`${id} is killed`);
        sockets.forEach(socket => socket.destroy());
        await new Promise(resolve => server.close(resolve));
    };
    backend.holdOf = holdOf;
    await backend.start();
    onEnd(() => backend.up ? backend.kill() : undefined);
    return backend;
};

/** Pairs of holds of one key by two backends that last longer than the time, and in which both began requests. */
export const doubleHolds = (backends, minMilliseconds) => {
    const breaches = [];
    const holds = backends.flatMap(backend => backend.holds);
    for (const one of holds) {
        for (const other of holds) {
            const from = Math.max(one.from, other.from);
            const to = Math.min(one.to, other.to);
            const start = Math.max(one.start, other.start);
            const end = Math.min(one.end, other.end);
            if (one.backend < other.backend && from <= to && end > start) {
                const began = [one, other].map(hold =>
                    backends.find(backend => backend.id === hold.backend).runs
                        .filter(run => run.key >= from && run.key <= to && run.at >= start && run.at <= end));
                const both = began.every(list => list.length > 0);
                if (end - start > minMilliseconds || both) {
                    breaches.push(
                        `OWNER ${one.backend} (fence ${one.fence}) and ${other.backend} (fence ${other.fence}) hold `
                            + `${from}-${to} from ${(start / 1_000).toFixed(3)} s to ${(end / 1_000).toFixed(3)} s `
                            + `(${Math.round(end - start)} ms); requests begun: ${began[0].length} and ${began[1].length}`,
                    );
                }
            }
        }
    }
    return breaches;
};

/** Grants of keys on which another backend was still at work, before that one's hold would have run out. */
export const grantsAtWork = backends => {
    const breaches = [];
    for (const backend of backends) {
        for (const { at, from, to, fence } of backend.grants.filter(({ statusCode }) => statusCode === 200)) {
            for (const other of backends.filter(candidate => candidate !== backend)) {
                const runs = other.runs.filter(run => run.key >= from && run.key <= to && run.at < at && run.end > at + 20);
                const busy = runs.filter(run => other.holds.some(hold => hold.from <= run.key && run.key <= hold.to
                    && hold.start <= run.at && hold.until > at));
                if (busy.length > 0) {
                    const [first] = busy;
                    breaches.push(
                        `OWNER ${backend.id} is given ${from}-${to} (fence ${fence}) at ${(at / 1_000).toFixed(3)} s, while `
                            + `${other.id} is at work on ${busy.length} requests for these keys: ${first.id}, key ${first.key}, `
                            + `from ${(first.at / 1_000).toFixed(3)} s to ${(first.end / 1_000).toFixed(3)} s`,
                    );
                }
            }
        }
    }
    return breaches;
};

export const route = (host, service, kind, more = {}) => ({
    host,
    pathPrefix: "/a/",
    kind,
    timeout: "2500ms",
    targetLatency: "500ms",
    priority: 1,
    service,
    maxAttempts: 2,
    ...more,
});
export const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeout: "3000ms", idleTimeout: "15000ms" };

/** Starts a host as the deploy file does: the settings of its template, and its command. */
export const startHost = async ({ note, onEnd }, { name, zone, view, linksPort }) => {
    const ports = { callers: await freePort(), health: await freePort(), links: linksPort ?? await freePort() };
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const file = join(folder, "settings.yaml");
    writeFileSync(
        file,
        [
            `host: { name: ${name}, zone: ${zone}, processor: { share: 0.54, speed: 1 } }`,
            `callers: { listen: "${loopback}:${ports.callers}" }`,
            `health: { listen: "${loopback}:${ports.health}" }`,
            `links: { listen: "${loopback}:${ports.links}" }`,
            `store: { address: "${view.address}" }`,
            "stopping: { grace: 6s }",
            "ownership: { maxHold: 10000ms }",
            "retries: { ratio: 0.2, slack: 60 }",
        ].join("\n"),
    );
    const host = { name, ports, links: `${loopback}:${ports.links}`, log: "", ended: false };
    host.start = () => {
        host.ended = false;
        const args = ["--max-old-space-size=128", "--max-semi-space-size=2", "target/carobpier.cjs"];
        const { PATH, HOME, LANG } = process.env;
        host.child = spawn(process.execPath, args, {
            env: { PATH, HOME, LANG, CAROBPIER_BOOT: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const take = part => {
            host.log += String(part);
        };
        host.child.stdout.on("data", take);
        host.child.stderr.on("data", take);
        host.child.once("exit", (code, signal) => {
            host.ended = true;
            note(`${name} ended: code ${code}, signal ${signal}`);
        });
        note(`${name} starts`);
    };
    host.kill = signal => {
        note(`${name} gets ${signal}`);
        host.child.kill(signal);
    };
    host.start();
    onEnd(async () => {
        if (!host.ended) {
            host.child.kill("SIGKILL");
        }
        rmSync(folder, { recursive: true, force: true });
    });
    return host;
};

/** Asks the host as the platform does: `GET /v1/ready`. */
export const isReady = host =>
    new Promise(resolve => {
        const asked = httpRequest({ host: loopback, port: host.ports.health, path: "/v1/ready", agent: false }, answer => {
            answer.resume();
            resolve(answer.statusCode === 200);
        });
        asked.on("error", () => resolve(false));
        asked.end();
    });

export const createConsumer = () => new Agent({ keepAlive: true, maxSockets: 200 });

let lastRequest = 0;
/** Sends one consumer attempt; resolves to what the consumer saw. `status` is undefined when there was no answer. */
export const send = ({ note, now }, host, { route: name, path = "/a/x", method = "GET", key, deadline = 2_500, agent,
    body }) =>
    new Promise(resolve => {
        lastRequest += 1;
        const id = `q${String(lastRequest).padStart(6, "0")}`;
        const sentAt = now();
        const headers = {
            host: name,
            "request-id": id,
            "request-deadline": String(deadline),
            ...(key === undefined ? {} : { "shard-key": String(key) }),
            ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
        };
        let settled = false;
        const finish = seen => {
            if (!settled) {
                settled = true;
                clearTimeout(timer);
                const size = seen.body?.length;
                note(`${id} via ${host.name}${key === undefined ? "" : ` key ${key}`} ${method} ${path}: `
                    + `${seen.status ?? "no answer"}${size === undefined ? "" : `, ${size} bytes`}${
                        seen.error === undefined ? "" : `, ${seen.error}`}`);
                resolve({ id, key, sentAt, endedAt: now(), ...seen });
            }
        };
        const outgoing = httpRequest(
            { host: loopback, port: host.ports.callers, path, method, headers, agent: agent ?? false },
            answer => {
                const parts = [];
                answer.on("data", part => parts.push(part));
                const seen = error => ({
                    status: answer.statusCode,
                    headers: answer.headers,
                    body: Buffer.concat(parts),
                    complete: answer.complete && error === undefined,
                    error,
                });
                answer.on("end", () => finish(seen(undefined)));
                answer.on("error", error => finish(seen(error.message)));
            },
        );
        const timer = after(() => {
            outgoing.destroy();
            finish({ error: "gave up at its deadline" });
        }, deadline + 500);
        outgoing.on("error", error => finish({ error: error.message }));
        outgoing.end(body);
    });
