/**
 * Hosts of several zones that share loads and measures, on a virtual clock.
 */
import { type LoadsMessage, loadsPath } from "../../../src/contracts/statemessages.ts";
import { silentLog } from "../../../src/links/logs.ts";
import { createMetrics } from "../../../src/links/metrics.ts";
import { createSharedLoads, type SharedLoads } from "../../../src/machines/resident/sharedloads.ts";
import { measuresField } from "../../../src/machines/resident/sharedmeasures.ts";
import type { ReaderCandidate } from "../../../src/zones/readers.ts";
import { createVirtualClock } from "../fakes/clock.ts";
import { createFakeNetwork } from "./fakenetwork.ts";

/** Three zones with a reader and two followers each, and their shared loads. */
export const setUpZones = () => {
    const clock = createVirtualClock();
    const network = createFakeNetwork(clock);
    const { signal } = new AbortController();
    const zones = ["z1", "z2", "z3"].map(zone => {
        const reader: ReaderCandidate = { name: `${zone}-reader`, zone, address: `${zone}:0`, processor: 1 };
        const names = [reader.name, `${zone}-a`, `${zone}-b`];
        return { zone, reader, names };
    });
    const all = new Map<string, SharedLoads>();
    /** Messages within zones that carry measures. */
    const counts = { measures: 0 };
    const count = (message: LoadsMessage): LoadsMessage => {
        counts.measures += message.measures === undefined ? 0 : 1;
        return message;
    };
    const create = ({ zone, reader, names }: (typeof zones)[number], name: string): void => {
        const isReader = name === reader.name;
        const others = zones.filter(other => other.zone !== zone).map(other => [other.reader]);
        const shared = createSharedLoads({
            isReader: () => isReader,
            otherReaders: () => others,
            dial: network.dialerOf(isReader ? reader.address : name),
            sendToReader: message => {
                all.get(reader.name)?.receiveFollower(name, count(message));
                return true;
            },
            sendToFollowers: (loads, measures) => {
                const message = count({ kind: "loads", whole: false, loads, ...measuresField(measures) });
                names.filter(other => other !== reader.name).forEach(other => all.get(other)?.receiveTotals(message));
            },
            clock,
            log: silentLog,
            metrics: createMetrics(),
            signal,
        });
        if (isReader) {
            network.listen(reader.address, { [loadsPath]: shared.service });
        }
        all.set(name, shared);
    };
    const introduce = (name: string, reader: string): void =>
        all.get(name)?.receiveTotals(all.get(reader)?.wholeTotals() ?? { kind: "loads", whole: true, loads: [] });
    for (const zone of zones) {
        zone.names.forEach(name => create(zone, name));
        zone.names.filter(name => name !== zone.reader.name).forEach(name => introduce(name, zone.reader.name));
    }
    /** Adds a follower to the zone. */
    const join = (name: string): SharedLoads | undefined => {
        const zone = zones.find(other => other.zone === name);
        if (zone !== undefined) {
            const late = `${name}-late`;
            create(zone, late);
            zone.names.push(late);
            introduce(late, zone.reader.name);
        }
        return all.get(`${name}-late`);
    };
    return { clock, network, zones, all, counts, join };
};
