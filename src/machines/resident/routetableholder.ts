/**
 * The route table in force on this host. A table that is not valid changes nothing, and the version never goes back.
 */
import type { StoreObject } from "../../contracts/objectstore.ts";
import type { RouteTable } from "../../contracts/routing.ts";
import { createRouteIndex, type RouteIndex } from "../../decisions/routetable.ts";
import type { Log } from "../../links/logs.ts";

export type ActiveRouteTable = { table: RouteTable; index: RouteIndex };

export type RouteTableHolder = {
    /** Undefined until the first valid table came. */
    current: () => ActiveRouteTable | undefined;
    onChange: (listener: (table: RouteTable) => void) => void;
    put: (object: StoreObject) => void;
};

export type RouteTableHolderOptions = { decode: (object: StoreObject) => RouteTable | string; log: Log };

/** Creates the holder of the table, empty at first. */
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
            });
            listeners.forEach(listener => listener(table));
        },
    };
};
