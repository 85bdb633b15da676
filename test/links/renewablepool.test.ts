/**
 * When connections are replaced. Guards against calls that are repeated without end while the other end is slow.
 */
import test from "ava";
import type { Pool } from "undici";
import { createRenewablePool } from "../../src/links/renewablepool.ts";

/** Silent calls by time in milliseconds; calls are answered all the while, unless said otherwise. */
const cases: Array<{ title: string; silentAt: number[]; answers?: boolean; replacements: number }> = [
    { title: "one silent call", silentAt: [0], replacements: 1 },
    { title: "several at once", silentAt: [0, 10, 400], replacements: 1 },
    {
        title: "connections that fall silent every eight seconds",
        silentAt: [0, 8_000, 16_000, 24_000],
        replacements: 4,
    },
    {
        title: "one kind of call that is slow for two minutes",
        silentAt: [...new Array(240).keys()].map(index => index * 500),
        replacements: 5,
    },
    { title: "a silent store", silentAt: [0, 1_000, 20_000], answers: false, replacements: 0 },
];

for (const { title, silentAt, answers = true, replacements } of cases) {
    test(`${title}: ${replacements} replacements`, t => {
        let time = 0;
        let opened = 0;
        const pool = { close: () => Promise.resolve(), destroy: () => Promise.resolve() } as Pool;
        const connections = createRenewablePool(() => {
            opened += 1;
            return pool;
        }, () => time);
        for (const at of silentAt) {
            time = at;
            if (answers) {
                connections.recordAnswer(connections.current());
            }
            connections.recordSilence(connections.current());
        }
        t.is(opened - 1, replacements);
    });
}
