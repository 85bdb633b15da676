import test from "ava";
import { createRandom } from "../../bench/random.ts";
import { chooseHotKeys, createKeySketch, defaultHotKeyOptions } from "../../src/decisions/hotkeys.ts";

test("the sketch holds a bounded number of keys and finds the hot ones among many", t => {
    const sketch = createKeySketch(256);
    const random = createRandom(11);
    for (let request = 0; request < 50_000; request += 1) {
        const unit = random.uniform();
        sketch.add(unit < 0.05 ? "first" : unit < 0.08 ? "second" : `key-${random.integerBelow(20_000)}`);
    }
    t.true(sketch.size() <= 256);
    t.deepEqual(sketch.top(2).map(entry => entry.key), ["first", "second"]);
});

test("a count is never higher than the truth", t => {
    const sketch = createKeySketch(8);
    const truth = new Map<string, number>();
    const random = createRandom(3);
    for (let request = 0; request < 5_000; request += 1) {
        const key = `key-${Math.floor(random.uniform() ** 3 * 40)}`;
        truth.set(key, (truth.get(key) ?? 0) + 1);
        sketch.add(key);
    }
    for (const { key, count } of sketch.top(8)) {
        t.true(count <= (truth.get(key) ?? 0), key);
    }
});

const choiceCases: Array<{ title: string; lifted: string[]; rates: Array<[string, number]>; chosen: string[] }> = [
    { title: "a key below the share stays in its slot", lifted: [], rates: [["k", 9]], chosen: [] },
    { title: "a hot key is lifted", lifted: [], rates: [["k", 10]], chosen: ["k"] },
    { title: "a lifted key stays while it cools", lifted: ["k"], rates: [["k", 5]], chosen: ["k"] },
    { title: "a cold key goes back", lifted: ["k"], rates: [["k", 2]], chosen: [] },
    { title: "hottest first", lifted: ["a"], rates: [["a", 20], ["b", 30]], chosen: ["b", "a"] },
];

for (const { title, lifted, rates, chosen } of choiceCases) {
    test(title, t => t.deepEqual(chooseHotKeys(lifted, new Map(rates), 100, defaultHotKeyOptions), chosen));
}

test("no more keys are lifted than the limit", t => {
    const rates = new Map([...Array(20).keys()].map(index => [`k${index}`, 50 + index]));
    t.is(chooseHotKeys([], rates, 100, { ...defaultHotKeyOptions, maxKeys: 5 }).length, 5);
});
