/**
 * What the platform's targets say in the status and headers of their answers.
 */
import test from "ava";
import { targetProtocol } from "../../platform/protocols.ts";
import type { TargetNotice } from "../../src/contracts/resident.ts";
import type { ReportedLoad } from "../../src/decisions/targetload.ts";

const nothing: TargetNotice = { leaving: false, limitPerSecond: "none", pauseMilliseconds: undefined };

const cases: Array<[string, number, Record<string, string>, TargetNotice | undefined]> = [
    ["nothing", 200, {}, nothing],
    ["that it leaves", 200, { "server-leaving": "1" }, { ...nothing, leaving: true }],
    ["that it does not leave", 200, { "server-leaving": "0" }, nothing],
    ["a limit", 200, { "server-limit": "1.9" }, { ...nothing, limitPerSecond: 1.9 }],
    ["a limit of nothing", 503, { "server-limit": "0" }, { ...nothing, limitPerSecond: 0 }],
    ["a limit that is no number", 200, { "server-limit": "few" }, { ...nothing, limitPerSecond: "unreadable" }],
    ["a negative limit", 200, { "server-limit": "-2" }, { ...nothing, limitPerSecond: "unreadable" }],
    ["two limits", 200, { "server-limit": "2, 3" }, { ...nothing, limitPerSecond: "unreadable" }],
    ["a limit beyond all measure", 200, { "server-limit": "9".repeat(400) }, {
        ...nothing,
        limitPerSecond: "unreadable",
    }],
    ["a pause", 503, { "retry-after": "2.5" }, { ...nothing, pauseMilliseconds: 2_500 }],
    ["a pause beside a success", 200, { "retry-after": "2" }, nothing],
    ["a pause until a date", 503, { "retry-after": "Sat, 05 Dec 2026 08:00:00 GMT" }, nothing],
    ["a pause of a month", 503, { "retry-after": "2592000" }, nothing],
    ["that it has no such key", 421, { "not-executed": "1", "server-leaving": "1" }, { ...nothing, leaving: true }],
    ["that another target is asked for", 421, { "server-leaving": "1" }, undefined],
];

for (const [title, statusCode, headers, notice] of cases) {
    test(`an answer says ${title}`, t => t.deepEqual(targetProtocol.readAnswer(statusCode, headers).notice, notice));
}

const loads: Array<[header: string, load: ReportedLoad | undefined]> = [
    ["1,2,3", { running: 1, waiting: 2 }],
    ["1,2,3,250", { running: 1, waiting: 2, serviceScale: 2.5 }],
    ["1,2,3,0", { running: 1, waiting: 2 }],
    ["1,2,3,x", undefined],
    ["1", undefined],
];
for (const [header, load] of loads) {
    test(`the load "${header}" is read`, t =>
        t.deepEqual(targetProtocol.readAnswer(200, { "server-load": header }).load, load));
}

test("callers do not get what targets say to hosts", t => {
    const headers = { "server-leaving": "1", "server-limit": "2", "server-load": "1,2,3", "x-own": "kept" };
    t.deepEqual(targetProtocol.buildAnswerHeaders(headers), { "x-own": "kept" });
});
