/**
 * Compares ways to place keys by the imbalance that they cause among the targets of a pool: hashing alone, slots alone, and
 * placement by load with hot keys placed apart from their slots. Keys have either an even or a Zipf 0.99 load. Run with
 * `tsx bench/balance.ts`.
 */
import { defaultBalanceOptions, imbalanceOf, rebalance } from "../src/decisions/balance.ts";
import { createSlotHash } from "../src/decisions/hash.ts";
import { chooseHotKeys, defaultHotKeyOptions } from "../src/decisions/hotkeys.ts";

const slotCount = 1_024;
const keyCount = 100_000;
const rounds = 12;
const slotHash = await createSlotHash();
const keys = [...Array(keyCount).keys()].map(index => `key-${index}`);

/** Load of each key, as a share of the total load. */
const createKeyLoads = (exponent: number): number[] => {
    const relativeLoads = [...keys.keys()].map(index => 1 / (index + 1) ** exponent);
    const total = relativeLoads.reduce((sum, load) => sum + load, 0);
    return relativeLoads.map(load => load / total);
};

const printImbalance = (title: string, exponent: number, targets: number): void => {
    const loads = createKeyLoads(exponent);
    const weights = new Array<number>(targets).fill(1);
    const slotLoads = new Array<number>(slotCount).fill(0);
    keys.forEach((key, index) => {
        slotLoads[slotHash(key, slotCount)] += loads[index];
    });
    const ownersByHash = keys.map(key => slotHash(key, targets));
    const hashImbalance = imbalanceOf({ owners: ownersByHash, loads, weights });
    const initialOwners = [...slotLoads.keys()].map(slot => slot % targets);
    const slotImbalance = imbalanceOf({ owners: initialOwners, loads: slotLoads, weights });
    const loadByKey = new Map(keys.map((key, index) => [key, loads[index]]));
    const hotKeys = chooseHotKeys([], loadByKey, 1 / targets, defaultHotKeyOptions);
    const slotLoadsWithoutHotKeys = [...slotLoads];
    hotKeys.forEach(key => {
        slotLoadsWithoutHotKeys[slotHash(key, slotCount)] -= loadByKey.get(key) ?? 0;
    });
    const itemLoads = [...slotLoadsWithoutHotKeys, ...hotKeys.map(key => loadByKey.get(key) ?? 0)];
    let owners = [...initialOwners, ...hotKeys.map(key => initialOwners[slotHash(key, slotCount)])];
    const before = owners;
    for (let round = 0; round < rounds; round += 1) {
        owners = rebalance({ owners, loads: itemLoads, weights }, defaultBalanceOptions);
    }
    const moved = owners.filter((owner, item) => owner !== before[item]).length;
    const placedImbalance = imbalanceOf({ owners, loads: itemLoads, weights });
    const figures = [hashImbalance, slotImbalance, placedImbalance].map(value => value.toFixed(3)).join(" ");
    console.log(`${title} targets=${targets} hash/slots/placed=${figures} moved=${moved} hot=${hotKeys.length}`);
};

for (const targets of [6, 12]) {
    printImbalance("even", 0, targets);
    printImbalance("zipf-0.99", 0.99, targets);
}
