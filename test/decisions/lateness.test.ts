/**
 * Guards against a host that goes on following one whose messages are seconds old, and against leaving a sound one.
 */
import test from "ava";
import { createLateness } from "../../src/decisions/lateness.ts";

type Case = { title: string; messages: Array<[sentAt: number, arrivedAt: number]>; isLate: boolean };

const cases: Case[] = [
    { title: "one message, by a clock far ahead", messages: [[9_000_000, 10]], isLate: false },
    { title: "messages in time", messages: [[0, 5], [400, 405], [800, 806]], isLate: false },
    { title: "one late message", messages: [[0, 5], [400, 1_500]], isLate: false },
    { title: "messages that are late for 400 ms", messages: [[0, 5], [400, 1_100], [800, 1_500]], isLate: true },
    {
        title: "messages that are ever later",
        messages: [[0, 5], [400, 805], [800, 1_605], [1_200, 2_405]],
        isLate: true,
    },
    { title: "messages that are late by less", messages: [[0, 5], [400, 1_000], [800, 1_400]], isLate: false },
    {
        title: "messages that waited for a receiver which did not run",
        messages: [[0, 5], [400, 3_000], [800, 3_000], [2_800, 3_000], [3_200, 3_205]],
        isLate: false,
    },
    {
        title: "messages that were late once",
        messages: [[0, 5], [400, 1_100], [1_100, 1_105], [1_500, 2_200], [2_200, 2_205]],
        isLate: false,
    },
];

for (const { title, messages, isLate } of cases) {
    test(`${title}: ${isLate ? "late" : "not late"}`, t => {
        const lateness = createLateness();
        t.is(messages.map(([sentAt, arrivedAt]) => lateness(sentAt, arrivedAt)).at(-1), isLate);
    });
}
