/**
 * Warm-up: sends over each host until enough requests were answered, so that a load meets a system that serves.
 */
import { machineMilliseconds } from "../stand-ins/target.ts";
import { createAgent, delay, sendOnce } from "./caller.ts";
import type { PoolLoad } from "./load.ts";
import { createRandom } from "./random.ts";

const pollMilliseconds = 50;
const limitMilliseconds = 30_000;
const answersPerPool = 30;
const sendMilliseconds = 1_000;

/** Warms all pools up over all hosts. False when some were still not served when the time was up. */
export const warmUp = async (addresses: string[], loads: PoolLoad[]): Promise<boolean> => {
    const agent = createAgent();
    const random = createRandom(1);
    const endAt = machineMilliseconds() + limitMilliseconds;

    const warmPool = async (address: string, { pool, method, token, keys }: PoolLoad): Promise<boolean> => {
        let answered = 0;
        for (let sent = 1; answered < answersPerPool && machineMilliseconds() < endAt; sent += 1) {
            const id = `warm-up-${address}-${pool}-${sent}`;
            const request = {
                pool,
                method,
                token,
                key: `key-${random.integerBelow(keys)}`,
                id,
                dueAt: 0,
                bodyBytes: 0,
            };
            const record = await sendOnce(agent, address, request, 1, machineMilliseconds(), sendMilliseconds);
            const isAnswered = record.outcome === "answered";
            answered += isAnswered ? 1 : 0;
            await delay(isAnswered ? 0 : pollMilliseconds);
        }
        return answered === answersPerPool;
    };

    const warmHost = async (address: string): Promise<boolean> => {
        const served: boolean[] = [];
        for (const load of loads) {
            served.push(await warmPool(address, load));
        }
        return served.every(Boolean);
    };

    const served = await Promise.all(addresses.map(warmHost));
    await agent.destroy();
    return served.every(Boolean);
};
