/**
 * Planning who owns which keys: every key has a live owner, and keys move where fewer requests will run and wait in all,
 * as long as that gains more than the move costs. Fast targets get more than their part of a light load, since a request
 * ends sooner there. Pure: the same inputs give the same plan.
 */
import { isSameOwner, maxKey, type OwnedRange, type Ownership, type RangeOwner } from "../contracts/ownership.ts";
import type { KeySegment } from "./keyload.ts";
import { expectedRequestsAtTarget } from "./queueing.ts";

export type RangeTarget = {
    owner: RangeOwner;
    /** Requests a second that it can work off. */
    capacity: number;
    slots: number;
};

/** Keys, both ends included, that go to a target. */
export type RangeMove = { from: number; to: number; owner: RangeOwner };

export type RangePlanInput = {
    ranges: OwnedRange[];
    targets: RangeTarget[];
    /** All keys in order, with their load in requests a second. */
    segments: KeySegment[];
    /** Requests on which the loads rest. */
    sampleCount: number;
    /** Cuts that may be made now, to relieve targets or for new ones; keys without a live owner move in any case. */
    maxSplits: number;
    /** Whether the range may move now; one that has just moved stays for a while. */
    isMovable: (range: OwnedRange) => boolean;
};

/** A target takes the keys beside its own only up to this part of its capacity: its queue stays short. */
const joinedBelow = 0.65;
/** A move must lower the expected requests at all targets by so many: less is lost in the noise of the loads. */
const minGain = 0.2;
/** What it costs to move all keys, in requests: a move stops its keys for a moment. */
const allKeysCost = 5;
/** Targets that are tried as givers, those where one request more costs most, and as takers, where it costs least. */
const triedGivers = 3;
const triedTakers = 4;
/** Load, in requests a second, by which the cost of one request more is found. */
const marginalLoad = 1;
/** Requests that loads must rest on before they are balanced: fewer say too little about each target. */
const minEvidence = 60;
/** Ranges a target on average; more cost too many renewals. */
const maxRangesPerTarget = 6;
/** From here on small ranges are given to the owner of a neighbour, so that there is room for cuts. */
const crowdedRangesPerTarget = 4;
/** A bucket of keys goes where the room is at least this part of its load, so that runs do not break at rounding. */
const fittingShare = 0.5;
/** What a cut beside a range of the receiver is worth, in requests: it leaves no more ranges than before. */
const neighbourGain = 0.05;

/** A target with its load, as a part of its capacity. */
type Share = { target: RangeTarget; load: number };

