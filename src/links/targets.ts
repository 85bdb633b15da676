/**
 * The link to one target: bounded connections, requests, grants, health, load and cancellation.
 */
import { Pool as ConnectionPool } from "undici";
import type { z } from "zod";
import { type Grant, type GrantAnswer, grantAnswerSchema } from "../contracts/grant.ts";
import {
    type TargetHealth,
    targetHealthSchema,
    type TargetLoad,
    targetLoadSchema,
    targetPaths,
} from "../contracts/targetprotocol.ts";
import {
    type AnswerReceiver,
    createStrictConnector,
    startExchange,
    type TargetExchange,
    type TargetRequest,
} from "./exchange.ts";

export type TargetLink = {
    /** Sends a request once. Nothing is sent again by the link itself. */
    send: (request: TargetRequest, receiver: AnswerReceiver) => TargetExchange;
    /** Offers a grant; undefined when the target did not answer in time or not in the agreed shape. */
    grant: (grant: Grant, timeoutMilliseconds: number) => Promise<GrantAnswer | undefined>;
    health: (timeoutMilliseconds: number) => Promise<TargetHealth | undefined>;
    load: (timeoutMilliseconds: number) => Promise<TargetLoad | undefined>;
    /** Asks the target to drop a request that it has not begun. */
    cancel: (requestId: string) => Promise<void>;
    close: () => Promise<void>;
};

export type TargetLinkOptions = {
    address: string;
    connections: number;
    connectMilliseconds: number;
    /** IP address from which the connections are made. */
    sourceAddress?: string;
};

/** Opens the link. Connections are made on first use, never more than `connections` besides one for control. */
export const createTargetLink = (options: TargetLinkOptions): TargetLink => {
    const origin = `http://${options.address}`;
    const shared = {
        pipelining: 1,
        connect: createStrictConnector(options.connectMilliseconds, options.sourceAddress),
    };
    const requests = new ConnectionPool(origin, { ...shared, connections: options.connections });
    const control = new ConnectionPool(origin, { ...shared, connections: 1 });

    const ask = async <Shape>(
        schema: z.ZodType<Shape>,
        method: "GET" | "POST" | "DELETE",
        path: string,
        body: unknown,
        timeoutMilliseconds: number,
    ): Promise<Shape | undefined> => {
        // A timer that is cleared costs far less than a timeout signal, which fires and makes an error for each answer.
        const limit = new AbortController();
        const timer = setTimeout(() => limit.abort(), timeoutMilliseconds);
        try {
            const response = await control.request({
                method,
                path,
                headers: { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: limit.signal,
            });
            return schema.safeParse(await response.body.json()).data;
        }
        catch {
            return undefined;
        }
        finally {
            clearTimeout(timer);
        }
    };

    return {
        send: (request, receiver) => startExchange(requests, request, receiver),
        grant: (grant, timeoutMilliseconds) =>
            ask(grantAnswerSchema, "POST", targetPaths.grants, grant, timeoutMilliseconds),
        health: timeoutMilliseconds =>
            ask(targetHealthSchema, "GET", targetPaths.health, undefined, timeoutMilliseconds),
        load: timeoutMilliseconds => ask(targetLoadSchema, "GET", targetPaths.load, undefined, timeoutMilliseconds),
        cancel: async requestId => {
            await ask(targetHealthSchema, "DELETE", `${targetPaths.requests}/${requestId}`, undefined, 1_000);
        },
        close: async () => {
            await Promise.all([requests.destroy(), control.destroy()]);
        },
    };
};
