/**
 * The link to the object API of the platform. Every call to the platform goes through this link and is counted; a watch
 * that waits counts as one call.
 */
import { Pool as ConnectionPool } from "undici";
import { z } from "zod";
import { messageOf, PlatformError } from "../contracts/errors.ts";
import { type ObjectKind, type StoredObject, storedObjectSchema } from "../contracts/objects.ts";
import { systemClock } from "./clock.ts";

/** A host in the platform's list of hosts, which lags behind the real state. */
export const listedHostSchema = z.strictObject({
    name: z.string(),
    zone: z.string(),
    state: z.enum(["live", "leaving"]),
});
export type ListedHost = z.infer<typeof listedHostSchema>;

const pageSchema = z.strictObject({ position: z.int().min(0), items: z.array(storedObjectSchema) });

/** A page of objects, complete up to `position` in the order of writes. */
export type ObjectPage = z.infer<typeof pageSchema>;

export type PutRequest = {
    kind: ObjectKind;
    name: string;
    value: unknown;
    /** Version that the object must have for the write to take effect; 0 when it must not exist. */
    ifVersion: number;
    /** Identifies the write, so that its writer can recognise it after a lost reply. */
    writeId: string;
    deleted?: boolean;
};

/** `written` carries the new version; `conflict` carries the object with another version, if there is one. */
export type PutResult =
    | { result: "written"; version: number }
    | { result: "conflict"; current: StoredObject | undefined };

/**
 * The calls of the platform's API. Each may throw a `PlatformError`, after which a write may still have taken effect.
 */
export type PlatformLink = {
    /** Reads one object; undefined when it does not exist. */
    get: (kind: ObjectKind, name: string, signal?: AbortSignal) => Promise<StoredObject | undefined>;
    /**
     * Reads the newest version of each object that was written after `position`; of all objects for 0. Linearizable.
     */
    list: (position: number, signal?: AbortSignal) => Promise<ObjectPage>;
    /** Writes an object if it has the expected version. */
    put: (request: PutRequest, signal?: AbortSignal) => Promise<PutResult>;
    /** Waits until an object is written after `position`, or the given time has passed. */
    watch: (position: number, waitMilliseconds: number, signal?: AbortSignal) => Promise<ObjectPage>;
    /** Reads the platform's list of hosts. */
    hosts: (signal?: AbortSignal) => Promise<ListedHost[]>;
    /** Number of calls made so far, by their names. */
    callCounts: () => Record<string, number>;
    close: () => Promise<void>;
};

export type PlatformLinkOptions = {
    url: string;
    /** Limit on each call; for a watch, in addition to the time that it waits. */
    timeoutMilliseconds: number;
    /** Bearer token that is sent with each call. */
    token?: string;
    /** Local IP address of the connections. */
    sourceAddress?: string;
};

type Reply = { statusCode: number; text: string };

const conflictSchema = z.strictObject({ current: storedObjectSchema.optional() });

/** Opens the link. Connections are opened on first use. */
export const createPlatformLink = (options: PlatformLinkOptions): PlatformLink => {
    const connections = new ConnectionPool(options.url, {
        connections: 8,
        pipelining: 1,
        localAddress: options.sourceAddress,
    });
    const counts: Record<string, number> = {};
    const headers: Record<string, string> = { "content-type": "application/json" };
    if (options.token !== undefined) {
        headers["authorization"] = `Bearer ${options.token}`;
    }

    const call = async (
        name: string,
        method: "GET" | "PUT",
        path: string,
        body: unknown,
        waitMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<Reply> => {
        counts[name] = (counts[name] ?? 0) + 1;
        const timeout = new AbortController();
        const cancelTimer = systemClock.after(options.timeoutMilliseconds + waitMilliseconds, () => {
            timeout.abort(new Error("no answer in time"));
        });
        try {
            const response = await connections.request({
                method,
                path,
                headers,
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: signal === undefined ? timeout.signal : AbortSignal.any([timeout.signal, signal]),
            });
            return { statusCode: response.statusCode, text: await response.body.text() };
        }
        catch (error) {
            throw new PlatformError(`The platform did not answer ${method} ${path}: ${messageOf(error)}.`);
        }
        finally {
            cancelTimer();
        }
    };

    const parseBody = <Shape>(schema: z.ZodType<Shape>, path: string, text: string): Shape => {
        let body: unknown;
        try {
            body = text === "" ? undefined : JSON.parse(text);
        }
        catch (error) {
            throw new PlatformError(`The platform's answer to ${path} is not valid JSON: ${messageOf(error)}.`);
        }
        const result = schema.safeParse(body);
        if (!result.success) {
            throw new PlatformError(`The platform's answer to ${path} has the wrong shape: ${result.error.message}.`);
        }
        return result.data;
    };

    const parseReply = <Shape>(schema: z.ZodType<Shape>, path: string, reply: Reply): Shape => {
        if (reply.statusCode !== 200) {
            throw new PlatformError(`The platform answered ${reply.statusCode} to ${path}.`);
        }
        return parseBody(schema, path, reply.text);
    };

    return {
        get: async (kind, name, signal) => {
            const path = `/objects/${kind}/${encodeURIComponent(name)}`;
            const reply = await call("get", "GET", path, undefined, 0, signal);
            return reply.statusCode === 404 ? undefined : parseReply(storedObjectSchema, path, reply);
        },
        list: async (position, signal) => {
            const path = `/objects?after=${position}`;
            const reply = await call("list", "GET", path, undefined, 0, signal);
            return parseReply(pageSchema, path, reply);
        },
        put: async (request, signal) => {
            const path = `/objects/${request.kind}/${encodeURIComponent(request.name)}`;
            const { value, ifVersion, writeId, deleted = false } = request;
            const reply = await call("put", "PUT", path, { value, ifVersion, writeId, deleted }, 0, signal);
            if (reply.statusCode === 409) {
                return { result: "conflict", current: parseBody(conflictSchema, path, reply.text).current };
            }
            return { result: "written", version: parseReply(storedObjectSchema, path, reply).version };
        },
        watch: async (position, waitMilliseconds, signal) => {
            const path = `/watch?after=${position}&waitMilliseconds=${waitMilliseconds}`;
            const reply = await call("watch", "GET", path, undefined, waitMilliseconds, signal);
            return parseReply(pageSchema, "/watch", reply);
        },
        hosts: async signal => {
            const reply = await call("hosts", "GET", "/hosts", undefined, 0, signal);
            return parseReply(z.array(listedHostSchema), "/hosts", reply);
        },
        callCounts: () => ({ ...counts }),
        close: () => connections.destroy(),
    };
};
