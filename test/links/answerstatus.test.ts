/**
 * Exchanges with a target that answers with any status. Guards against an answer whose status is none, such as 000, that
 * is passed on, waited for, or taken for a connection that broke.
 */
import test from "ava";
import { createExchangeLink, isMalformedAnswer } from "../../src/links/exchange.ts";
import { type Framing, framings, type StatusCase, statusCases, unaskedStatus } from "../answerstatuses.ts";
import { startRawTarget } from "../rawtarget.ts";

type Outcome = { statuses: number[]; ending: string };

/** An answer that is refused by its status is not waited for. */
const promptMilliseconds = 2_000;

const exchangeOnce = (link: ReturnType<typeof createExchangeLink>, method: string): Promise<Outcome> =>
    new Promise(resolve => {
        const statuses: number[] = [];
        const finish = (ending: string): void => {
            clearTimeout(timer);
            resolve({ statuses, ending });
        };
        const exchange = link.send({ method, path: "/", headers: ["request-id", "r"], body: undefined }, {
            mayStart: () => true,
            onHead: status => statuses.push(status),
            onBytes: () => true,
            onEnd: () => finish("whole"),
            onFailure: (stage, error) => finish(isMalformedAnswer(error) ? `malformed, ${stage}` : error.message),
        });
        const timer = setTimeout(() => {
            finish("silent");
            exchange.abort();
        }, promptMilliseconds);
    });

const lastAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const upgradeLines = "connection: upgrade\r\nupgrade: websocket\r\n";

const isPossible = (kind: StatusCase["kind"], status: string, { header, body }: Framing): boolean =>
    kind !== "answer" || (["204", "304"].includes(status) ? header === "" : header !== "" || body === "");

const expectedOf = (kind: StatusCase["kind"], status: string): Outcome =>
    kind === "malformed"
        ? { statuses: [], ending: "malformed, sent" }
        : { statuses: [kind === "interim" ? 200 : Number(status)], ending: "whole" };

const titleOf = { answer: "is an answer", interim: "is skipped", malformed: "is no answer" };

for (const { status, kind } of [...statusCases, { status: unaskedStatus, kind: "malformed" } as const]) {
    for (const method of ["GET", "POST", "HEAD"]) {
        test.serial(`the status "${status}" after ${method} ${titleOf[kind]}`, async t => {
            for (const { title, header, body } of framings.filter(framing => isPossible(kind, status, framing))) {
                for (const upgrade of status === "101" ? ["", upgradeLines] : [""]) {
                    const sentBody = method === "HEAD" ? "" : body;
                    const text = kind === "interim"
                        ? `HTTP/1.1 ${status} X\r\n\r\n${lastAnswer}`
                        : `HTTP/1.1 ${status} X\r\n${header}${upgrade}\r\n${
                            status === "204" || status === "304" ? "" : sentBody
                        }`;
                    const target = await startRawTarget([
                        socket => socket.write(text),
                        socket => socket.write(lastAnswer),
                    ]);
                    t.teardown(target.close);
                    const link = createExchangeLink({
                        address: target.address,
                        connections: () => 1,
                        keptConnections: () => 1,
                        connectMilliseconds: 1_000,
                    });
                    t.teardown(link.close);
                    t.deepEqual(await exchangeOnce(link, method), expectedOf(kind, status), title);
                    t.deepEqual(await exchangeOnce(link, method), { statuses: [200], ending: "whole" }, title);
                    if (kind === "malformed") {
                        t.is(target.used(), 2, "the connection is not used again");
                    }
                }
            }
        });
    }
}
