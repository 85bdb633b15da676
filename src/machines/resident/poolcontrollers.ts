/**
 * The range controllers of a host, one for each pool whose targets own keys.
 */
import { messageOf } from "../../contracts/errors.ts";
import type { StoreObject } from "../../contracts/objectstore.ts";
import { readPoolObjectName } from "../../decisions/poolobjectnames.ts";
import type { Log } from "../../links/logs.ts";
import { storeKinds } from "./coordination.ts";
import type { RangeController } from "./rangecontroller.ts";
import { applyAlone } from "./storewatchers.ts";

export type PoolControllers = {
    /** Starts the controller of a pool that has none. */
    start: (pool: string) => void;
    get: (pool: string) => RangeController | undefined;
    /** Takes in who coordinates a pool, also before the pool has a controller. */
    applyCoordination: (object: StoreObject, removed: boolean) => void;
    /** Whether this host coordinates the first of the pools that have a coordinator. */
    coordinatesFirstPool: () => boolean;
    /** Gives up all that this host coordinates, without waiting for the store. */
    resign: () => void;
};

/** Creates the controllers of a host, none at first. */
export const createPoolControllers = (create: (pool: string) => RangeController, log: Log): PoolControllers => {
    const controllers = new Map<string, RangeController>();
    /** The last coordination object of each name. */
    const lastCoordination = new Map<string, { object: StoreObject; removed: boolean }>();
    return {
        start: pool => {
            if (controllers.has(pool)) {
                return;
            }
            const controller = create(pool);
            controllers.set(pool, controller);
            for (const { object, removed } of lastCoordination.values()) {
                if (readPoolObjectName(object.name).pool === pool) {
                    controller.applyCoordination(object, removed);
                }
            }
        },
        get: pool => controllers.get(pool),
        applyCoordination: (object, removed) => {
            lastCoordination.set(object.name, { object, removed });
            applyAlone(log, storeKinds.coordination, object, () => {
                controllers.get(readPoolObjectName(object.name).pool)?.applyCoordination(object, removed);
            });
        },
        coordinatesFirstPool: () => {
            const coordinated = [...controllers].filter(([, controller]) => controller.reportsAddress() !== undefined);
            const [first] = coordinated.sort(([left], [right]) => left < right ? -1 : 1);
            return first?.[1].isCoordinator() === true;
        },
        resign: () =>
            controllers.forEach(controller => {
                controller.resign().catch((error: unknown) => log.warn("resign-failed", { error: messageOf(error) }));
            }),
    };
};
