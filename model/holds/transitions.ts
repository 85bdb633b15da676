/**
 * One key, two targets, two hosts that may coordinate, and a store, as resident hosts use them: grants whose hold runs
 * from their arrival and that may be carried out late, releases, fences that the store gives out, coordinators that are
 * stopped, cut off from the store, or killed. Time goes in ticks.
 */

export type Index = 0 | 1;

/** What the store holds, and what a coordinator believes of it. */
export type OwnershipRecord = { fence: number; owner: Index; predecessors: Index[] };

export type Host = {
    /** Term of which it believes itself coordinator; 0 for none. */
    term: number;
    view: OwnershipRecord;
    /** Ticks for which it may still grant. */
    grantTicksLeft: number;
    /** Ticks for which an earlier coordinator may still grant. */
    formerMayGrantTicks: number;
    /** Ticks since a grant of this term may have arrived at each target, and since the term began. */
    ticksSinceArrival: [number, number];
    stopped: boolean;
};

export type Target = { seenFence: number; holdTicksLeft: number };

/** A grant that was not answered and may be carried out later; its hold runs already. */
export type LateGrant = { target: Index; fence: number; holdTicksLeft: number };

export type HoldState = {
    store: OwnershipRecord & { term: number; coordinator: Index | undefined };
    hosts: [Host, Host];
    targets: [Target, Target];
    lateGrant: LateGrant | undefined;
    planCount: number;
    termCount: number;
};

export type HoldEvent =
    | { type: "tick" }
    | { type: "take-over" | "beat" | "plan" | "stop" | "go-on" | "kill"; host: Index }
    | { type: "release" | "lapse"; host: Index; target: Index }
    | { type: "grant" | "grant-late"; host: Index }
    | { type: "carry-out" };

/** The rules of the design, each of which can be broken. */
export type HoldRules = {
    /** Ticks that the keeper waits before a silent owner counts as lapsed. */
    lapseTicks: number;
    /** Whether a grant waits until the former owners have stopped. */
    grantsAfterRelease: boolean;
    /** Whether grants end some ticks after the store's last confirmation. */
    stopsWithoutConfirmation: boolean;
    /** Whether a new coordinator allows for grants of the one before. */
    waitsForFormerCoordinator: boolean;
    /** Whether time goes on for a stopped host's currency. */
    countsStoppedTime: boolean;
    /** Whether each plan gets a new fence. */
    raisesFence: boolean;
    /** Whether all owners before are remembered, or only the last. */
    remembersAllOwners: boolean;
    /** Whether a release carries the new fence, which shuts out late renewals. */
    releasesWithNewFence: boolean;
    /** Whether the term in the store is checked by a plan's write. */
    checksTerm: boolean;
};

export const holdRules: HoldRules = {
    lapseTicks: 2,
    grantsAfterRelease: true,
    stopsWithoutConfirmation: true,
    waitsForFormerCoordinator: true,
    countsStoppedTime: true,
    raisesFence: true,
    remembersAllOwners: true,
    releasesWithNewFence: true,
    checksTerm: true,
};

const holdTicks = 2;
const currencyTicks = 2;
const longAgo = 3;
const maxPlans = 2;
const maxTerms = 2;

const indexes: Index[] = [0, 1];

const idleHost = (): Host => ({
    term: 0,
    view: { fence: 0, owner: 0, predecessors: [] },
    grantTicksLeft: 0,
    formerMayGrantTicks: 0,
    ticksSinceArrival: [longAgo, longAgo],
    stopped: false,
});

export const createInitialState = (): HoldState => ({
    store: { fence: 1, owner: 0, predecessors: [], term: 0, coordinator: undefined },
    hosts: [idleHost(), idleHost()],
    targets: [{ seenFence: 0, holdTicksLeft: 0 }, { seenFence: 0, holdTicksLeft: 0 }],
    lateGrant: undefined,
    planCount: 0,
    termCount: 0,
});

const passTick = (world: HoldState, rules: HoldRules): void => {
    for (const target of world.targets) {
        target.holdTicksLeft = Math.max(0, target.holdTicksLeft - 1);
    }
    if (world.lateGrant !== undefined) {
        world.lateGrant.holdTicksLeft -= 1;
        world.lateGrant = world.lateGrant.holdTicksLeft <= 0 ? undefined : world.lateGrant;
    }
    for (const host of world.hosts) {
        if (host.stopped && !rules.countsStoppedTime) {
            continue;
        }
        host.grantTicksLeft = Math.max(0, host.grantTicksLeft - 1);
        if (host.formerMayGrantTicks > 0) {
            // A grant of the coordinator before may have arrived at the end of this tick.
            host.formerMayGrantTicks -= 1;
            host.ticksSinceArrival = [0, 0];
            continue;
        }
        const [first, second] = host.ticksSinceArrival;
        host.ticksSinceArrival = [Math.min(longAgo, first + 1), Math.min(longAgo, second + 1)];
    }
};

const takeGrant = (target: Target, fence: number, holdLeft: number): void => {
    if (fence >= target.seenFence) {
        target.seenFence = fence;
        target.holdTicksLeft = holdLeft;
    }
};

