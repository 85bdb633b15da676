/**
 * A small stand-in of the platform. It serves versioned objects over HTTP with conditional updates, a watch by long
 * polling, and a list of hosts that lags. It can be down, be slow, be cut off from some callers, or lose the reply to a
 * write that took effect, and it counts every call.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { z } from "zod";
import { objectSchemas, type StoredObject } from "../src/contracts/objects.ts";
import { isControlPath, readBody, serveControl } from "./control.ts";
import { createGate, peerAddressOf } from "./gate.ts";
import { monotonicMilliseconds } from "./target.ts";

export const platformFaultsSchema = z.strictObject({
    /** Whether the connection of every call is closed, including those of waiting watches. */
    down: z.boolean(),
    /** Delay before each call is served. */
    slowMilliseconds: z.number().min(0),
    /** Number of following writes that take effect and whose reply is lost. Counts down. */
    loseReplies: z.int().min(0),
    /** Source addresses that are cut off: calls and answers are held back until the address is removed. */
    cutFrom: z.array(z.string()),
    /** States that the list of hosts shows, after its lag, instead of those that the hosts reported. */
    listedHosts: z.record(z.string(), z.enum(["live", "leaving", "gone"])),
});

export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

type ListedState = PlatformFaults["listedHosts"][string];

/** What the platform has recorded of its callers. */
export type PlatformRecords = {
    /** Calls received, by name. */
    calls: Record<string, number>;
    /** Calls received, by second of the machine's monotonic clock and by name. */
    callsBySecond: Record<string, Record<string, number>>;
    /** Lengths of the bodies of writes received and of all answers, in characters. */
    bytes: { received: number; sent: number };
    /** Writes that took effect, oldest first. `at` is milliseconds of the machine's monotonic clock. */
    writes: Array<Pick<StoredObject, "kind" | "name" | "version" | "deleted"> & { at: number }>;
    objects: StoredObject[];
};

export type PlatformStandInOptions = {
    /** Port on loopback; a free one by default. */
    port?: number;
    /** Time after which a state of `listedHosts` shows in the list of hosts; 500 by default. */
    hostListLagMilliseconds?: number;
};

export type PlatformStandIn = {
    url: string;
    faults: PlatformFaults;
    /** Changes the named faults and leaves the others. */
    changeFaults: (faults: Partial<PlatformFaults>) => void;
    records: () => PlatformRecords;
    /** Calls received, by name. */
    calls: Record<string, number>;
    /** Every write that took effect, oldest first. */
    writes: StoredObject[];
    /** Writes an object without a condition and without a call, for tests. */
    write: (kind: StoredObject["kind"], name: string, value: unknown, deleted?: boolean) => StoredObject;
    /** Makes the list of hosts show this state of the host, or omit the host when the state is undefined. */
    setListedState: (name: string, state: "live" | "leaving" | undefined) => void;
    close: () => Promise<void>;
};

const putSchema = z.strictObject({
    value: z.unknown(),
    ifVersion: z.int().min(0),
    writeId: z.string(),
    deleted: z.boolean(),
});

