/**
 * Requests that cross the end of an idle connection, on a link that delays what the host sends. They are refused, so that
 * callers may send them again, whatever their method.
 */
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallerLink } from "../../src/links/callers.ts";
import { answerWithLength, openCallerLink } from "./callerlink.ts";

const delayMilliseconds = 400;
const body = "an answer";

/** Passes bytes on at once to the host, and after a delay to the caller. */
const openSlowLink = async (hostPort: number) => {
    const sockets: Socket[] = [];
    const server = createServer(caller => {
        const host = connect(hostPort, "127.0.0.1");
        sockets.push(caller, host);
        sockets.forEach(socket => socket.on("error", () => undefined));
        caller.pipe(host);
        host.on("data", bytes => void setTimeout(() => caller.write(bytes), delayMilliseconds));
        host.on("close", () => void setTimeout(() => caller.end(), delayMilliseconds));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const close = (): void => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    };
    return { port: (server.address() as AddressInfo).port, close };
};

const requests = {
    GET: "GET /orders/b HTTP/1.1\r\nhost: x\r\n\r\n",
    POST: "POST /orders/b HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc",
};

/** Connects to the host, and waits until it has closed the connection. */
const connectOnce = async ({ address }: CallerLink): Promise<void> => {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host).on("error", () => undefined).resume();
    socket.end("GET /-/health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    await once(socket, "close");
};

type End = { act: (link: CallerLink) => Promise<unknown>; idleMilliseconds?: number; maxConnections?: number };
const ends: Record<string, End> = {
    "a planned stop": { act: link => link.stopAccepting() },
    "the close of all connections": { act: link => link.close() },
    // Node closes a connection one second after the time that it announces.
    "the end of the idle time": { act: () => sleep(1_300 - delayMilliseconds), idleMilliseconds: 200 },
    "a new connection beyond the limit": { act: connectOnce, maxConnections: 1 },
};

for (const [end, { act, idleMilliseconds = 10_000, maxConnections = Infinity }] of Object.entries(ends)) {
    for (const [method, request] of Object.entries(requests)) {
        test(`a request that crosses the end of an idle connection is refused as not run: ${end}, ${method}`, async t => {
            const serve = () => Promise.resolve(answerWithLength(body));
            const { link, served } = await openCallerLink({ maxConnections, serve });
            t.teardown(link.close);
            link.setTimeouts(idleMilliseconds, 10_000);
            const slow = await openSlowLink(Number(link.address.split(":")[1]));
            t.teardown(slow.close);
            const socket = connect(slow.port, "127.0.0.1").on("error", () => undefined);
            t.teardown(() => socket.destroy());
            let received = "";
            socket.on("data", part => {
                received += String(part);
            });
            socket.write(requests.GET);
            while (!received.endsWith(body)) {
                await sleep(5);
            }
            await act(link);
            await sleep(delayMilliseconds / 4);
            socket.write(request);
            await once(socket, "close");
            const answers = received.split("HTTP/1.1 ").slice(1);
            t.deepEqual(answers.map(answer => answer.slice(0, 3)), ["200", "408"]);
            t.regex(answers[1], /connection: close\r\n/);
            t.is(served.length, 1);
        });
    }
}
