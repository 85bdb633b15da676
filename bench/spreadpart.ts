/**
 * Worker process of `bench/spread.ts` that runs some of the hosts and records when each of them accepted a version.
 */
import { settingsSchema } from "../src/contracts/settings.ts";
import { type Log, type LogFields, silentLog } from "../src/links/logs.ts";
import { createHost, type Host } from "../src/machines/host.ts";
import { monotonicMilliseconds } from "../stand-ins/target.ts";
import { answerParentMessages } from "./children.ts";

export type SpreadQuestion =
    | { kind: "start"; url: string; hosts: Array<{ name: string; zone: string }> }
    | { kind: "standing" }
    | { kind: "accepted" }
    | { kind: "stop" };

/** A host's acceptance of a version of a plan; `at` is in milliseconds of the machine's monotonic clock. */
export type Acceptance = { host: string; plan: string; version: number; at: number };

export type SpreadAnswer = {
    acceptances: Acceptance[];
    /** Number of hosts that are live and admit requests. */
    ready: number;
    relays: number;
    links: number;
    peerBytes: number;
    /** Part of `peerBytes` in messages that carry objects and extend the deadlines of hosts. */
    objectBytes: number;
};

const acceptances: Acceptance[] = [];
let hosts: Host[] = [];

const recordAcceptances = (host: string): Log => ({
    ...silentLog,
    debug: (event: string, fields: LogFields = {}) => {
        if (event === "object-accepted" && fields["kind"] === "plans") {
            const version = Number(fields["version"]);
            acceptances.push({ host, plan: String(fields["name"]), version, at: monotonicMilliseconds() });
        }
    },
    child: () => recordAcceptances(host),
});

const startHost = (url: string, name: string, zone: string): Promise<Host> =>
    createHost({
        settings: settingsSchema.parse({
            host: { name, zone },
            platform: { url },
            callers: { port: 0 },
            peers: { port: 0 },
            operators: { port: 0 },
        }),
        peerKeys: [Buffer.from("bench-key")],
        log: recordAcceptances(name),
    });

const sumObjectBytes = (sentByKind: Record<string, number>): number =>
    Object.entries(sentByKind).reduce((sum, [kind, bytes]) => sum + (kind.startsWith("objects") ? bytes : 0), 0);

const createAnswer = (withAcceptances: boolean): SpreadAnswer => {
    const reports = hosts.map(host => host.report());
    return {
        acceptances: withAcceptances ? acceptances.splice(0) : [],
        ready: reports.filter(report => report.fleet.bar === undefined && report.state === "live").length,
        relays: reports.filter(report => report.fleet.relay).length,
        links: reports.reduce((sum, report) => sum + report.peers.length, 0),
        peerBytes: reports.reduce((sum, report) => sum + report.peerTraffic.sentBytes, 0),
        objectBytes: reports.reduce((sum, report) => sum + sumObjectBytes(report.peerTraffic.sentByKind), 0),
    };
};

answerParentMessages<SpreadQuestion, SpreadAnswer>(async question => {
    if (question.kind === "start") {
        hosts = await Promise.all(question.hosts.map(({ name, zone }) => startHost(question.url, name, zone)));
    }
    if (question.kind === "stop") {
        await Promise.all(hosts.map(host => host.kill()));
        hosts = [];
    }
    return createAnswer(question.kind === "accepted");
});
