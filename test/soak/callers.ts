/**
 * Callers of a soak. Each sends one request after the other on a connection that it keeps until the process ends it, or
 * opens a new one, and records what it sees.
 */
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import { connect, type Socket, type TcpNetConnectOpts } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { detectReset } from "../../src/links/resets.ts";
import type { Random, SoakService } from "./plan.ts";
import type { RequestRecord } from "./verdict.ts";

export type Chosen = { life: number; port: number; thinPort: number | undefined };
export type Caller = { reset: () => void; stop: () => Promise<void> };
export type CallersOptions = {
    services: SoakService[];
    /** Share of the services' requests a second that is sent. */
    share: number;
    /** That each caller sends, without the time of its answers. */
    requestsEachSecond: number;
    random: Random;
    now: () => number;
    /** The process that a new connection goes to, if there is one. */
    choose: () => Chosen | undefined;
    add: (record: RequestRecord) => void;
};

/** Beyond the time that it has, after which a caller stops waiting. */
const patienceMilliseconds = 5_000;
const keyCount = 65_536;

/** Opens connections on which a reset is never taken for the end of an answer. */
const createAgent = (): Agent => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    return Object.assign(agent, {
        createConnection: (options: TcpNetConnectOpts) => detectReset(connect(options)),
    });
};

/** Reads an answer whole, some of them slowly. */
const readBody = async (response: IncomingMessage, isSlow: boolean): Promise<string> => {
    let body = "";
    for await (const part of response) {
        body += String(part);
        if (isSlow) {
            await sleep(20);
        }
    }
    return body;
};

export const startCallers = (options: CallersOptions): Caller[] => {
    const { random, now, choose, requestsEachSecond } = options;
    let lastId = 0;

    const startCaller = (service: SoakService): Caller => {
        let agent = createAgent();
        let chosen: Chosen | undefined;
        let socket: Socket | undefined;
        let isStopped = false;
        let wasReset = false;
        const isSlow = random.chance(0.1);
        const isThin = random.chance(0.3);
        const isKeeping = random.chance(0.7);

        const sendOne = (to: Chosen): Promise<void> => {
            lastId += 1;
            const id = `q-${lastId}`;
            const record: RequestRecord = {
                id,
                life: to.life,
                isSafe: service.isSafe,
                isFirst: true,
                timeoutMilliseconds: service.deadlineMilliseconds / 2,
                sentAt: now(),
                endedAt: Infinity,
                outcome: "unconnected",
                status: 0,
                answerId: "",
                signature: "",
                body: "",
            };
            wasReset = false;
            return new Promise(resolve => {
                const headers = {
                    host: `${service.name}.example`,
                    "request-id": id,
                    "request-deadline": String(service.deadlineMilliseconds),
                    "shard-key": String(random.below(keyCount)),
                };
                const outgoing = httpRequest({
                    host: "127.0.0.1",
                    port: isThin && to.thinPort !== undefined ? to.thinPort : to.port,
                    path: `/a/${lastId}`,
                    method: service.isSafe ? "GET" : "POST",
                    headers,
                    agent,
                });
                const end = (outcome: RequestRecord["outcome"]): void => {
                    if (record.endedAt === Infinity) {
                        clearTimeout(timer);
                        record.endedAt = now();
                        record.outcome = wasReset ? "left" : outcome;
                        options.add(record);
                        resolve();
                    }
                };
                const timer = setTimeout(() => {
                    end("left");
                    outgoing.destroy();
                }, service.deadlineMilliseconds + patienceMilliseconds);
                let wasSent = false;
                outgoing.on("socket", used => {
                    socket = used;
                    record.isFirst = !outgoing.reusedSocket;
                });
                outgoing.on("finish", () => {
                    record.sentAt = now();
                    wasSent = true;
                });
                outgoing.on(
                    "error",
                    error => end(wasSent && !String(error).includes("ECONNREFUSED") ? "cut" : "unconnected"),
                );
                outgoing.on("response", response => {
                    record.status = response.statusCode ?? 0;
                    record.answerId = String(response.headers["request-id"] ?? "");
                    record.signature = String(response.headers["response-signature"] ?? "");
                    readBody(response, isSlow).then(body => {
                        record.body = body;
                        end(response.complete ? "answer" : "cut");
                    }, () => end("cut"));
                });
                // The body comes after the head, so that a stop may fall between the two.
                if (service.isSafe) {
                    outgoing.end();
                }
                else {
                    const body = Buffer.alloc(random.below(24_000), "b");
                    outgoing.write(body.subarray(0, body.length / 2));
                    setTimeout(() => outgoing.end(body.subarray(body.length / 2)), random.below(30));
                }
            });
        };

        const run = async (): Promise<void> => {
            await sleep(random.below(1_000));
            while (!isStopped) {
                const isOpen = Object.values(agent.freeSockets).flat().some(each => each?.destroyed === false);
                if (!isOpen || !isKeeping) {
                    agent.destroy();
                    agent = createAgent();
                    chosen = choose();
                }
                if (chosen !== undefined) {
                    await sendOne(chosen);
                }
                await sleep(random.below(2_000 / requestsEachSecond));
            }
            agent.destroy();
        };
        const ended = run();
        return {
            reset: () => {
                wasReset = true;
                socket?.resetAndDestroy();
            },
            stop: () => {
                isStopped = true;
                return ended;
            },
        };
    };

    return options.services.flatMap(service =>
        Array.from(
            { length: Math.ceil(service.perSecond * options.share / requestsEachSecond) },
            () => startCaller(service),
        )
    );
};
