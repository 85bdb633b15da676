/**
 * The connections that a host opens to its targets, within the descriptors of their part. When they are used up, a
 * target without exchanges gives one up for a new one to another target, the one that is idle longest first.
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import type { DescriptorPart } from "../decisions/descriptors.ts";
import { countConnections, type Descriptors, usedUpCode } from "./descriptors.ts";

/** The connections to one target. */
export type TargetConnections = {
    /** Wraps the connector of the target. */
    limit: (connect: buildConnector.connector) => buildConnector.connector;
    /** Records that an exchange begins. The returned function records its end. */
    begin: () => () => void;
};

/** Adds the connections of one more target. */
export type TargetConnectionLimit = () => TargetConnections;

/** Creates the limit of one host. */
export const createTargetConnectionLimit = (descriptors: Descriptors, part: DescriptorPart): TargetConnectionLimit => {
    /** A function for each target that has connections and no exchange, the longest idle first, which closes one. */
    const idle = new Set<() => void>();

    const closeIdle = (): boolean => {
        const [closeOne] = idle;
        closeOne?.();
        return closeOne !== undefined;
    };

    descriptors.onExcess(part, () => {
        while (descriptors.inUse(part) > descriptors.limitOf(part) && closeIdle()) {
            descriptors.recordFull(part, "idle");
        }
    });

    const limit = (connect: buildConnector.connector): buildConnector.connector => (target, callback) => {
        if (descriptors.isFull(part)) {
            const hasRoom = closeIdle();
            descriptors.recordFull(part, hasRoom ? "idle" : "new");
            if (!hasRoom) {
                const error = Object.assign(new Error(`No descriptor is left for ${part}.`), { code: usedUpCode });
                process.nextTick(callback, error);
                return;
            }
        }
        connect(target, callback);
    };

    return () => {
        const releases = new Map<Socket, () => void>();
        let exchanges = 0;

        const closeOne = (): void => {
            const [[socket, release]] = releases;
            release();
            remove(socket);
            socket.destroy();
        };
        const remove = (socket: Socket): void => {
            releases.delete(socket);
            if (releases.size === 0) {
                idle.delete(closeOne);
            }
        };
        const addIfIdle = (): void => {
            if (exchanges === 0 && releases.size > 0) {
                idle.add(closeOne);
            }
        };
        const add = (socket: Socket, release: () => void): void => {
            releases.set(socket, release);
            socket.once("close", () => remove(socket));
            addIfIdle();
        };
        return {
            limit: connect => limit(countConnections(connect, part, descriptors, add)),
            begin: () => {
                exchanges += 1;
                idle.delete(closeOne);
                return () => {
                    exchanges -= 1;
                    addIfIdle();
                };
            },
        };
    };
};
