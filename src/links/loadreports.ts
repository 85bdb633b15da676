/**
 * Load reports between hosts. A few times a second, each host reports to the coordinator of a pool the keys of its
 * requests and the time that the work took. Reports only improve the balance of load, so a lost one is not sent again.
 */
import { z } from "zod";
import { maxKey } from "../contracts/ownership.ts";
import type { PeerConnection, PeerDialer, PeerService } from "./peers.ts";

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

/** Path at which a host receives load reports. */
export const loadReportPath = "/";

/** Bytes that may wait to be sent to a slow coordinator. When there are more, the connection is opened anew. */
const maxQueuedBytes = 65_536;

/** Accepts the reports of other hosts. */
export const createLoadReportService = (onReport: (report: LoadReport) => void): PeerService => () => ({
    onFrame: value => {
        const parsed = reportSchema.safeParse(value);
        if (parsed.success) {
            onReport(parsed.data);
        }
        return parsed.success;
    },
    onClose: () => undefined,
});

/** Sends a report to the host at the address. */
export type LoadReportSender = (address: string, report: LoadReport) => void;

/**
 * Creates the sender. The connection is opened on first use and kept while the address stays the same; reports are
 * dropped until it is open.
 */
export const createLoadReportSender = (dial: PeerDialer): LoadReportSender => {
    let outgoing: { address: string; connection: PeerConnection } | undefined;

    const connect = (address: string): PeerConnection => {
        outgoing?.connection.close();
        const connection = dial(address, loadReportPath, {
            onFrame: () => false,
            onClose: () => {
                if (outgoing?.connection === connection) {
                    outgoing = undefined;
                }
            },
        });
        outgoing = { address, connection };
        return connection;
    };

    return (address, report) => {
        const connection = outgoing?.address === address ? outgoing.connection : connect(address);
        if (connection.queuedBytes() > maxQueuedBytes) {
            connection.close();
            return;
        }
        connection.send(report);
    };
};
