/**
 * The bench's callers. Guards against an answer that breaks off and is counted as whole.
 */
import test from "ava";
import { createAgent, sendOnce } from "../../bench/caller.ts";
import { callerHeaders, outcomes } from "../../src/contracts/outcome.ts";
import { monotonicMilliseconds } from "../../stand-ins/target.ts";
import { cutEndings, startCuttingServer } from "../connections.ts";

const request = {
    pool: "orders",
    method: "POST",
    token: "token",
    key: "key-1",
    id: "id-1",
    dueAt: 0,
    bodyBytes: 20,
};
const body = JSON.stringify({ key: request.key, echo: request.id.padEnd(request.bodyBytes, ".") });
const framings = [
    { title: "without a length", line: "" },
    { title: "with a length", line: `content-length: ${body.length}\r\n` },
    { title: "of another transfer coding", line: "transfer-encoding: identity\r\n" },
];

for (const { title: framing, line } of framings) {
    for (const { title, end } of cutEndings) {
        test(`an answer ${framing} that is ${title} early does not count as whole`, async t => {
            let cut = 0;
            const head = `HTTP/1.1 200 OK\r\n${callerHeaders.outcome}: ${outcomes.answered}\r\n${line}\r\n`;
            const server = await startCuttingServer(() => head + body.slice(0, cut), end);
            const agent = createAgent();
            t.teardown(async () => {
                server.close();
                await agent.destroy();
            });
            const isWhole = async (): Promise<boolean> => {
                const due = monotonicMilliseconds();
                const { outcome, partial, wrong } = await sendOnce(agent, server.address, request, 1, due, 1_000);
                return outcome === outcomes.answered && !partial && !wrong;
            };
            for (; cut < body.length; cut += 1) {
                t.false(await isWhole(), body.slice(0, cut));
            }
            t.true(title !== "ended" || await isWhole());
        });
    }
}
