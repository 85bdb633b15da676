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
    createResetDetectingConnector,
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

/** Undefined when the text is not what was agreed. */
const readAnswer = <Shape>(schema: z.ZodType<Shape>, text: string): Shape | undefined => {
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
};

/** Opens the link. Connections are made on first use, never more than `connections` besides one for control. */
export const createTargetLink = (options: TargetLinkOptions): TargetLink => {
    const origin = `http://${options.address}`;
    const shared = {
        pipelining: 1,
        connect: createResetDetectingConnector(options.connectMilliseconds, options.sourceAddress),
    };
    const requests = new ConnectionPool(origin, { ...shared, connections: options.connections });
    const control = new ConnectionPool(origin, { ...shared, connections: 1 });

    const ask = <Shape>(
        schema: z.ZodType<Shape>,
        method: "GET" | "POST" | "DELETE",
        path: string,
        body: unknown,
        timeoutMilliseconds: number,
    ): Promise<Shape | undefined> =>
        new Promise(resolve => {
            const request = {
                method,
                path,
                headers: ["content-type", "application/json"],
                body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
            };
            const chunks: Buffer[] = [];
            const finish = (answer: Shape | undefined): void => {
                clearTimeout(timer);
                resolve(answer);
            };
            // A timer that is cleared costs far less than a timeout signal, which makes an error for each answer.
            const timer = setTimeout(() => exchange?.abort(), timeoutMilliseconds);
            const exchange: TargetExchange | undefined = startExchange(control, request, {
                mayStart: () => true,
                onHead: () => undefined,
                onBytes: bytes => {
                    chunks.push(bytes);
                    return true;
                },
                onEnd: () => finish(readAnswer(schema, Buffer.concat(chunks).toString())),
                onFailure: () => finish(undefined),
            });
        });

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
