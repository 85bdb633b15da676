/**
 * A relay on the loopback address: passes connections on to a port, can reset all of them, and can be slow.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export type Relay = { port: number; resetConnections: (isChosen: () => boolean) => void; close: () => void };

/** Bytes that a slow relay passes on at once; it pauses after each. */
const sliceBytes = 512;

/** Passes on what comes, also an end and a reset. `pauseMilliseconds` above 0 makes it slow in this direction. */
const pass = (from: Socket, to: Socket, pauseMilliseconds: number): void => {
    from.on("data", (part: Buffer) => {
        from.pause();
        const passOn = async (): Promise<void> => {
            const size = pauseMilliseconds > 0 ? sliceBytes : part.length;
            for (let start = 0; start < part.length && !to.destroyed; start += size) {
                if (!to.write(part.subarray(start, start + size))) {
                    await new Promise<void>(resolve => to.once("drain", resolve).once("close", resolve));
                }
                if (pauseMilliseconds > 0) {
                    await sleep(pauseMilliseconds);
                }
            }
            from.resume();
        };
        passOn().catch(() => from.destroy());
    });
    from.on("end", () => to.end());
    from.on("error", () => to.resetAndDestroy());
};

export const startRelay = async (toPort: () => number, pauseMilliseconds = 0): Promise<Relay> => {
    const pairs = new Set<[Socket, Socket]>();
    const server = createServer({ allowHalfOpen: true }, near => {
        const far = connect({ port: toPort(), host: "127.0.0.1", allowHalfOpen: true });
        const pair: [Socket, Socket] = [near, far];
        pairs.add(pair);
        pass(near, far, 0);
        pass(far, near, pauseMilliseconds);
        near.once("close", () => pairs.delete(pair));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const resetConnections = (isChosen: () => boolean): void =>
        pairs.forEach(pair => isChosen() && pair.forEach(socket => socket.resetAndDestroy()));
    return {
        port: (server.address() as AddressInfo).port,
        resetConnections,
        close: () => {
            server.close();
            resetConnections(() => true);
        },
    };
};
