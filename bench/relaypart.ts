/**
 * The part of the bench through which hosts dial one another, so that the way between zones can be cut: while it is
 * cut, nothing passes and no connection breaks.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { answerParentMessages } from "./children.ts";

/** A host's listening address, and the IP address and zone by which it is known. */
export type ProxiedHost = { listens: { host: string; port: number }; sourceAddress: string; zone: string };

export type NetworkProxyQuestion = { kind: "start"; hosts: ProxiedHost[] } | { kind: "cut"; zones: string[] };

/** Addresses to dial, in the order of the hosts. */
export type NetworkProxyAnswer = { addresses: string[] };

type Way = { zones: [string, string]; ends: [Socket, Socket] };

let hosts: ProxiedHost[] = [];
let cutZones: string[] = [];
const ways = new Set<Way>();
const servers: Server[] = [];

const isCut = ({ zones: [left, right] }: Way): boolean =>
    left !== right && (cutZones.includes(left) || cutZones.includes(right));

const applyCut = (way: Way): void => {
    for (const end of way.ends) {
        if (isCut(way)) {
            end.pause();
        }
        else {
            end.resume();
        }
    }
};

const join = (dialled: ProxiedHost, incoming: Socket): void => {
    const outgoing = connect(dialled.listens);
    const source = hosts.find(({ sourceAddress }) => sourceAddress === incoming.remoteAddress);
    const way: Way = { zones: [source?.zone ?? dialled.zone, dialled.zone], ends: [incoming, outgoing] };
    ways.add(way);
    const close = (): void => {
        ways.delete(way);
        incoming.destroy();
        outgoing.destroy();
    };
    for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]]) {
        from.setNoDelay(true);
        from.on("data", data => to.write(data));
        from.on("error", close);
        from.on("close", close);
    }
    applyCut(way);
};

const listen = (host: ProxiedHost): Promise<string> =>
    new Promise(resolve => {
        const server = createServer(socket => join(host, socket));
        servers.push(server);
        server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`));
    });

answerParentMessages(async (question: NetworkProxyQuestion): Promise<NetworkProxyAnswer> => {
    if (question.kind === "cut") {
        cutZones = question.zones;
        ways.forEach(applyCut);
        return { addresses: [] };
    }
    hosts = question.hosts;
    return { addresses: await Promise.all(hosts.map(listen)) };
});
