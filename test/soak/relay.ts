/**
 * Ports and relays on the loopback address. A relay passes connections on to a port, can reset them, and can be slow.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { detectReset } from "../../src/links/resets.ts";

export type Relay = {
    port: number;
    resetConnections: (isChosen: () => boolean) => void;
    /** Resets all connections; new ones are reset too until it is called with false. */
    cut: (isCut: boolean) => void;
    close: () => void;
};

/** Ports below those of other tests and of outgoing connections. A soak holds the first port of its block meanwhile. */
const blocks = { firstPort: 10_000, size: 100, count: 100 };

/** Takes a block of ports that no other soak has, so that none takes a port while the process that has it restarts. */
export const reservePorts = async (): Promise<{ next: () => number; close: () => void }> => {
    for (let index = process.pid;; index += 1) {
        let port = blocks.firstPort + (index % blocks.count) * blocks.size;
        const lock = createServer();
        const isFree = await new Promise<boolean>(resolve => {
            lock.once("error", () => resolve(false));
            lock.listen(port, "127.0.0.1", () => resolve(true));
        });
        if (isFree) {
            return { next: () => port += 1, close: () => void lock.close() };
        }
    }
};

/** What a slow relay passes on at once in each direction, in bytes; it pauses after each. */
const slices = { up: 4_096, down: 65_536 };

/** Passes on what comes, also an end and a reset. `pauseMilliseconds` above 0 makes it slow. */
const pass = (from: Socket, to: Socket, sliceBytes: number, pauseMilliseconds: number): void => {
    let passed = Promise.resolve();
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
        passed = passOn().catch(() => void from.destroy());
    });
    // The end is also told while the stream is paused.
    from.on("end", () => void passed.then(() => to.end()));
    from.on("error", () => to.resetAndDestroy());
};

export const startRelay = async (toPort: () => number, pauseMilliseconds = 0): Promise<Relay> => {
    const pairs = new Set<[Socket, Socket]>();
    let isCutOff = false;
    const server = createServer({ allowHalfOpen: true }, near => {
        if (isCutOff) {
            near.resetAndDestroy();
            return;
        }
        const far = detectReset(connect({ port: toPort(), host: "127.0.0.1", allowHalfOpen: true }));
        const pair: [Socket, Socket] = [detectReset(near), far];
        pairs.add(pair);
        pass(near, far, slices.up, pauseMilliseconds);
        pass(far, near, slices.down, pauseMilliseconds);
        near.once("close", () => pairs.delete(pair));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const resetConnections = (isChosen: () => boolean): void =>
        pairs.forEach(pair => isChosen() && pair.forEach(socket => socket.resetAndDestroy()));
    return {
        port: (server.address() as AddressInfo).port,
        resetConnections,
        cut: isCut => {
            isCutOff = isCut;
            resetConnections(() => isCut);
        },
        close: () => {
            server.close();
            resetConnections(() => true);
        },
    };
};
