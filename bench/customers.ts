/**
 * The two customers at their current sizes: zones, pools, targets, plans and allowances.
 */
import { createHash } from "node:crypto";
import type { Allowance, Plan } from "../src/contracts/plan.ts";
import { type Pool, poolSchema } from "../src/contracts/pool.ts";
import { createTargetStandIn, type TargetStandIn } from "../stand-ins/target.ts";

/** Size, speeds and route of a customer's pool. */
export type PoolShape = {
    name: string;
    customer: string;
    byKey: boolean;
    targets: number;
    concurrency: number;
    connections: number;
    serviceMilliseconds: number;
    zones: string[];
    /** Method and path of the pool's only route. */
    method: string;
    path: string;
    once: boolean;
    deferrable: boolean;
    /** Relative speeds of the targets. The list repeats when there are more targets. */
    speeds: number[];
    /** Average delay that the network between zones adds to an answer, in milliseconds. */
    networkMilliseconds: number;
};

export type Customer = { name: string; token: string; zones: string[]; pools: PoolShape[] };

const hallamZones = ["midlands-a", "midlands-b", "midlands-c"];
const verhaegheZones = ["coast-a", "coast-b", "coast-c", "coast-d"];

const hallamPool = {
    customer: "hallam",
    concurrency: 3,
    connections: 120,
    zones: hallamZones,
    deferrable: false,
    speeds: [1, 1.5, 0.7],
    networkMilliseconds: 2,
};
const verhaeghePool = {
    customer: "verhaeghe",
    concurrency: 4,
    connections: 110,
    zones: verhaegheZones,
    deferrable: false,
    speeds: [1, 1, 2],
    networkMilliseconds: 1.5,
};
const readRoute = { method: "GET", path: "/", once: false };
const onceRoute = { method: "POST", path: "/", once: true };

export const hallam: Customer = {
    name: "hallam",
    token: "hallam-trial-token",
    zones: hallamZones,
    pools: [
        { ...hallamPool, ...readRoute, name: "tray-stock", byKey: true, targets: 12, serviceMilliseconds: 2 },
        { ...hallamPool, ...onceRoute, name: "orders", byKey: true, targets: 6, serviceMilliseconds: 4 },
        {
            ...hallamPool,
            ...readRoute,
            name: "archive",
            byKey: false,
            targets: 10,
            serviceMilliseconds: 8,
            deferrable: true,
        },
    ],
};

export const verhaeghe: Customer = {
    name: "verhaeghe",
    token: "verhaeghe-trial-token",
    zones: verhaegheZones,
    pools: [
        { ...verhaeghePool, ...readRoute, name: "balances", byKey: true, targets: 10, serviceMilliseconds: 2 },
        { ...verhaeghePool, ...onceRoute, name: "redemptions", byKey: true, targets: 8, serviceMilliseconds: 4 },
        { ...verhaeghePool, ...readRoute, name: "roster", byKey: false, targets: 10, serviceMilliseconds: 3 },
    ],
};

export const customers: Customer[] = [hallam, verhaeghe];

/** Creates the plan of a customer. */
export const createPlan = (customer: Customer): Plan => ({
    customer: customer.name,
    tokenHashes: [createHash("sha256").update(customer.token).digest("hex")],
});

/** Creates the allowance of a customer, which covers all of its own pools. */
export const createAllowance = (customer: Customer): Allowance => ({
    uses: customer.pools.map(pool => ({ pool: pool.name })),
});

/** Relative speed of a target by its index in the pool. */
export const targetSpeed = (shape: PoolShape, index: number): number => shape.speeds[index % shape.speeds.length];

/** Requests a second that all targets of a pool together can serve. */
export const poolCapacity = (shape: PoolShape): number =>
    [...Array(shape.targets).keys()].reduce(
        (sum, index) => sum + targetSpeed(shape, index) * shape.concurrency * 1_000 / shape.serviceMilliseconds,
        0,
    );

/** Starts stand-ins of all targets of a pool. */
export const startTargets = (shape: PoolShape): Promise<TargetStandIn[]> =>
    Promise.all([...Array(shape.targets).keys()].map(index =>
        createTargetStandIn({
            name: `${shape.name}-${index + 1}`,
            checksGrants: true,
            byKey: shape.byKey,
            concurrency: shape.concurrency,
            connections: shape.connections,
            serviceMilliseconds: shape.serviceMilliseconds,
            faults: { slowFactor: 1 / targetSpeed(shape, index), networkMilliseconds: shape.networkMilliseconds },
        })
    ));

/** Creates the pool object for running targets. */
export const createPool = (shape: PoolShape, targets: Array<Pick<TargetStandIn, "name" | "address">>): Pool =>
    poolSchema.parse({
        customer: shape.customer,
        division: shape.byKey ? "by-key" : "any",
        checksGrants: true,
        targets: targets.map((target, index) => ({
            name: target.name,
            address: target.address,
            zone: shape.zones[index % shape.zones.length],
            concurrency: shape.concurrency,
            connections: shape.connections,
            speed: targetSpeed(shape, index),
        })),
        routes: [{
            name: "main",
            method: shape.method,
            path: shape.path,
            kind: shape.once ? "once" : "idempotent",
            deferrable: shape.deferrable,
        }],
    });
