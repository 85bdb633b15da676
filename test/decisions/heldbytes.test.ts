/** Guards against a bound on held bytes that closes callers within the limits, or that reads on over it. */
import test from "ava";
import { connectionsToClose, type Held, type HeldConnection, mayReadRequest } from "../../src/decisions/heldbytes.ts";

const limits = { maxRequestsAhead: 64, maxConnectionBytes: 262_144, maxHostBytes: 1_000_000 };
const held = (requests: number, answerBytes = 0): Held => ({ requests, headBytes: 0, answerBytes });

const reads: Array<[title: string, held: Held, isFull: boolean, mayRead: boolean]> = [
    ["nothing is held", held(0), false, true],
    ["nothing is held for it on a full host", held(0), true, true],
    ["one request on a full host", held(1), true, false],
    ["requests below the limit", held(63), false, true],
    ["as many requests as the limit", held(64), false, false],
    ["answers over the limit", held(1, 262_144), false, false],
    ["a large answer that is written, with no request", held(0, 1_000_000), false, true],
];

for (const [title, connection, isFull, expected] of reads) {
    test(`a request is ${expected ? "read" : "not read"}: ${title}`, t => {
        t.is(mayReadRequest(connection, isFull, limits), expected);
    });
}

const candidate = (
    connection: string,
    answerBytes: number,
    others: Partial<HeldConnection<string>> = {},
): HeldConnection<string> => ({
    connection,
    held: held(10, answerBytes),
    isRunning: false,
    stalledMilliseconds: 2_000,
    ...others,
});

const closes: Array<[title: string, connections: Array<HeldConnection<string>>, closed: string[]]> = [
    ["within the bound", [candidate("a", 500_000)], []],
    ["the worst first, and no more than needed", [candidate("a", 300_000), candidate("b", 800_000)], ["b"]],
    ["one is enough", [candidate("a", 600_000), candidate("b", 1_200_000), candidate("c", 1_000)], ["b"]],
    ["two are needed", [candidate("a", 1_100_000), candidate("b", 1_200_000)], ["b", "a"]],
    ["one that takes its answers", [candidate("a", 2_000_000, { stalledMilliseconds: 500 })], []],
    ["one whose request may run", [candidate("a", 2_000_000, { isRunning: true })], []],
    ["one large answer", [candidate("a", 0, { held: held(1, 2_000_000) })], []],
    ["requests that wait, with no answer", [candidate("a", 0, { held: held(1_000) })], []],
];

for (const [title, connections, expected] of closes) {
    test(`connections closed over the bound of the host: ${title}`, t => {
        t.deepEqual(connectionsToClose(connections, limits), expected);
    });
}
