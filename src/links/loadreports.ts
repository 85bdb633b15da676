/**
 * Load reports between hosts: each host tells the coordinator of a pool which keys were asked for and how long work
 * took, a few times a second. Reports only improve the balance; a lost one is not sent again.
 */
import { pack, unpack } from "msgpackr";
import { WebSocket, WebSocketServer } from "ws";
import { z } from "zod";
import { maxKey } from "../contracts/ownership.ts";

const reportSchema = z.object({
    pool: z.string(),
    /** Keys of the requests since the last report that were sent to their owner. */
    keys: z.array(z.int().min(0).max(maxKey)),
    /** Keys of those that were refused. */
    refusedKeys: z.array(z.int().min(0).max(maxKey)),
    /** Target and milliseconds of work, one entry an answer. */
    work: z.array(z.tuple([z.string(), z.number().min(0)])),
});
export type LoadReport = z.infer<typeof reportSchema>;

export type LoadReports = {
    /** Sends to the host at the address, on a connection that is kept while the address stays the same. */
    send: (address: string, report: LoadReport) => void;
};

export type LoadReportsOptions = {
    /** `address:port` that other hosts reach. */
    listen: string;
    onReport: (report: LoadReport) => void;
    signal: AbortSignal;
};

const handshakeMilliseconds = 1_000;
/** Bytes that may wait for a slow coordinator; beyond that reports are left out. */
const maxWaitingBytes = 65_536;
const maxReportBytes = 262_144;

/** Opens the link. Connections to others are made on first use. */
export const openLoadReports = ({ listen, onReport, signal }: LoadReportsOptions): Promise<LoadReports> =>
    new Promise((resolve, reject) => {
        const [host, port] = listen.split(":");
        const server = new WebSocketServer({
            host,
            port: Number(port),
            perMessageDeflate: false,
            maxPayload: maxReportBytes,
        });
        let outgoing: { address: string; socket: WebSocket } | undefined;

        const open = (address: string): WebSocket => {
            outgoing?.socket.terminate();
            const socket = new WebSocket(`ws://${address}`, {
                perMessageDeflate: false,
                handshakeTimeout: handshakeMilliseconds,
            });
            const forget = (): void => {
                if (outgoing?.socket === socket) {
                    outgoing = undefined;
                }
            };
            socket.on("error", forget);
            socket.on("close", forget);
            outgoing = { address, socket };
            return socket;
        };

        server.on("connection", socket => {
            socket.on("error", () => socket.terminate());
            socket.on("message", bytes => {
                const parsed = reportSchema.safeParse(unpack(bytes as Buffer));
                if (parsed.success) {
                    onReport(parsed.data);
                }
            });
        });
        signal.addEventListener("abort", () => {
            outgoing?.socket.terminate();
            server.clients.forEach(client => client.terminate());
            server.close();
        }, { once: true });
        server.once("error", reject);
        server.once("listening", () => {
            resolve({
                send: (address, report) => {
                    const socket = outgoing?.address === address ? outgoing.socket : open(address);
                    if (socket.readyState === WebSocket.OPEN && socket.bufferedAmount < maxWaitingBytes) {
                        socket.send(pack(report));
                    }
                },
            });
        });
    });
