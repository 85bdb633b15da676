/**
 * A link to callers on a free port of this machine, for tests of what it makes of their bytes.
 */
import type { Server } from "node:http";
import { type Settings, settingsSchema } from "../../src/contracts/settings.ts";
import type { ConnectionEnd } from "../../src/links/callerconnections.ts";
import { createCallerProtocol } from "../../src/links/callerprotocol.ts";
import {
    type CallerAnswer,
    type CallerLink,
    type CallerLinkOptions,
    type CallerRequest,
    createCallerLink,
} from "../../src/links/callers.ts";
import { systemClock } from "../../src/links/clock.ts";
import { limitConnections } from "../../src/links/connectionlimit.ts";
import { createDescriptors } from "../../src/links/descriptors.ts";
import { silentLog } from "../../src/links/logs.ts";
import { createMetrics } from "../../src/links/metrics.ts";

type Options = Pick<CallerLinkOptions<CallerRequest>, "serve" | "ledger"> & {
    onDone?: CallerLinkOptions<CallerRequest>["onDone"];
    /** Settings of callers that differ from the defaults. */
    callers?: Partial<Settings["callers"]>;
    /** Connections that the link takes; by default, they are neither limited nor counted. */
    maxConnections?: number;
    /** Called before the link listens to the server's events. */
    onServer?: (server: Server) => void;
};

export type OpenedLink = {
    link: CallerLink;
    /** The requests that were passed to `serve`. */
    served: CallerRequest[];
    /** The ends of connections that the link has told. */
    ends: ConnectionEnd[];
};

/** Limits the connections of callers to a number, whatever the process may open. */
const createLimit = (maxConnections: number): NonNullable<CallerLinkOptions<CallerRequest>["limitConnections"]> => {
    const descriptors = createDescriptors({
        limits: { process: undefined, stated: 1_024, files: 48 },
        clock: systemClock,
        log: silentLog,
        metrics: createMetrics(),
    });
    const limited = { ...descriptors, isFull: () => descriptors.inUse("callers") >= maxConnections };
    const options = { part: "callers", descriptors: limited, clock: systemClock } as const;
    return (server, isIdle, close) => limitConnections(server, options, isIdle, close);
};

/** Opens a link; the caller of the function closes it. */
export const openCallerLink = async (
    { serve, ledger, onDone = () => undefined, callers, maxConnections, onServer }: Options,
): Promise<OpenedLink> => {
    const settings = settingsSchema.parse({
        host: { name: "host-a", zone: "zone-1" },
        platform: { url: "http://127.0.0.1:1" },
        callers: { port: 0, ...callers },
    }).callers;
    const served: CallerRequest[] = [];
    const ends: ConnectionEnd[] = [];
    const limit = maxConnections === undefined ? undefined : createLimit(maxConnections);
    const link = await createCallerLink<CallerRequest>({
        bindAddress: "127.0.0.1",
        settings,
        limitConnections: (server, ...idle) => {
            onServer?.(server);
            limit?.(server, ...idle);
        },
        protocol: createCallerProtocol(settings),
        clock: systemClock,
        serve: request => {
            served.push(request);
            return serve(request);
        },
        onDone,
        onMalformed: () => undefined,
        onConnectionEnd: end => ends.push(end),
        ledger,
        healthy: () => true,
    });
    return { link, served, ends };
};

/** The answer of a target that announces the length of its body. */
export const answerWithLength = (body: string): CallerAnswer & { kind: "answer" } => ({
    kind: "answer",
    statusCode: 200,
    headers: { "content-length": String(body.length) },
    body: Buffer.from(body),
});
