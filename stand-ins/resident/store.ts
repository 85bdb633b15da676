/**
 * A small stand-in of the store of the users' platform, which speaks the platform's protocol. It holds objects by kind
 * and name under one revision counter and serves lists in pages, watches and conditional writes. It can refuse calls,
 * become silent, lose the answers to writes, apply writes late, drop its history, and come back from an older copy.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export type StoreFaults = {
    /** Status with which every call is refused; undefined to serve calls. */
    refuse: 503 | 429 | undefined;
    /** Whether calls get no answer and have no effect. */
    silent: boolean;
    /** Time by which each answer is late. */
    slowMilliseconds: number;
    /** Whether writes are applied and get no answer. */
    loseWrites: boolean;
    /** When above 0: writes are applied after this time, if their condition still holds, and get no answer. */
    lateMilliseconds: number;
    /** Returns the era that the next answer names, from that of the store; undefined to name none. */
    namedEra: (era: number) => string | undefined;
};

/** An object as the protocol carries it. */
type WireObject = {
    metadata: { name: string; rev: number; createRevision: number; finalizers: string[]; deleting: boolean };
    spec: unknown;
    status: unknown;
};
type WireEvent = { kind: string; rev: number; removed: boolean; object: WireObject };
type WireBody = { metadata?: { name?: string; rev?: number }; spec?: unknown };

/** What a copy of the store keeps. */
export type StoreCopy = {
    readonly objects: ReadonlyMap<string, WireObject>;
    readonly events: readonly WireEvent[];
    readonly oldestRevision: number;
    readonly revision: number;
};

export type StoreStandIn = {
    address: string;
    faults: StoreFaults;
    /** Writes an object without a condition, as an operator or a target does. */
    put: (kind: string, name: string, spec: unknown) => void;
    remove: (kind: string, name: string) => void;
    /** Returns the spec of an object; undefined when it doesn't exist. */
    read: (kind: string, name: string) => unknown;
    /** Kinds that were listed or watched. */
    readKinds: ReadonlySet<string>;
    /** Drops all past events, so that a watch from an earlier revision is answered with 410. */
    forgetHistory: () => void;
    /** Resets all connections; new ones are accepted. */
    resetConnections: () => void;
    era: () => number;
    copy: () => StoreCopy;
    /** Resets all connections and accepts none until the store returns. */
    goAway: () => Promise<void>;
    /**
     * Resets all connections and begins the next era with what the copy holds; without one, the store loses nothing and
     * stays in its era.
     */
    returnFrom: (copy?: StoreCopy) => Promise<void>;
    close: () => void;
};

const pageSize = 50;
/** A page ends with the object that reaches this size. */
const pageBytes = 1_048_576;
/** Interval at which a watch looks for events. */
const pollMilliseconds = 10;

const readJson = async (request: IncomingMessage): Promise<WireBody> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8")) as WireBody;
};

