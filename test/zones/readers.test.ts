/**
 * Choice of readers: all hosts of a zone agree on the readers, and no hosts follow each other in a circle.
 */
import test from "ava";
import { digestHash } from "../../src/zones/digesthash.ts";
import { chooseReaders, type ReaderCandidate } from "../../src/zones/readers.ts";

const createHosts = (count: number, processors: number[] = [1]): ReaderCandidate[] =>
    Array.from({ length: count }, (...[, index]) => ({
        name: `host-${index}`,
        zone: "z1",
        address: `10.0.0.${index}:1`,
        processor: processors[index % processors.length],
    }));

const cases = [
    { count: 1, readers: 1 },
    { count: 3, readers: 1 },
    { count: 7, readers: 1 },
    { count: 8, readers: 2 },
    { count: 40, readers: 2 },
];

for (const { count, readers } of cases) {
    test(`a zone of ${count} hosts has ${readers} readers, on which all agree, and no circle`, t => {
        const hosts = createHosts(count);
        const choices = new Map(hosts.map(host => [host.name, chooseReaders(digestHash, host, hosts)]));
        const chosen = hosts.filter(host => choices.get(host.name)?.isReader);
        t.is(chosen.length, readers);
        for (const host of hosts.filter(other => !chosen.includes(other))) {
            const candidates = choices.get(host.name)?.candidates ?? [];
            t.deepEqual(
                candidates.slice(0, readers).map(({ name }) => name).sort(),
                chosen.map(({ name }) => name).sort(),
            );
            const { refuges } = choices.get(host.name) ?? { refuges: [] };
            t.false([host, ...candidates].some(({ name }) => refuges.some(refuge => refuge.name === name)));
            // Spare candidates rank before the host, so that none of them has the host as a candidate.
            for (const spare of candidates.slice(readers)) {
                t.false(choices.get(spare.name)?.candidates.some(({ name }) => name === host.name));
            }
        }
    });
}

test("only hosts with at least half of the largest processor are readers", t => {
    const hosts = createHosts(40, [0.2, 0.2, 0.2, 1.35, 0.675]);
    const readers = hosts.filter(host => chooseReaders(digestHash, host, hosts).isReader);
    t.true(readers.every(host => host.processor >= 0.675));
});

/** Speeds of the links of a zone's hosts in turn, and whether each of them may be one of the two readers. */
const linkCases: Array<{ title: string; links: Array<number | undefined>; processors: number[]; may: boolean[] }> = [
    {
        title: "one in five is fast",
        links: [10, 10, 200, 10, 10],
        processors: [1],
        may: [false, false, true, false, false],
    },
    { title: "half of the fastest is enough", links: [10, 100, 200], processors: [1], may: [false, true, true] },
    {
        title: "those that do not tell count as fast",
        links: [10, 200, undefined],
        processors: [1],
        may: [false, true, true],
    },
    { title: "nobody tells", links: [undefined], processors: [1], may: [true] },
    {
        title: "a fast link does not outweigh a small processor where others have both",
        links: [200, 10, 200],
        processors: [0.2, 1, 1],
        may: [false, false, true],
    },
];

for (const { title, links, processors, may } of linkCases) {
    test(`hosts with thin links are not preferred as readers: ${title}`, t => {
        const hosts = createHosts(60, processors).map((host, index) => ({
            ...host,
            linkMegabits: links[index % links.length],
        }));
        const readers = hosts.map((host, index) => ({ host, index }))
            .filter(({ host }) => chooseReaders(digestHash, host, hosts).isReader);
        t.is(readers.length, 2);
        for (const { index } of readers) {
            t.true(may[index % may.length], `host ${index}`);
        }
    });
}

test("all followers of a zone prefer the same reader, through which they share loads", t => {
    const hosts = createHosts(40);
    const followed = hosts.map(host => chooseReaders(digestHash, host, hosts))
        .filter(({ isReader }) => !isReader)
        .map(({ candidates }) => candidates[0].name);
    t.is(followed.length, 38);
    t.is(new Set(followed).size, 1);
});

test("hosts of other zones are no candidates, and a host that is not in the list counts itself", t => {
    const [self, ...others] = createHosts(3);
    const elsewhere = others.map(host => ({ ...host, zone: "z2" }));
    t.deepEqual(chooseReaders(digestHash, self, elsewhere), { isReader: true, candidates: [], refuges: [] });
});
