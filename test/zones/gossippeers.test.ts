/**
 * Choice of the hosts that a host gossips with. Guards against hubs behind thin links: they pass each fact on to all hosts of
 * their zone, which made them late with their own requests.
 */
import test from "ava";
import { digestHash } from "../../src/zones/digesthash.ts";
import { gossipLinks, rankGossipPeers } from "../../src/zones/gossippeers.ts";
import type { ReaderCandidate } from "../../src/zones/readers.ts";

const createHosts = (links: Array<number | undefined>, processors: number[]): ReaderCandidate[] =>
    Array.from({ length: 36 }, (...[, index]) => ({
        name: `host-${index}`,
        zone: `z${index % 3}`,
        address: `10.0.0.${index}:1`,
        processor: processors[Math.floor(index / 3) % processors.length],
        linkMegabits: links[Math.floor(index / 3) % links.length],
    }));

const cases = [
    { title: "two in six have fast links", links: [10, 10, 200, 10, 200, 10], processors: [1] },
    { title: "two in six have fast links and large processors", links: [10, 10, 200], processors: [0.2, 0.2, 1.35] },
    { title: "no host tells its link", links: [undefined], processors: [0.2, 1.35] },
    { title: "all are alike", links: [100], processors: [1] },
];

for (const { title, links, processors } of cases) {
    test(`hosts gossip with those of most capacity where ${title}`, t => {
        const hosts = createHosts(links, processors);
        const largest = Math.max(...processors);
        const fastest = Math.max(...links.map(link => link ?? 0));
        const isFit = ({ processor, linkMegabits }: ReaderCandidate): boolean =>
            processor >= largest / 2 && (linkMegabits ?? fastest) >= fastest / 2;
        for (const host of hosts) {
            const { ownZone, otherZones } = rankGossipPeers(digestHash, host, hosts);
            t.true(ownZone.slice(0, gossipLinks).every(isFit));
            otherZones.forEach(others => t.true(others.slice(0, gossipLinks).every(isFit)));
            // Hosts that rank before each other would leave a zone without hubs.
            ownZone.forEach(other =>
                t.false(
                    rankGossipPeers(digestHash, other, hosts).ownZone.some(({ name }) => name === host.name),
                )
            );
        }
        for (const zone of ["z0", "z1", "z2"]) {
            const hubs = hosts.filter(host =>
                host.zone === zone && rankGossipPeers(digestHash, host, hosts).ownZone.length < gossipLinks
            );
            t.is(hubs.length, gossipLinks);
        }
    });
}