/** Starts the store on a free port of the loopback address and resolves once it listens. */
export const startStoreStandIn = async (
    /** Replaces parts of the text of answers, such as addresses, so that a relay can stand before them. */
    publicAddresses: (text: string) => string = text => text,
): Promise<StoreStandIn> => {
    const objects = new Map<string, WireObject>();
    const readKinds = new Set<string>();
    const faults: StoreFaults = {
        refuse: undefined,
        silent: false,
        slowMilliseconds: 0,
        loseWrites: false,
        lateMilliseconds: 0,
        namedEra: String,
    };
    let events: WireEvent[] = [];
    /** Lowest revision from which a watch can be served. */
    let oldestRevision = 0;
    let revision = 1;
    let era = 1;

    /** Writes an object under the next revision. A spec that doesn't change the object has no effect. */
    const write = (kind: string, name: string, spec: unknown): WireObject => {
        const before = objects.get(`${kind}/${name}`);
        if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) {
            return before;
        }
        revision += 1;
        const createRevision = before?.metadata.createRevision ?? revision;
        const metadata = { name, rev: revision, createRevision, finalizers: [], deleting: false };
        const object: WireObject = { metadata, spec, status: {} };
        objects.set(`${kind}/${name}`, object);
        events.push({ kind, rev: revision, removed: false, object });
        return object;
    };

    const remove = (kind: string, name: string): void => {
        const object = objects.get(`${kind}/${name}`);
        if (object !== undefined) {
            revision += 1;
            objects.delete(`${kind}/${name}`);
            events.push({ kind, rev: revision, removed: true, object });
        }
    };

    const sendJson = (response: ServerResponse, statusCode: number, body: unknown): void => {
        const text = publicAddresses(JSON.stringify(body));
        const named = faults.namedEra(era);
        response.writeHead(statusCode, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
            ...(named === undefined ? {} : { "store-era": named }),
        });
        response.end(text);
    };

    /** Sends a page of the objects of the kind whose names follow `after`. */
    const list = (response: ServerResponse, kind: string, after: string): void => {
        const all = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
            .filter(object => object.metadata.name > after)
            .sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1);
        let bytes = 0;
        const items = all.slice(0, pageSize).filter(object => {
            const isWithin = bytes < pageBytes;
            bytes += isWithin ? publicAddresses(JSON.stringify(object)).length : 0;
            return isWithin;
        });
        sendJson(response, 200, { items, more: all.length > items.length, currentRev: revision });
    };

    /** Answers with the events after a revision, or with none when the time is up. */
    const watch = async (response: ServerResponse, kind: string, from: number, waitMs: number): Promise<void> => {
        const endAt = performance.now() + waitMs;
        for (;;) {
            if (from < oldestRevision || from > revision) {
                sendJson(response, 410, {});
                return;
            }
            const found = events.filter(event => event.kind === kind && event.rev > from);
            if (found.length > 0 || performance.now() >= endAt) {
                const sent = found.map(({ removed, object }) => ({ removed, object }));
                sendJson(response, 200, { events: sent, currentRev: revision });
                return;
            }
            await sleep(pollMilliseconds);
        }
    };

    /** Serves a read of one object, a watch or a page of a list. */
    const read = async (
        response: ServerResponse,
        kind: string,
        name: string,
        query: URLSearchParams,
    ): Promise<void> => {
        const object = objects.get(`${kind}/${name}`);
        if (name !== "") {
            sendJson(response, object === undefined ? 404 : 200, object ?? {});
        }
        else if (query.has("watch")) {
            readKinds.add(kind);
            await watch(response, kind, Number(query.get("watch")), Number(query.get("waitMs") ?? 0));
        }
        else {
            readKinds.add(kind);
            list(response, kind, query.get("after") ?? "");
        }
    };

    /** Applies a conditional write and returns the status and body of its answer. */
    const applyWrite = (method: string, kind: string, name: string, body: WireBody): [number, unknown] => {
        const current = objects.get(`${kind}/${name}`);
        if (method === "POST" && current !== undefined) {
            return [409, current];
        }
        if (method !== "POST" && current === undefined) {
            return [404, {}];
        }
        if (method !== "POST" && body.metadata?.rev !== undefined && body.metadata.rev !== current?.metadata.rev) {
            return [409, current];
        }
        if (method === "DELETE") {
            remove(kind, name);
            return [200, {}];
        }
        return [200, write(kind, name, body.spec)];
    };

    const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const url = new URL(request.url ?? "/", "http://store");
        const [, , , kind = "", name = ""] = url.pathname.split("/").map(decodeURIComponent);
        const method = request.method ?? "GET";
        const sent = await readJson(request);
        const body = url.searchParams.has("rev") ? { metadata: { rev: Number(url.searchParams.get("rev")) } } : sent;
        if (faults.silent) {
            return;
        }
        if (faults.slowMilliseconds > 0) {
            await sleep(faults.slowMilliseconds);
        }
        if (faults.refuse !== undefined) {
            sendJson(response, faults.refuse, {});
            return;
        }
        if (method === "GET") {
            await read(response, kind, name, url.searchParams);
            return;
        }
        const objectName = method === "POST" ? body.metadata?.name ?? "" : name;
        if (faults.lateMilliseconds > 0) {
            await sleep(faults.lateMilliseconds);
            applyWrite(method, kind, objectName, body);
            return;
        }
        const [statusCode, result] = applyWrite(method, kind, objectName, body);
        if (!faults.loseWrites) {
            sendJson(response, statusCode, result);
        }
    };

    const server = createServer((request, response) => {
        serve(request, response).catch(() => response.destroy());
    });
    const sockets = new Set<Socket>();
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    const listen = (onPort: number): Promise<void> =>
        new Promise(resolve => server.listen(onPort, "127.0.0.1", resolve));
    await listen(0);
    const { port } = server.address() as AddressInfo;
    const resetConnections = (): void => sockets.forEach(socket => socket.resetAndDestroy());

    return {
        address: `127.0.0.1:${port}`,
        faults,
        put: write,
        remove,
        read: (kind, name) => objects.get(`${kind}/${name}`)?.spec,
        readKinds,
        forgetHistory: () => {
            events = [];
            oldestRevision = revision;
        },
        resetConnections,
        era: () => era,
        copy: () => ({ objects: new Map(objects), events: [...events], oldestRevision, revision }),
        goAway: async () => {
            const closed = new Promise(resolve => server.close(resolve));
            resetConnections();
            await closed;
        },
        returnFrom: async copy => {
            resetConnections();
            if (copy !== undefined) {
                era += 1;
                objects.clear();
                copy.objects.forEach((object, key) => objects.set(key, object));
                events = [...copy.events];
                ({ oldestRevision, revision } = copy);
            }
            if (!server.listening) {
                await listen(port);
            }
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
