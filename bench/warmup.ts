/**
 * Warm-up: sends requests through each host until enough of them were answered, so that a load starts on a system that
 * serves all pools.
 */
import { monotonicMilliseconds } from "../stand-ins/target.ts";
import { createAgent, delay, sendOnce } from "./caller.ts";
import type { PoolLoad } from "./load.ts";
import { createRandom } from "./random.ts";

const retryDelayMilliseconds = 50;
const limitMilliseconds = 30_000;
const answersPerPool = 30;
const sendTimeoutMilliseconds = 1_000;

/**
 * Warms up all pools through all hosts. Resolves with `false` when the time limit passes before every pool is served
 * through every host.
 */
export const warmUp = async (addresses: string[], loads: PoolLoad[]): Promise<boolean> => {
    const agent = createAgent();
    const random = createRandom(1);
    const endAt = monotonicMilliseconds() + limitMilliseconds;

    const warmPool = async (address: string, { pool, method, token, keys }: PoolLoad): Promise<boolean> => {
        let answered = 0;
        for (let sent = 1; answered < answersPerPool && monotonicMilliseconds() < endAt; sent += 1) {
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
            const record = await sendOnce(agent, address, request, 1, monotonicMilliseconds(), sendTimeoutMilliseconds);
            const isAnswered = record.outcome === "answered";
            answered += isAnswered ? 1 : 0;
            await delay(isAnswered ? 0 : retryDelayMilliseconds);
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
