/**
 * What targets that own keys serve of what one queue for each of them serves that knows all, and what it would serve if
 * it refused later. Guards against a loss that hosts cause by not knowing each other's requests.
 */
import test from "ava";
import { expectedMilliseconds, maxUsefulMilliseconds } from "../../../src/decisions/placement.ts";
import { playKnowingQueues, type ServedShares } from "./knowingqueue.ts";
import { playRoom } from "./roomplay.ts";

const workMilliseconds = 500;
const seeds = [1, 2, 3, 4];
const setup = {
    targets: 40,
    slots: 10,
    workMilliseconds,
    objectiveMilliseconds: 3 * workMilliseconds,
    timeoutMilliseconds: 6 * workMilliseconds,
    seconds: 10,
};

/** Requests at a target at which a host that knows all of them refuses the next one. */
const mostUsefulRequests = (): number => {
    const limits = {
        objectiveMilliseconds: setup.objectiveMilliseconds,
        remainingMilliseconds: setup.timeoutMilliseconds,
    };
    const longest = maxUsefulMilliseconds(limits, workMilliseconds);
    let load = 0;
    while (
        expectedMilliseconds({
            name: "t",
            penaltyMilliseconds: 0,
            slots: setup.slots,
            load,
            serviceMilliseconds: workMilliseconds,
        }) <= longest
    ) {
        load += 1;
    }
    return load;
};

const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const bound = (utilization: number, mostRequests: number): ServedShares => {
    const shares = seeds.map(seed => playKnowingQueues({ ...setup, utilization, mostRequests, seed }));
    return { served: mean(shares.map(({ served }) => served)), inTime: mean(shares.map(({ inTime }) => inTime)) };
};

for (const hosts of [93, 300]) {
    test.serial(`${hosts} hosts serve 0.98 of what one queue serves that knows all and refuses by the same rule`, async t => {
        const most = bound(0.9, mostUsefulRequests());
        const figures = await playRoom({
            hosts,
            targets: setup.targets,
            slots: setup.slots,
            accepted: 100,
            isSharded: true,
            seconds: setup.seconds,
        });
        t.log(JSON.stringify({ most, served: figures.served, ended: figures.ended }));
        t.true(figures.served >= 0.98 * most.served, `${figures.served} of ${most.served}`);
        t.is(figures.resets, 0);
    });
}

test("refusing later serves more, and above the capacity fewer in time", t => {
    const rule = mostUsefulRequests();
    const rows = [0.9, 1.1, 1.3].flatMap(utilization =>
        [rule, 22, 24, 30, Infinity].map(mostRequests => ({
            utilization,
            mostRequests,
            ...bound(utilization, mostRequests),
        }))
    );
    rows.forEach(row => t.log(JSON.stringify(row)));
    const find = (utilization: number, mostRequests: number) =>
        rows.find(row => row.utilization === utilization && row.mostRequests === mostRequests)!;
    t.is(rule, 18);
    t.true(find(0.9, 24).served > find(0.9, rule).served);
    t.true(find(1.3, 24).inTime < find(1.3, rule).inTime);
});
