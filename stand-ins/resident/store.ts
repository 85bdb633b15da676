/**
 * A small stand-in of the users' platform's store, in its protocol: objects by kind and name with one revision counter,
 * pages, watches, conditional writes. It can refuse, fall silent, lose the answers to writes, do them late and forget
 * its history.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export type StoreFaults = {
    /** Status of every answer in place of the real one. */
    refuse: 503 | 429 | undefined;
    /** Nothing is answered. */
    silent: boolean;
    /** Writes are done and not answered. */
    loseWrites: boolean;
    /** Writes are done after this time, if their condition still holds, and not answered. */
    lateMilliseconds: number;
};

type WireObject = {
    metadata: { name: string; rev: number; createRevision: number; finalizers: string[]; deleting: boolean };
    spec: unknown;
    status: unknown;
};
type WireEvent = { kind: string; rev: number; removed: boolean; object: WireObject };
type WireBody = { metadata?: { name?: string; rev?: number }; spec?: unknown };

export type StoreStandIn = {
    address: string;
    faults: StoreFaults;
    /** Writes without a condition, as the operator or a target does. */
    put: (kind: string, name: string, spec: unknown) => void;
    remove: (kind: string, name: string) => void;
    read: (kind: string, name: string) => unknown;
    forgetHistory: () => void;
    close: () => void;
};

const pageSize = 50;
const pollMilliseconds = 10;

const readJson = async (incoming: IncomingMessage): Promise<WireBody> => {
    const parts: Buffer[] = [];
    for await (const part of incoming) {
        parts.push(part as Buffer);
    }
    return parts.length === 0 ? {} : JSON.parse(Buffer.concat(parts).toString("utf8")) as WireBody;
};

/** Starts the store on a free port of the loopback address. */
export const startStoreStandIn = async (): Promise<StoreStandIn> => {
    const objects = new Map<string, WireObject>();
    const faults: StoreFaults = { refuse: undefined, silent: false, loseWrites: false, lateMilliseconds: 0 };
    let events: WireEvent[] = [];
    let oldest = 0;
    let revision = 1;

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

    const answer = (response: ServerResponse, statusCode: number, body: unknown): void => {
        const text = JSON.stringify(body);
        response.writeHead(statusCode, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
        });
        response.end(text);
    };

    const list = (response: ServerResponse, kind: string, after: string): void => {
        const all = [...objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
            .filter(object => object.metadata.name > after)
            .sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1);
        const items = all.slice(0, pageSize);
        answer(response, 200, { items, more: all.length > items.length, currentRev: revision });
    };

    const watch = async (response: ServerResponse, kind: string, from: number, waitMs: number): Promise<void> => {
        const endAt = performance.now() + waitMs;
        for (;;) {
            if (from < oldest) {
                answer(response, 410, {});
                return;
            }
            const found = events.filter(event => event.kind === kind && event.rev > from);
            if (found.length > 0 || performance.now() >= endAt) {
                const told = found.map(({ removed, object }) => ({ removed, object }));
                answer(response, 200, { events: told, currentRev: revision });
                return;
            }
            await sleep(pollMilliseconds);
        }
    };

    const read = async (
        response: ServerResponse,
        kind: string,
        name: string,
        query: URLSearchParams,
    ): Promise<void> => {
        const object = objects.get(`${kind}/${name}`);
        if (name !== "") {
            answer(response, object === undefined ? 404 : 200, object ?? {});
        }
        else if (query.has("watch")) {
            await watch(response, kind, Number(query.get("watch")), Number(query.get("waitMs") ?? 0));
        }
        else {
            list(response, kind, query.get("after") ?? "");
        }
    };

    /** Does a write and tells its answer. */
    const change = (method: string, kind: string, name: string, body: WireBody): [number, unknown] => {
        const current = objects.get(`${kind}/${name}`);
        if (method === "POST" && current !== undefined) {
            return [409, current];
        }
        if (method === "PUT" && current === undefined) {
            return [404, {}];
        }
        if (method === "PUT" && body.metadata?.rev !== undefined && body.metadata.rev !== current?.metadata.rev) {
            return [409, current];
        }
        return [200, write(kind, name, body.spec)];
    };

    const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
        const url = new URL(incoming.url ?? "/", "http://store");
        const [, , , kind = "", name = ""] = url.pathname.split("/").map(decodeURIComponent);
        const method = incoming.method ?? "GET";
        const body = await readJson(incoming);
        if (faults.silent) {
            return;
        }
        if (faults.refuse !== undefined) {
            answer(response, faults.refuse, {});
            return;
        }
        if (method === "GET") {
            await read(response, kind, name, url.searchParams);
            return;
        }
        const objectName = method === "POST" ? body.metadata?.name ?? "" : name;
        if (faults.lateMilliseconds > 0) {
            await sleep(faults.lateMilliseconds);
            change(method, kind, objectName, body);
            return;
        }
        const [statusCode, told] = change(method, kind, objectName, body);
        if (!faults.loseWrites) {
            answer(response, statusCode, told);
        }
    };

    const server = createServer((incoming, response) => {
        serve(incoming, response).catch(() => response.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;

    return {
        address: `127.0.0.1:${port}`,
        faults,
        put: write,
        remove,
        read: (kind, name) => objects.get(`${kind}/${name}`)?.spec,
        forgetHistory: () => {
            events = [];
            oldest = revision;
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