/** Starts the stand-in on loopback and resolves once it listens. */
export const createPlatformStandIn = async (options: PlatformStandInOptions = {}): Promise<PlatformStandIn> => {
    const lagMilliseconds = options.hostListLagMilliseconds ?? 500;
    const objects = new Map<string, StoredObject>();
    const writes: StoredObject[] = [];
    const calls: Record<string, number> = {};
    const callsBySecond: PlatformRecords["callsBySecond"] = {};
    const writeTimes: number[] = [];
    const bytes = { received: 0, sent: 0 };
    const faults: PlatformFaults = { down: false, slowMilliseconds: 0, loseReplies: 0, cutFrom: [], listedHosts: {} };
    const listedStates = new Map<string, { state: ListedState; since: number }>();
    const waiters = new Set<() => void>();
    let position = 0;

    const gate = createGate(peer => faults.cutFrom.includes(peer));

    /** Sends a JSON answer, or holds it back while the caller is cut off. */
    const sendJson = (response: ServerResponse, statusCode: number, body: unknown): void => {
        const text = JSON.stringify(body);
        bytes.sent += text.length;
        gate.runWhenOpen(() => {
            response.writeHead(statusCode, { "content-type": "application/json" });
            response.end(text);
        }, peerAddressOf(response.req));
    };

    /** Ends the wait of all watches. */
    const wakeWaiters = (): void => {
        for (const wake of [...waiters]) {
            wake();
        }
    };

    const countCall = (name: string): void => {
        calls[name] = (calls[name] ?? 0) + 1;
        const second = String(Math.floor(monotonicMilliseconds() / 1_000));
        const inSecond = callsBySecond[second] ?? {};
        inSecond[name] = (inSecond[name] ?? 0) + 1;
        callsBySecond[second] = inSecond;
    };

    /** Stores an object under the next version and wakes the watches. */
    const store = (item: Omit<StoredObject, "version">): StoredObject => {
        position += 1;
        const stored = { ...item, version: position };
        objects.set(`${item.kind}/${item.name}`, stored);
        writes.push(stored);
        writeTimes.push(monotonicMilliseconds());
        wakeWaiters();
        return stored;
    };

    /** The objects written after a position, and the newest position. */
    const pageAfter = (after: number): unknown => ({
        position,
        items: [...objects.values()].filter(item => item.version > after),
    });

    /** Resolves when there is a write after the position, the time is up or the connection closes. */
    const waitForWrite = (after: number, waitMilliseconds: number, response: ServerResponse): Promise<void> =>
        new Promise(resolve => {
            if (position > after) {
                resolve();
                return;
            }
            const finish = (): void => {
                clearTimeout(timer);
                waiters.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, waitMilliseconds);
            waiters.add(finish);
            response.once("close", finish);
        });

    /** Serves a conditional write. Answers 409 when the object's version is not the expected one. */
    const put = async (
        kind: StoredObject["kind"],
        name: string,
        request: IncomingMessage,
        response: ServerResponse,
    ) => {
        const text = await readBody(request);
        bytes.received += text.length;
        const body = putSchema.safeParse(JSON.parse(text));
        if (!body.success) {
            sendJson(response, 400, { message: body.error.message });
            return;
        }
        const current = objects.get(`${kind}/${name}`);
        if ((current?.version ?? 0) !== body.data.ifVersion) {
            sendJson(response, 409, { current });
            return;
        }
        const { value, writeId, deleted } = body.data;
        const stored = store({ kind, name, value, writeId, deleted });
        if (faults.loseReplies > 0) {
            faults.loseReplies -= 1;
            response.destroy();
            return;
        }
        sendJson(response, 200, stored);
    };

    const hostList = (): unknown => {
        const list = [];
        for (const item of objects.values()) {
            if (item.kind !== "status" || item.deleted) {
                continue;
            }
            const value = item.value as { zone: string; state: "live" | "leaving" };
            const override = listedStates.get(item.name);
            const isVisible = override !== undefined && performance.now() - override.since >= lagMilliseconds;
            const state = isVisible ? override.state : value.state;
            if (state !== "gone") {
                list.push({ name: item.name, zone: value.zone, state });
            }
        }
        return list;
    };

    const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        await new Promise<void>(resolve => gate.runWhenOpen(resolve, peerAddressOf(request)));
        if (faults.down) {
            request.socket.destroy();
            return;
        }
        if (faults.slowMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, faults.slowMilliseconds));
        }
        const url = new URL(request.url ?? "/", "http://platform");
        const [, root, kindText, nameText] = url.pathname.split("/");
        if (root === "hosts") {
            countCall("hosts");
            sendJson(response, 200, hostList());
            return;
        }
        if (root === "watch") {
            countCall("watch");
            const after = Number(url.searchParams.get("after"));
            await waitForWrite(after, Number(url.searchParams.get("waitMilliseconds")), response);
            if (faults.down) {
                request.socket.destroy();
                return;
            }
            sendJson(response, 200, pageAfter(after));
            return;
        }
        if (root !== "objects") {
            sendJson(response, 404, { message: `The path ${url.pathname} does not exist.` });
            return;
        }
        if (kindText === undefined) {
            countCall("list");
            sendJson(response, 200, pageAfter(Number(url.searchParams.get("after"))));
            return;
        }
        if (!(kindText in objectSchemas) || nameText === undefined) {
            sendJson(response, 404, { message: `The kind ${kindText} does not exist.` });
            return;
        }
        const kind = kindText as StoredObject["kind"];
        const name = decodeURIComponent(nameText);
        if (request.method === "PUT") {
            countCall("put");
            await put(kind, name, request, response);
            return;
        }
        countCall("get");
        const found = objects.get(`${kind}/${name}`);
        sendJson(response, found === undefined ? 404 : 200, found ?? { message: `${kind}/${name} does not exist.` });
    };

    const setListedState = (name: string, state: ListedState): void => {
        listedStates.set(name, { state, since: performance.now() });
    };

    const changeFaults = (changes: Partial<PlatformFaults>): void => {
        Object.assign(faults, changes);
        for (const [name, state] of Object.entries(changes.listedHosts ?? {})) {
            setListedState(name, state);
        }
        gate.flush();
        if (faults.down) {
            wakeWaiters();
        }
    };

    const records = (): PlatformRecords => ({
        calls,
        callsBySecond,
        bytes,
        writes: writes.map(({ kind, name, version, deleted }, index) => ({
            kind,
            name,
            version,
            deleted,
            at: writeTimes[index],
        })),
        objects: [...objects.values()],
    });

    const server = createServer((request, response) => {
        const isControl = isControlPath(request.url ?? "/");
        const done = isControl
            ? serveControl(
                { faultsSchema: platformFaultsSchema.partial(), changeFaults, records },
                request,
                response,
            )
            : serve(request, response);
        done.catch(() => response.destroy());
    });
    await new Promise<void>(resolve => server.listen(options.port ?? 0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    let writeCount = 0;

    return {
        url: `http://127.0.0.1:${port}`,
        faults,
        changeFaults,
        records,
        calls,
        writes,
        write: (kind, name, value, deleted = false) => {
            writeCount += 1;
            return store({ kind, name, value, writeId: `by-hand-${writeCount}`, deleted });
        },
        setListedState: (name, state) => setListedState(name, state ?? "gone"),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
};