const planNext = (view: OwnershipRecord, rules: HoldRules): OwnershipRecord => {
    const owner: Index = view.owner === 0 ? 1 : 0;
    const before = rules.remembersAllOwners ? [...view.predecessors, view.owner] : [view.owner];
    return {
        fence: rules.raisesFence ? view.fence + 1 : view.fence,
        owner,
        predecessors: indexes.filter(index => index !== owner && before.includes(index)),
    };
};

const copyRecord = ({ fence, owner, predecessors }: OwnershipRecord): OwnershipRecord => ({
    fence,
    owner,
    predecessors: [...predecessors],
});

const takeOver = (world: HoldState, index: Index, rules: HoldRules): void => {
    const host = world.hosts[index];
    const wasOther = world.store.coordinator !== undefined && world.store.coordinator !== index;
    world.termCount += 1;
    world.store.term += 1;
    world.store.coordinator = index;
    host.term = world.store.term;
    host.view = copyRecord(world.store);
    host.grantTicksLeft = currencyTicks;
    host.formerMayGrantTicks = wasOther && rules.waitsForFormerCoordinator ? currencyTicks : 0;
    host.ticksSinceArrival = [0, 0];
};

const plan = (world: HoldState, index: Index, rules: HoldRules): void => {
    const host = world.hosts[index];
    if (rules.checksTerm && world.store.term !== host.term) {
        host.term = 0;
        return;
    }
    host.view = planNext(host.view, rules);
    world.planCount += 1;
    world.store = { ...world.store, ...copyRecord(host.view) };
};

const free = (host: Host, target: Index): void => {
    host.view.predecessors = host.view.predecessors.filter(index => index !== target);
};

const grant = (world: HoldState, index: Index, isLate: boolean): void => {
    const host = world.hosts[index];
    const { owner, fence } = host.view;
    host.ticksSinceArrival[owner] = 0;
    if (isLate) {
        world.lateGrant = { target: owner, fence, holdTicksLeft: holdTicks };
        return;
    }
    takeGrant(world.targets[owner], fence, holdTicks);
};

const release = (world: HoldState, index: Index, target: Index, rules: HoldRules): void => {
    const { view } = world.hosts[index];
    const fence = rules.releasesWithNewFence ? view.fence : view.fence - 1;
    world.targets[target].seenFence = Math.max(fence, world.targets[target].seenFence);
    world.targets[target].holdTicksLeft = 0;
    free(world.hosts[index], target);
};

/** The world after the event; the one before is not changed. */
export const nextState = (before: HoldState, event: HoldEvent, rules: HoldRules): HoldState => {
    const world = structuredClone(before);
    switch (event.type) {
        case "tick":
            passTick(world, rules);
            break;
        case "take-over":
            takeOver(world, event.host, rules);
            break;
        case "beat":
            world.hosts[event.host].grantTicksLeft = currencyTicks;
            break;
        case "plan":
            plan(world, event.host, rules);
            break;
        case "stop":
            world.hosts[event.host].stopped = true;
            break;
        case "go-on":
            world.hosts[event.host].stopped = false;
            break;
        case "kill":
            world.hosts[event.host] = idleHost();
            break;
        case "release":
            release(world, event.host, event.target, rules);
            break;
        case "lapse":
            free(world.hosts[event.host], event.target);
            break;
        case "grant":
        case "grant-late":
            grant(world, event.host, event.type === "grant-late");
            break;
        case "carry-out":
            takeGrant(world.targets[world.lateGrant!.target], world.lateGrant!.fence, world.lateGrant!.holdTicksLeft);
            world.lateGrant = undefined;
            break;
    }
    return world;
};

const hostEvents = (world: HoldState, index: Index, rules: HoldRules): HoldEvent[] => {
    const host = world.hosts[index];
    const isNamed = world.store.coordinator === index && world.store.term === host.term;
    if (host.stopped) {
        return [{ type: "go-on", host: index }];
    }
    const events: HoldEvent[] = [];
    if (!isNamed && world.termCount < maxTerms) {
        events.push({ type: "take-over", host: index });
    }
    if (host.term === 0) {
        return events;
    }
    events.push({ type: "stop", host: index }, { type: "kill", host: index });
    if (isNamed) {
        events.push({ type: "beat", host: index });
    }
    if (world.planCount < maxPlans) {
        events.push({ type: "plan", host: index });
    }
    for (const target of host.view.predecessors) {
        events.push({ type: "release", host: index, target });
        if (host.ticksSinceArrival[target] >= rules.lapseTicks) {
            events.push({ type: "lapse", host: index, target });
        }
    }
    const isFree = host.view.predecessors.length === 0 || !rules.grantsAfterRelease;
    if (isFree && (host.grantTicksLeft > 0 || !rules.stopsWithoutConfirmation)) {
        events.push({ type: "grant", host: index });
        if (world.lateGrant === undefined) {
            events.push({ type: "grant-late", host: index });
        }
    }
    return events;
};

/** What may happen next. */
export const enabledEvents = (world: HoldState, rules: HoldRules): HoldEvent[] => [
    { type: "tick" },
    ...(world.lateGrant === undefined ? [] : [{ type: "carry-out" } as const]),
    ...indexes.flatMap(index => hostEvents(world, index, rules)),
];
