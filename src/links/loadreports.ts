/**
 * Load reports between hosts. A few times a second, each host reports to the coordinator of a pool the keys of its
 * requests and the time that the work took. Reports only improve the balance of load, so a lost one is not sent again.
 */
import { pack, unpack } from "msgpackr";
import { WebSocket, WebSocketServer } from "ws";
import { z } from "zod";
import { maxKey } from "../contracts/ownership.ts";

const reportSchema = z.object({
    pool: z.string(),
    /** Keys of the requests that were sent to their owner since the last report. */
    keys: z.array(z.int().min(0).max(maxKey)),
    /** Keys of the requests that were refused since the last report. */
    refusedKeys: z.array(z.int().min(0).max(maxKey)),
    /** Target and milliseconds of work, one entry for each answer. */
    work: z.array(z.tuple([z.string(), z.number().min(0)])),
});
export type LoadReport = z.infer<typeof reportSchema>;

export type LoadReports = {
    /** Sends a report to the host at `address`. The connection is reused while the address stays the same. */
    send: (address: string, report: LoadReport) => void;
};

export type LoadReportsOptions = {
    /** `address:port` on which reports of other hosts are received. */
    listen: string;
    onReport: (report: LoadReport) => void;
    signal: AbortSignal;
};

const handshakeTimeoutMilliseconds = 1_000;
/** Bytes that may wait to be sent to a slow coordinator; while there are more, reports are dropped. */
const maxQueuedBytes = 65_536;
const maxReportBytes = 262_144;

/** Starts to listen. The connection to another host is opened on first use; reports are dropped until it is open. */
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

        const connect = (address: string): WebSocket => {
            outgoing?.socket.terminate();
            const socket = new WebSocket(`ws://${address}`, {
                perMessageDeflate: false,
                handshakeTimeout: handshakeTimeoutMilliseconds,
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
                    const socket = outgoing?.address === address ? outgoing.socket : connect(address);
                    if (socket.readyState === WebSocket.OPEN && socket.bufferedAmount < maxQueuedBytes) {
                        socket.send(pack(report));
                    }
                },
            });
        });
    });
