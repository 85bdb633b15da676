/**
 * A small stand-in of a backend on the users' platform, in its protocol: slots and a queue, identity, told load, keys
 * under grants. It can fall silent, shed, lose answers and carry grants out late.
 */
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export type BackendFaults = {
    /** Nothing is answered, and nothing is run. */
    silent: boolean;
    /** Every request is shed. */
    shed: boolean;
    /** Requests run, and their connection is reset in place of an answer. */
    loseAnswers: boolean;
    /** Grants get no answer and are carried out after this time. */
    lateGrantMilliseconds: number;
};

export type BackendOptions = { id: string; slots: number; queue: number; workMilliseconds: number; isSharded: boolean };

export type BackendStandIn = {
    address: string;
    faults: BackendFaults;
    /** Requests that ran, by their id. */
    runCounts: Map<string, number>;
    ownsKey: (key: number) => boolean;
    close: () => void;
};

type GrantBody = { from: number; target: number; fence: number; hold_time?: string };
type Held = GrantBody & { until: number };

const readBody = async (incoming: IncomingMessage): Promise<string> => {
    const parts: Buffer[] = [];
    for await (const part of incoming) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts).toString("utf8");
};

const header = (incoming: IncomingMessage, name: string): string | undefined => {
    const value = incoming.headers[name];
    return typeof value === "string" ? value : undefined;
};

/** Starts a backend on a free port of the loopback address. */
export const startBackendStandIn = async (options: BackendOptions): Promise<BackendStandIn> => {
    const { id, slots, queue, workMilliseconds, isSharded: ownsKeys } = options;
    const faults: BackendFaults = { silent: false, shed: false, loseAnswers: false, lateGrantMilliseconds: 0 };
    const runs = new Map<string, number>();
    const waiting: Array<() => void> = [];
    let grants: Held[] = [];
    let seen: GrantBody[] = [];
    let running = 0;

    const holds = (key: number): boolean =>
        grants.some(grant => grant.from <= key && key <= grant.target && grant.until > performance.now());

    const overlaps = (left: GrantBody, right: GrantBody): boolean =>
        left.from <= right.target && left.target >= right.from;

    /** What is left of the held ranges beside the keys. */
    const without = (body: GrantBody): Held[] =>
        grants.flatMap(held =>
            !overlaps(held, body) ? [held] : [
                { ...held, target: Math.min(held.target, body.from - 1) },
                { ...held, from: Math.max(held.from, body.target + 1) },
            ].filter(piece => piece.from <= piece.target)
        );

    const grant = (body: GrantBody, arrivedAt: number): number => {
        if (seen.some(other => overlaps(other, body) && other.fence > body.fence)) {
            return 409;
        }
        seen = [...seen.filter(other => other.fence !== body.fence || !overlaps(other, body)), body];
        grants = [...without(body), { ...body, until: arrivedAt + Number.parseFloat(body.hold_time ?? "0") }];
        return 200;
    };

    const answer = (response: ServerResponse, statusCode: number, headers: Record<string, string>, body = ""): void => {
        const load = `${running},${waiting.length},${slots}`;
        response.writeHead(statusCode, {
            "server-load": load,
            "instance-id": id,
            "content-length": Buffer.byteLength(body),
            ...headers,
        });
        response.end(body);
    };

    const takeSlot = async (): Promise<void> => {
        if (running >= slots) {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        running += 1;
    };

    const run = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
        const requestId = header(incoming, "request-id");
        const target = header(incoming, "target-instance");
        if (requestId === undefined) {
            answer(response, 400, { "not-executed": "1" });
            return;
        }
        if (target !== undefined && target !== id) {
            answer(response, 421, {});
            return;
        }
        if (ownsKeys && !holds(Number(header(incoming, "shard-key")))) {
            answer(response, 421, { "not-executed": "1" });
            return;
        }
        if (faults.shed || waiting.length >= queue) {
            answer(response, 503, { "not-executed": "1" });
            return;
        }
        await takeSlot();
        runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
        await sleep(workMilliseconds);
        running -= 1;
        waiting.shift()?.();
        if (faults.loseAnswers) {
            incoming.socket.resetAndDestroy();
            return;
        }
        answer(response, 200, { "request-id": requestId, "response-signature": `${id}.signature` }, `served by ${id}`);
    };

    const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
        const arrivedAt = performance.now();
        const body = await readBody(incoming);
        if (faults.silent) {
            return;
        }
        if (incoming.url === "/v1/grant" && faults.lateGrantMilliseconds > 0) {
            await sleep(faults.lateGrantMilliseconds);
            grant(JSON.parse(body) as GrantBody, arrivedAt);
            return;
        }
        if (incoming.url === "/v1/grant") {
            answer(response, grant(JSON.parse(body) as GrantBody, arrivedAt), {});
            return;
        }
        if (incoming.url === "/v1/release") {
            const released = JSON.parse(body) as GrantBody;
            grants = without(released);
            seen.push(released);
            answer(response, 200, { handover: `${id}-state` });
            return;
        }
        await run(incoming, response);
    };

    const server = createServer((incoming, response) => {
        serve(incoming, response).catch(() => response.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;

    return {
        address: `127.0.0.1:${port}`,
        faults,
        runCounts: runs,
        ownsKey: holds,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
