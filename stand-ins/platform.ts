/**
 * A small stand-in of the platform: HTTP objects with versions, conditional updates, a watch by long poll and a lagging
 * list of hosts. It can be down, slow, or lose the reply to a write that took effect, and it counts every call.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { z } from "zod";
import { objectSchemas, type StoredObject } from "../src/contracts/objects.ts";
import { isControlPath, readBody, serveControl } from "./control.ts";
import { createGate, peerAddressOf } from "./gate.ts";
import { monotonicMilliseconds } from "./target.ts";

export const platformFaultsSchema = z.strictObject({
    /** Closes the connection of every call, those of waiting watches included. */
    down: z.boolean(),
    /** Delay before each answer. */
    slowMilliseconds: z.number().min(0),
    /** Number of coming writes whose reply is lost after they took effect. */
    loseReplies: z.int().min(0),
    /** Source addresses from which nothing arrives and to which nothing is sent until they are left out again. */
    cutFrom: z.array(z.string()),
    /** What the list of hosts shows, after its lag, in place of what a host reported of itself. */
    listedHosts: z.record(z.string(), z.enum(["live", "leaving", "gone"])),
});

export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

type ListedState = PlatformFaults["listedHosts"][string];

/** What the platform's own records tell. */
export type PlatformRecords = {
    /** Calls received, by name. */
    calls: Record<string, number>;
    /** Calls received, by name and second of the machine's monotonic clock. */
    callsBySecond: Record<string, Record<string, number>>;
    bytes: { received: number; sent: number };
    writes: Array<Pick<StoredObject, "kind" | "name" | "version" | "deleted"> & { at: number }>;
    objects: StoredObject[];
};

export type PlatformStandInOptions = { port?: number; hostListLagMilliseconds?: number };

export type PlatformStandIn = {
    url: string;
    faults: PlatformFaults;
    /** Changes the named faults and leaves the others. */
    changeFaults: (faults: Partial<PlatformFaults>) => void;
    records: () => PlatformRecords;
    /** Calls answered, by name. */
    calls: Record<string, number>;
    /** Every write that took effect, oldest first. */
    writes: StoredObject[];
    /** Writes without a condition, as a test's own hand. */
    write: (kind: StoredObject["kind"], name: string, value: unknown, deleted?: boolean) => StoredObject;
    /** Makes the list of hosts show a state, or drop the host when the state is left out. */
    setListedState: (name: string, state: "live" | "leaving" | undefined) => void;
    close: () => Promise<void>;
};

const putSchema = z.strictObject({
    value: z.unknown(),
    ifVersion: z.int().min(0),
    writeId: z.string(),
    deleted: z.boolean(),
});

/** Starts the stand-in on loopback. */
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

    const way = createGate(peer => faults.cutFrom.includes(peer));

    const answer = (response: ServerResponse, statusCode: number, body: unknown): void => {
        const text = JSON.stringify(body);
        bytes.sent += text.length;
        way.runWhenOpen(() => {
            response.writeHead(statusCode, { "content-type": "application/json" });
            response.end(text);
        }, peerAddressOf(response.req));
    };

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

    const store = (item: Omit<StoredObject, "version">): StoredObject => {
        position += 1;
        const stored = { ...item, version: position };
        objects.set(`${item.kind}/${item.name}`, stored);
        writes.push(stored);
        writeTimes.push(monotonicMilliseconds());
        wakeWaiters();
        return stored;
    };

    const pageAfter = (after: number): unknown => ({
        position,
        items: [...objects.values()].filter(item => item.version > after),
    });

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
            answer(response, 400, { message: body.error.message });
            return;
        }
        const current = objects.get(`${kind}/${name}`);
        if ((current?.version ?? 0) !== body.data.ifVersion) {
            answer(response, 409, { current });
            return;
        }
        const { value, writeId, deleted } = body.data;
        const stored = store({ kind, name, value, writeId, deleted });
        if (faults.loseReplies > 0) {
            faults.loseReplies -= 1;
            response.destroy();
            return;
        }
        answer(response, 200, stored);
    };

    const hostList = (): unknown => {
        const list = [];
        for (const item of objects.values()) {
            if (item.kind !== "status" || item.deleted) {
                continue;
            }
            const value = item.value as { zone: string; state: "live" | "leaving" };
            const forced = listedStates.get(item.name);
            const settled = forced !== undefined && performance.now() - forced.since >= lagMilliseconds;
            const state = settled ? forced.state : value.state;
            if (state !== "gone") {
                list.push({ name: item.name, zone: value.zone, state });
            }
        }
        return list;
    };

    const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        await new Promise<void>(resolve => way.runWhenOpen(resolve, peerAddressOf(request)));
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
            answer(response, 200, hostList());
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
            answer(response, 200, pageAfter(after));
            return;
        }
        if (root !== "objects") {
            answer(response, 404, { message: `The path ${url.pathname} does not exist.` });
            return;
        }
        if (kindText === undefined) {
            countCall("list");
            answer(response, 200, pageAfter(Number(url.searchParams.get("after"))));
            return;
        }
        if (!(kindText in objectSchemas) || nameText === undefined) {
            answer(response, 404, { message: `The kind ${kindText} does not exist.` });
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
        answer(response, found === undefined ? 404 : 200, found ?? { message: `${kind}/${name} does not exist.` });
    };

    const listHost = (name: string, state: ListedState): void => {
        listedStates.set(name, { state, since: performance.now() });
    };

    const change = (changes: Partial<PlatformFaults>): void => {
        Object.assign(faults, changes);
        for (const [name, state] of Object.entries(changes.listedHosts ?? {})) {
            listHost(name, state);
        }
        way.flush();
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
        const control = isControlPath(request.url ?? "/");
        const done = control
            ? serveControl(
                { faultsSchema: platformFaultsSchema.partial(), changeFaults: change, records },
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
        changeFaults: change,
        records,
        calls,
        writes,
        write: (kind, name, value, deleted = false) => {
            writeCount += 1;
            return store({ kind, name, value, writeId: `by-hand-${writeCount}`, deleted });
        },
        setListedState: (name, state) => listHost(name, state ?? "gone"),
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
};
