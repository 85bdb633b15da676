/**
 * The link to one target: sends it requests, grants and cancellations, and asks for its health and load, over a limited
 * number of connections.
 */
import { Pool as ConnectionPool } from "undici";
import type { z } from "zod";
import { type Grant, type GrantAnswer, grantAnswerSchema } from "../contracts/grant.ts";
import {
    type TargetHealth,
    targetHealthSchema,
    type TargetLoadReport,
    targetLoadReportSchema,
    targetPaths,
} from "../contracts/targetprotocol.ts";
import { descriptorParts } from "../decisions/descriptors.ts";
import { systemClock } from "./clock.ts";
import { countConnections, type Descriptors } from "./descriptors.ts";
import { type AnswerReceiver, startExchange, type TargetExchange, type TargetRequest } from "./exchange.ts";
import { createResetDetectingConnector } from "./resets.ts";

export type TargetLink = {
    /** Sends a request once. The link itself never sends it again. */
    send: (request: TargetRequest, receiver: AnswerReceiver) => TargetExchange;
    /** Offers a grant. Undefined when the target did not answer in time, or its answer does not match the schema. */
    grant: (grant: Grant, timeoutMilliseconds: number) => Promise<GrantAnswer | undefined>;
    /** Asks for the target's health; undefined as for `grant`. */
    health: (timeoutMilliseconds: number) => Promise<TargetHealth | undefined>;
    /** Asks for the target's load; undefined as for `grant`. */
    load: (timeoutMilliseconds: number) => Promise<TargetLoadReport | undefined>;
    /** Asks the target to drop a request that it has not begun. */
    cancel: (requestId: string) => Promise<void>;
    close: () => Promise<void>;
};

export type TargetLinkOptions = {
    /** IP address and port of the target. */
    address: string;
    /** Limit on connections for requests. */
    connections: number;
    connectMilliseconds: number;
    /** Local IP address of the connections. */
    sourceAddress?: string;
    /** Counts the connections. */
    descriptors?: Descriptors;
};

/** Parses the JSON text of an answer; undefined when it does not match the schema. */
const parseAnswer = <Shape>(schema: z.ZodType<Shape>, text: string): Shape | undefined => {
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
};

/**
 * Opens the link. Connections are opened on first use: at most `connections` for requests, and one more for grants,
 * health, load and cancellations.
 */
export const createTargetLink = (options: TargetLinkOptions): TargetLink => {
    const origin = `http://${options.address}`;
    const { descriptors } = options;
    const direct = createResetDetectingConnector(options.connectMilliseconds, options.sourceAddress);
    const connect = descriptors === undefined ? direct : countConnections(direct, descriptorParts.targets, descriptors);
    const shared = { pipelining: 1, connect };
    const requests = new ConnectionPool(origin, { ...shared, connections: options.connections });
    const control = new ConnectionPool(origin, { ...shared, connections: 1 });

    const call = <Shape>(
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
                cancelTimer();
                resolve(answer);
            };
            // Clearing a timer costs far less than a timeout signal, which creates an error for each answer.
            const cancelTimer = systemClock.after(timeoutMilliseconds, () => exchange?.abort());
            const exchange: TargetExchange | undefined = startExchange(control, request, {
                mayStart: () => true,
                onHead: () => undefined,
                onBytes: bytes => {
                    chunks.push(bytes);
                    return true;
                },
                onEnd: () => finish(parseAnswer(schema, Buffer.concat(chunks).toString())),
                onFailure: () => finish(undefined),
            });
        });

    return {
        send: (request, receiver) => startExchange(requests, request, receiver),
        grant: (grant, timeoutMilliseconds) =>
            call(grantAnswerSchema, "POST", targetPaths.grants, grant, timeoutMilliseconds),
        health: timeoutMilliseconds =>
            call(targetHealthSchema, "GET", targetPaths.health, undefined, timeoutMilliseconds),
        load: timeoutMilliseconds =>
            call(targetLoadReportSchema, "GET", targetPaths.load, undefined, timeoutMilliseconds),
        cancel: async requestId => {
            await call(targetHealthSchema, "DELETE", `${targetPaths.requests}/${requestId}`, undefined, 1_000);
        },
        close: async () => {
            await Promise.all([requests.destroy(), control.destroy()]);
        },
    };
};