/** Sums of load up to each atom, to find the load of any run of keys. */
const createLoadSums = (atoms: KeySegment[]) => {
    const sums = [0];
    for (const atom of atoms) {
        sums.push(sums[sums.length - 1] + atom.load);
    }
    /** Load of all keys below the given one. */
    const below = (key: number): number => {
        let low = 0;
        let high = atoms.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (atoms[middle].to < key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        const atom = atoms[low];
        if (atom === undefined || key <= atom.from) {
            return sums[low];
        }
        return sums[low] + atom.load * (key - atom.from) / (atom.to - atom.from + 1);
    };
    return { between: (from: number, to: number): number => below(to + 1) - below(from) };
};

type LoadSums = ReturnType<typeof createLoadSums>;

const sharesOf = (ranges: OwnedRange[], targets: RangeTarget[], sums: LoadSums): Share[] => {
    const shares = targets.map(target => ({ target, load: 0 }));
    const byName = new Map(shares.map(share => [share.target.owner.target, share]));
    for (const range of ranges) {
        const share = byName.get(range.owner.target);
        if (share !== undefined && isSameOwner(share.target.owner, range.owner)) {
            share.load += sums.between(range.from, range.to);
        }
    }
    return shares;
};

const requestsAt = ({ target, load }: Share, change = 0): number =>
    expectedRequestsAtTarget(Math.max(0, load + change), target.capacity, target.slots);

/** By how many the expected requests at the target rise when so much load comes. */
const burden = (share: Share, load: number): number => requestsAt(share, load) - requestsAt(share);

const partOfKeys = ({ from, to }: { from: number; to: number }): number => (to - from + 1) / (maxKey + 1);

/** By how many the expected requests at the target rise when a little more load comes. */
const marginalCost = (share: Share): number => burden(share, marginalLoad);

const atomsBetween = (atoms: KeySegment[], from: number, to: number): KeySegment[] =>
    atoms.filter(atom => atom.to >= from && atom.from <= to)
        .map(atom => ({ ...atom, from: Math.max(atom.from, from), to: Math.min(atom.to, to) }));

/** Deals keys without a live owner to the targets with the most room, in runs as long as their room allows. */
const deal = (from: number, to: number, shares: Share[], input: RangePlanInput, sums: LoadSums): RangeMove[] => {
    const moves: RangeMove[] = [];
    const capacity = shares.reduce((sum, share) => sum + share.target.capacity, 0);
    const total = sums.between(0, maxKey);
    const room = (share: Share): number => total * share.target.capacity / capacity - share.load;
    let receiver: Share | undefined;
    for (const atom of atomsBetween(input.segments, from, to)) {
        const load = sums.between(atom.from, atom.to);
        if (receiver === undefined || room(receiver) < load * fittingShare) {
            receiver = shares.reduce((best, share) => room(share) > room(best) ? share : best);
        }
        receiver.load += load;
        const last = moves[moves.length - 1];
        if (last !== undefined && isSameOwner(last.owner, receiver.target.owner)) {
            last.to = atom.to;
        }
        else {
            moves.push({ from: atom.from, to: atom.to, owner: receiver.target.owner });
        }
    }
    return moves;
};

const gapsOf = (ranges: OwnedRange[]): Array<{ from: number; to: number }> => {
    const gaps: Array<{ from: number; to: number }> = [];
    let next = 0;
    for (const range of ranges) {
        if (range.from > next) {
            gaps.push({ from: next, to: range.from - 1 });
        }
        next = range.to + 1;
    }
    if (next <= maxKey) {
        gaps.push({ from: next, to: maxKey });
    }
    return gaps;
};

const orphansOf = (ranges: OwnedRange[], owners: RangeOwner[]): Array<{ from: number; to: number }> => {
    const live = new Map(owners.map(owner => [owner.target, owner]));
    const isLive = ({ owner }: OwnedRange): boolean => isSameOwner(live.get(owner.target), owner);
    return [...gapsOf(ranges), ...ranges.filter(range => !isLive(range))];
};

/** Whether there are keys without a live owner. Far cheaper than a plan. */
export const hasOrphanedKeys = (ranges: OwnedRange[], owners: RangeOwner[]): boolean =>
    owners.length > 0 && orphansOf(ranges, owners).length > 0;

const planOrphans = (input: RangePlanInput, sums: LoadSums): RangeMove[] => {
    const { ranges, targets } = input;
    const orphans = orphansOf(ranges, targets.map(target => target.owner));
    if (orphans.length === 0) {
        return [];
    }
    const shares = sharesOf(ranges, targets, sums);
    return orphans.flatMap(orphan => deal(orphan.from, orphan.to, shares, input, sums));
};

/** Gain: by how many the expected requests at both targets go down. */
type Cut = { from: number; to: number; load: number; receiver: Share; gain: number };

/** The ends of a range, and each of its atoms by itself: what can be cut off it without leaving many pieces. */
const piecesOf = (range: OwnedRange, atoms: KeySegment[]): Array<{ from: number; to: number; load: number }> => {
    const own = atomsBetween(atoms, range.from, range.to);
    const pieces: Array<{ from: number; to: number; load: number }> = [];
    let load = 0;
    for (const atom of own) {
        load += atom.load;
        pieces.push({ from: range.from, to: atom.to, load });
    }
    load = 0;
    for (const atom of [...own].reverse()) {
        load += atom.load;
        pieces.push({ from: atom.from, to: range.to, load });
    }
    const heaviest = own.reduce<KeySegment | undefined>(
        (most, atom) => most === undefined || atom.load > most.load ? atom : most,
        undefined,
    );
    if (heaviest !== undefined) {
        pieces.push({ from: heaviest.from, to: heaviest.to, load: heaviest.load });
    }
    return pieces;
};

/** Tells whether a target owns the keys just before or after a piece. */
const createNeighbours = (ranges: OwnedRange[]) => {
    const byFrom = new Map(ranges.map(range => [range.from, range]));
    const byTo = new Map(ranges.map(range => [range.to, range]));
    return ({ from, to }: { from: number; to: number }, owner: RangeOwner): boolean =>
        isSameOwner(byFrom.get(to + 1)?.owner, owner) || isSameOwner(byTo.get(from - 1)?.owner, owner);
};

/**
 * The cut off the donor that gains most. A donor that is not crowded keeps some keys, since a target without any is given
 * some again; a crowded one may give its last range, a busy key that a faster target can serve.
 */
const bestCut = (donor: Share, receivers: Share[], input: RangePlanInput, costOfAllKeys: number): Cut | undefined => {
    let best: Cut | undefined;
    const isBeside = createNeighbours(input.ranges);
    const all = input.ranges.filter(range => isSameOwner(range.owner, donor.target.owner));
    const owned = all.filter(range => range.predecessors.length === 0 && input.isMovable(range));
    const isCrowded = donor.load / donor.target.capacity > joinedBelow;
    const isKept = ({ from, to }: { from: number; to: number }): boolean =>
        !isCrowded && all.length === 1 && all[0].from === from && all[0].to === to;
    const donorBefore = requestsAt(donor);
    const pieces = owned.flatMap(range => piecesOf(range, input.segments));
    for (const piece of pieces.filter(candidate => !isKept(candidate))) {
        const relief = donorBefore - requestsAt(donor, -piece.load);
        for (const receiver of receivers) {
            if (receiver === donor) {
                continue;
            }
            const cost = costOfAllKeys * partOfKeys(piece);
            const gain = relief - burden(receiver, piece.load) - cost
                + (isBeside(piece, receiver.target.owner) ? neighbourGain : 0);
            if (best === undefined || gain > best.gain) {
                best = { ...piece, receiver, gain };
            }
        }
    }
    return best;
};

/** Targets that own nothing take part of the keys of the most loaded ones, whatever the load. */
const planNewcomers = (input: RangePlanInput, shares: Share[]): RangeMove[] => {
    const owns = (ranges: OwnedRange[], share: Share): boolean =>
        ranges.some(range => isSameOwner(range.owner, share.target.owner));
    const movable = input.ranges.filter(range => range.predecessors.length === 0);
    const donors = shares.filter(share => owns(movable, share))
        .sort((left, right) => requestsAt(right) - requestsAt(left));
    return shares.filter(share => !owns(input.ranges, share))
        .slice(0, Math.min(input.maxSplits, donors.length))
        .flatMap((newcomer, index) => {
            const cut = bestCut(donors[index], [newcomer], { ...input, isMovable: () => true }, 0);
            return cut === undefined ? [] : [{ from: cut.from, to: cut.to, owner: newcomer.target.owner }];
        });
};

/** The range that is cheapest to give to the owner of a neighbour where it fits, when there are many ranges. */
const planJoin = (input: RangePlanInput, shares: Share[], sums: LoadSums): RangeMove | undefined => {
    const { ranges, targets } = input;
    if (ranges.length < targets.length * crowdedRangesPerTarget) {
        return undefined;
    }
    const candidates = ranges.flatMap((range, index) => {
        const load = sums.between(range.from, range.to);
        return [ranges[index - 1], ranges[index + 1]].map(neighbour => {
            const share = shares.find(other => isSameOwner(other.target.owner, neighbour?.owner));
            const isFitting = share !== undefined && !isSameOwner(share.target.owner, range.owner)
                && range.predecessors.length === 0 && input.isMovable(range)
                && (share.load + load) / share.target.capacity < joinedBelow;
            return isFitting
                ? {
                    from: range.from,
                    to: range.to,
                    owner: share.target.owner,
                    cost: burden(share, load) + allKeysCost * partOfKeys(range),
                }
                : undefined;
        });
    }).filter(candidate => candidate !== undefined);
    const least = candidates.sort((left, right) => left.cost - right.cost)[0];
    return least === undefined ? undefined : { from: least.from, to: least.to, owner: least.owner };
};

/** A cut off one of the targets where one request more costs most. Those that gave before are left alone. */
const nextCut = (
    input: RangePlanInput,
    shares: Share[],
    before: Set<Share>,
): { donor: Share; cut: Cut } | undefined => {
    const byCost = shares.map(share => ({ share, cost: marginalCost(share) }))
        .sort((left, right) => right.cost - left.cost)
        .map(({ share }) => share);
    const takers = byCost.slice(-triedTakers);
    const givers = byCost.filter(share => !before.has(share)).slice(0, triedGivers);
    for (const donor of givers) {
        const cut = bestCut(donor, takers, input, allKeysCost);
        if (cut !== undefined && cut.gain >= minGain) {
            return { donor, cut };
        }
    }
    return undefined;
};

/**
 * The moves that are due now. Keys without a live owner come first; then targets that own nothing get their part; else
 * cuts relieve targets where requests wait or work takes long.
 */
export const planRanges = (input: RangePlanInput): RangeMove[] => {
    const { ranges, targets, segments: atoms } = input;
    if (targets.length === 0) {
        return [];
    }
    const sums = createLoadSums(atoms);
    const orphans = planOrphans(input, sums);
    if (orphans.length > 0) {
        return orphans;
    }
    const shares = sharesOf(ranges, targets, sums);
    if (input.maxSplits === 0) {
        return [];
    }
    const newcomers = planNewcomers(input, shares);
    if (newcomers.length > 0) {
        return newcomers;
    }
    const joined = planJoin(input, shares, sums);
    if (joined !== undefined) {
        return [joined];
    }
    if (input.sampleCount < minEvidence || ranges.length >= targets.length * maxRangesPerTarget) {
        return [];
    }
    const moves: RangeMove[] = [];
    const donors = new Set<Share>();
    while (moves.length < input.maxSplits) {
        const found = nextCut(input, shares, donors);
        if (found === undefined) {
            break;
        }
        const { donor, cut } = found;
        donors.add(donor);
        donor.load -= cut.load;
        cut.receiver.load += cut.load;
        moves.push({ from: cut.from, to: cut.to, owner: cut.receiver.target.owner });
    }
    return moves;
};

/** What is left of a range beside the keys of a move. */
const besides = (range: OwnedRange, move: RangeMove): OwnedRange[] => {
    const pieces: OwnedRange[] = [];
    if (range.from < move.from) {
        pieces.push({ ...range, to: Math.min(range.to, move.from - 1) });
    }
    if (range.to > move.to) {
        pieces.push({ ...range, from: Math.max(range.from, move.to + 1) });
    }
    return pieces;
};

const overlaps = (range: OwnedRange, move: RangeMove): boolean => range.from <= move.to && range.to >= move.from;

const applyMove = (ownership: Ownership, move: RangeMove): Ownership => {
    let fence = ownership.nextFence;
    const ranges: OwnedRange[] = [];
    const covered: Array<{ from: number; to: number; owners: RangeOwner[] }> = [];
    for (const range of ownership.ranges) {
        if (!overlaps(range, move)) {
            ranges.push(range);
            continue;
        }
        ranges.push(...besides(range, move));
        const owners = [...range.predecessors, range.owner];
        covered.push({ from: Math.max(range.from, move.from), to: Math.min(range.to, move.to), owners });
    }
    if (covered.length === 0) {
        covered.push({ from: move.from, to: move.to, owners: [] });
    }
    for (const { from, to, owners } of covered) {
        const predecessors = owners.filter((owner, index) =>
            !isSameOwner(owner, move.owner) && owners.findIndex(other => isSameOwner(other, owner)) === index
        );
        ranges.push({ from, to, owner: move.owner, fence, predecessors });
        fence += 1;
    }
    return { ...ownership, nextFence: fence, ranges: ranges.sort((left, right) => left.from - right.from) };
};

/** The ownership after the moves, each moved piece under a fence of its own and with all its owners before. */
export const applyMoves = (ownership: Ownership, moves: RangeMove[]): Ownership => moves.reduce(applyMove, ownership);

const canMerge = (left: OwnedRange, right: OwnedRange): boolean =>
    left.to + 1 === right.from && isSameOwner(left.owner, right.owner)
    && left.predecessors.length === 0 && right.predecessors.length === 0;

/** Joins neighbouring ranges of one owner under a new fence; the same ownership when there are none. */
export const mergeRanges = (ownership: Ownership): Ownership => {
    let { nextFence } = ownership;
    const ranges: OwnedRange[] = [];
    const grown = new Set<OwnedRange>();
    for (const range of ownership.ranges) {
        const last = ranges[ranges.length - 1];
        if (last === undefined || !canMerge(last, range)) {
            ranges.push(range);
            continue;
        }
        const merged = grown.has(last) ? last : { ...last, fence: nextFence };
        nextFence = grown.has(last) ? nextFence : nextFence + 1;
        merged.to = range.to;
        grown.add(merged);
        ranges[ranges.length - 1] = merged;
    }
    return grown.size === 0 ? ownership : { ...ownership, nextFence, ranges };
};
