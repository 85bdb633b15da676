/**
 * Holds the route table that is in force on this host. Invalid tables are ignored, and the version never decreases.
 */
import type { StoreObject } from "../../contracts/objectstore.ts";
import type { RouteTable } from "../../contracts/routing.ts";
import { createRouteIndex, type RouteIndex } from "../../decisions/routetable.ts";
import type { Log } from "../../links/logs.ts";

/** The route table in force with its index for matching. */
export type ActiveRouteTable = { table: RouteTable; index: RouteIndex };

export type RouteTableHolder = {
    /** Returns the table in force; undefined until the first valid one was read. */
    current: () => ActiveRouteTable | undefined;
    /** Adds a listener that is called with each new table. */
    onChange: (listener: (table: RouteTable) => void) => void;
    /** Takes in a table object. Ignores versions that are not newer. */
    put: (object: StoreObject) => void;
};

export type RouteTableHolderOptions = {
    /** Decodes a table, or returns what is wrong with it. */
    decode: (object: StoreObject) => RouteTable | string;
    log: Log;
};

/** Creates a holder without a table. */
export const createRouteTableHolder = ({ decode, log }: RouteTableHolderOptions): RouteTableHolder => {
    const listeners: Array<(table: RouteTable) => void> = [];
    let current: ActiveRouteTable | undefined;

    return {
        current: () => current,
        onChange: listener => listeners.push(listener),
        put: object => {
            const table = decode(object);
            const version = current?.table.version ?? 0;
            if (typeof table === "string") {
                log.warn("table-refused", { revision: object.revision, inForce: version, finding: table });
                return;
            }
            if (table.version <= version) {
                return;
            }
            current = { table, index: createRouteIndex(table) };
            const { revision } = object;
            log.info("table-in-force", {
                version: table.version,
                before: version,
                revision,
                routes: table.routes.length,
                idleMilliseconds: table.limits.idleTimeoutMilliseconds,
                headMilliseconds: table.limits.headTimeoutMilliseconds,
            });
            listeners.forEach(listener => listener(table));
        },
    };
};
