/**
 * Compares ways of placing keys: imbalance of a pool's targets on even keys and on a Zipf 0.99 load, for hashing alone
 * and for placement by load with hot keys lifted out. `tsx bench/balance.ts`.
 */
import { defaultBalanceOptions, imbalanceOf, rebalance } from "../src/decisions/balance.ts";
import { createSlotHash } from "../src/decisions/hash.ts";
import { chooseHotKeys, defaultHotKeyOptions } from "../src/decisions/hotkeys.ts";

const slotCount = 1_024;
const keyCount = 100_000;
const rounds = 12;
const slotHash = await createSlotHash();
const keys = [...Array(keyCount).keys()].map(index => `key-${index}`);

/** Load of each key, as a share of the whole. */
const loadsOf = (exponent: number): number[] => {
    const raw = [...keys.keys()].map(index => 1 / (index + 1) ** exponent);
    const total = raw.reduce((sum, load) => sum + load, 0);
    return raw.map(load => load / total);
};

const measure = (title: string, exponent: number, targets: number): void => {
    const loads = loadsOf(exponent);
    const weights = new Array<number>(targets).fill(1);
    const slotLoads = new Array<number>(slotCount).fill(0);
    keys.forEach((key, index) => {
        slotLoads[slotHash(key, slotCount)] += loads[index];
    });
    const hashed = keys.map(key => slotHash(key, targets));
    const plain = imbalanceOf({ owners: hashed, loads, weights });
    const start = [...slotLoads.keys()].map(slot => slot % targets);
    const bySlot = imbalanceOf({ owners: start, loads: slotLoads, weights });
    const rates = new Map(keys.map((key, index) => [key, loads[index]]));
    const hot = chooseHotKeys([], rates, 1 / targets, defaultHotKeyOptions);
    const rest = [...slotLoads];
    hot.forEach(key => {
        rest[slotHash(key, slotCount)] -= rates.get(key) ?? 0;
    });
    const itemLoads = [...rest, ...hot.map(key => rates.get(key) ?? 0)];
    let owners = [...start, ...hot.map(key => start[slotHash(key, slotCount)])];
    const before = owners;
    for (let round = 0; round < rounds; round += 1) {
        owners = rebalance({ owners, loads: itemLoads, weights }, defaultBalanceOptions);
    }
    const moved = owners.filter((owner, item) => owner !== before[item]).length;
    const placed = imbalanceOf({ owners, loads: itemLoads, weights });
    const figures = [plain, bySlot, placed].map(value => value.toFixed(3)).join(" ");
    console.log(`${title} targets=${targets} hash/slots/placed=${figures} moved=${moved} hot=${hot.length}`);
};

for (const targets of [6, 12]) {
    measure("even", 0, targets);
    measure("zipf-0.99", 0.99, targets);
}
