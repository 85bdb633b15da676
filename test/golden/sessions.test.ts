import test from "ava";
import { createLog } from "../../src/links/logs.ts";
import { type CallResult, startSystem, type System, testPool, until } from "../system.ts";
import { createTranscript } from "./transcript.ts";

const describe = (result: CallResult): string =>
    `${result.statusCode} outcome=${result.outcome} reason=${result.reason}`;

/** Whether a run of each key has begun. */
const haveStarted = (system: System, keys: string[]): boolean => {
    const startedKeys = new Set(system.targets.flatMap(target => target.executions.map(execution => execution.key)));
    return keys.every(key => startedKeys.has(key));
};

test("start-up and first request", async t => {
    const transcript = createTranscript();
    const lines: string[] = [];
    const log = createLog({ level: "info", write: line => lines.push(line.trimEnd()), wallClock: () => 0 });
    const system = await startSystem({ log });
    const [host] = system.hosts;
    transcript.name(host.callerAddress, "CALLERS");
    const answered = await system.untilAnswered(host, { key: "tray-7" });
    transcript.note(`GET /orders/trays key=tray-7 -> ${describe(answered)}`);
    const { key, path } = JSON.parse(answered.body) as { key: string; path: string };
    transcript.note(`target saw key=${key} path=${path}`);
    const liveLine = lines.find(line => line.includes("event=host-live"));
    transcript.note(`log ${liveLine}`);
    await host.stop();
    transcript.note(`log ${lines.at(-1)}`);
    await system.close();
    await transcript.compare(t, "startup");
});

test("an object becomes invalid", async t => {
    const transcript = createTranscript();
    const system = await startSystem();
    const [host] = system.hosts;
    transcript.note(`before -> ${describe(await system.untilAnswered(host, { key: "tray-7" }))}`);
    system.platform.write("pools", testPool, { customer: "hallam", division: "by-luck", targets: 7 });
    system.platform.write("plans", "hallam", { customer: 7, tokenHashes: ["short"] });
    await until(() =>
        host.report().findings.length > 0 && host.report().findings.some(f => f.source === "plans/hallam")
    );
    transcript.note(`after -> ${describe(await system.call(host, { key: "tray-7" }))}`);
    for (const finding of host.report().findings) {
        transcript.note(
            `finding ${finding.source} ${finding.path}: expected ${finding.expected}, found ${finding.found}`,
        );
    }
    await system.close();
    await transcript.compare(t, "bad-object");
});

test("a planned stop under load", async t => {
    const transcript = createTranscript();
    const system = await startSystem({
        target: { serviceMilliseconds: 100, byKey: false },
        pool: { division: "any" },
    });
    const [host] = system.hosts;
    await system.untilAnswered(host, { key: "tray-7" });
    const keys = ["tray-1", "tray-2", "tray-3", "tray-4"];
    const calls = keys.map(key => system.call(host, { key }));
    await until(() => haveStarted(system, keys));
    system.targets.forEach(target => target.freeze());
    const stopped = host.stop();
    transcript.note(`state while stopping: ${host.report().state}`);
    const health = await fetch(`http://${host.operatorAddress}/health`);
    transcript.note(`health while stopping: ${health.status}`);
    system.targets.forEach(target => target.thaw());
    for (const result of await Promise.all(calls)) {
        transcript.note(`in flight -> ${describe(result)}`);
    }
    await stopped;
    transcript.note(`in flight after the stop: ${host.report().inFlight}`);
    const refused = await fetch(`http://${host.callerAddress}/-/health`).then(() => "answered", () => "refused");
    transcript.note(`connection after the stop: ${refused}`);
    await system.close();
    await transcript.compare(t, "planned-stop");
});
