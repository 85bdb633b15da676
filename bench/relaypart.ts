/**
 * Worker process of the bench that proxies the connections between hosts, so that a case can cut the network between
 * zones. While a connection is cut, no data passes, but the connection stays open.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { answerParentMessages } from "./children.ts";

/** The address at which a host listens, the source IP address of its connections, and its zone. */
export type ProxiedHost = { listens: { host: string; port: number }; sourceAddress: string; zone: string };

export type NetworkProxyQuestion = { kind: "start"; hosts: ProxiedHost[] } | { kind: "cut"; zones: string[] };

/** Addresses of the proxy through which each host is reached, in the order of the hosts. */
export type NetworkProxyAnswer = { addresses: string[] };

type ProxiedConnection = { zones: [string, string]; sockets: [Socket, Socket] };

let hosts: ProxiedHost[] = [];
let cutZones: string[] = [];
const connections = new Set<ProxiedConnection>();
const servers: Server[] = [];

const isCut = ({ zones: [left, right] }: ProxiedConnection): boolean =>
    left !== right && (cutZones.includes(left) || cutZones.includes(right));

const applyCut = (connection: ProxiedConnection): void => {
    for (const socket of connection.sockets) {
        if (isCut(connection)) {
            socket.pause();
        }
        else {
            socket.resume();
        }
    }
};

const proxyConnection = (destination: ProxiedHost, incoming: Socket): void => {
    const outgoing = connect(destination.listens);
    const source = hosts.find(({ sourceAddress }) => sourceAddress === incoming.remoteAddress);
    const connection: ProxiedConnection = {
        zones: [source?.zone ?? destination.zone, destination.zone],
        sockets: [incoming, outgoing],
    };
    connections.add(connection);
    const close = (): void => {
        connections.delete(connection);
        incoming.destroy();
        outgoing.destroy();
    };
    for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]]) {
        from.setNoDelay(true);
        from.on("data", data => to.write(data));
        from.on("error", close);
        from.on("close", close);
    }
    applyCut(connection);
};

const startListener = (host: ProxiedHost): Promise<string> =>
    new Promise(resolve => {
        const server = createServer(socket => proxyConnection(host, socket));
        servers.push(server);
        server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`));
    });

answerParentMessages(async (question: NetworkProxyQuestion): Promise<NetworkProxyAnswer> => {
    if (question.kind === "cut") {
        cutZones = question.zones;
        connections.forEach(applyCut);
        return { addresses: [] };
    }
    hosts = question.hosts;
    return { addresses: await Promise.all(hosts.map(startListener)) };
});
