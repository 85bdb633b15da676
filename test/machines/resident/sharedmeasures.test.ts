/**
 * Measures of targets reach all hosts once, with few bytes. Guards against service times that only one host knows, against
 * hosts that tell false ones, and against messages while nothing was measured.
 */
import test from "ava";
import { loadsSchema } from "../../../src/contracts/statemessages.ts";
import { decodeFrame, encodeFrame } from "../../../src/links/frames.ts";
import { playSpeeds, type SpeedsFigures, type SpeedsPlay } from "./speedsplay.ts";
import { setUpZones } from "./zonesofloads.ts";

const play = { targets: 260, perSecond: 20, workMilliseconds: 200, tellsLoad: true, seconds: 8, seed: 1 };
type Row = { title: string; play: Omit<SpeedsPlay, "estimate"> };
const rows: Row[] = [
    { title: "20 hosts, any target", play: { ...play, hosts: 20, isKeyed: false } },
    { title: "20 hosts, keys", play: { ...play, hosts: 20, isKeyed: true } },
    { title: "20 hosts, keys, no load told", play: { ...play, hosts: 20, isKeyed: true, tellsLoad: false } },
    { title: "85 hosts, keys", play: { ...play, hosts: 85, isKeyed: true } },
    { title: "20 hosts, keys, a reader lost", play: { ...play, hosts: 20, isKeyed: true, fault: "reader-lost" } },
    { title: "85 hosts, keys, false figures", play: { ...play, hosts: 85, isKeyed: true, fault: "false-figures" } },
];
/** Shares vary by about this much from seed to seed. */
const chance = 0.01;
const maxMeasureBytes = 4_096;

const format = ({ inTime, late, refused, refusedAtFree, error, measureBytes }: SpeedsFigures): string =>
    [inTime, late, refused, refusedAtFree, error].map(share => share.toFixed(3)).join(" ")
    + ` ${measureBytes.toFixed()} B/s`;

for (const { title, play: options } of rows) {
    test.serial(`${title}: service times of all hosts are nearer, and no fewer answers are in time`, async t => {
        const before = await playSpeeds({ ...options, estimate: "own" });
        const after = await playSpeeds({ ...options, estimate: "fleet" });
        t.log(`in time, late, refused, of these at free targets, error: ${format(before)}; shared: ${format(after)}`);
        t.true(after.inTime >= before.inTime - chance);
        t.true(after.error < before.error);
        t.true(after.measureBytes < maxMeasureBytes);
    });
}

test.serial("280 targets and 85 hosts: measures take less than 4 KB a second and host, and add no messages", async t => {
    const wide = { ...play, hosts: 85, targets: 280, isKeyed: true, seconds: 4 };
    const before = await playSpeeds({ ...wide, estimate: "own" });
    const after = await playSpeeds({ ...wide, estimate: "fleet" });
    t.log(`${after.measureBytes.toFixed()} B/s, loads ${after.loadBytes.toFixed()} B/s`);
    t.true(after.measureBytes > 0 && after.measureBytes < maxMeasureBytes);
    t.true(after.messages < before.messages * 1.02);
});

const target = { name: "t", incarnation: "1", pool: "p" };

const forms: Array<[title: string, measures: unknown, isTaken: boolean]> = [
    ["of an earlier version", undefined, true],
    ["without failures", [[7, 2, 400]], true],
    ["with failures", [[7, 2, 400, 1]], true],
    ["with a fraction", [[7, 0.5, 400]], false],
    ["with a negative sum", [[7, 2, -1]], false],
    ["with a number beyond 32 bits", [[2 ** 32, 2, 400]], false],
    ["with a name", [["t", 2, 400]], false],
];
for (const [title, measures, isTaken] of forms) {
    test(`a message with measures ${title} is ${isTaken ? "taken" : "refused"}`, t => {
        const message = { kind: "loads", whole: false, loads: [], ...(measures === undefined ? {} : { measures }) };
        t.is(loadsSchema.safeParse(decodeFrame(encodeFrame(message))).success, isTaken);
    });
}

test("each host gets what any host measured once, by incarnation, and a late follower gets the figures", async t => {
    const { clock, all, counts, join } = setUpZones();
    const seen = new Map([...all.keys()].map(name => [name, 0]));
    all.forEach(({ measures }, name) => {
        measures.setTarget(target, false);
        measures.onMeasure((...[, { answered, failed }]) => seen.set(name, (seen.get(name) ?? 0) + answered + failed));
    });
    await clock.advance(2_000);
    const atRest = counts.measures;
    t.is(atRest, 0);
    all.get("z1-a")?.measures.recordAnswer(target, 300);
    all.get("z2-reader")?.measures.recordAnswer(target, 500);
    all.get("z3-b")?.measures.recordFailure(target);
    await clock.advance(2_500);
    t.deepEqual([...seen.values()], [...seen.keys()].map(() => 3));
    // The answers reach hosts at different times and so with different weights.
    const isMean = (milliseconds = 0): boolean => Math.abs(milliseconds - 400) < 10;
    for (const { measures } of all.values()) {
        t.true(isMean(measures.figureOf(target)?.milliseconds));
        t.is(measures.figureOf({ ...target, incarnation: "2" }), undefined);
    }
    t.true(isMean(join("z2")?.measures.figureOf(target)?.milliseconds));
    const sent = counts.measures;
    await clock.advance(5_000);
    t.is(counts.measures, sent, "nothing more is sent at rest");
});
