/**
 * One key, two targets, two hosts that may coordinate, and a store, as resident hosts use them: grants whose hold runs
 * from their arrival and that may be carried out late, releases, fences that the store gives out, coordinators that are
 * stopped, cut off from the store, or killed. Time goes in ticks.
 */

export type Index = 0 | 1;

/** What the store holds, and what a coordinator believes of it. */
export type Record = { fence: number; owner: Index; predecessors: Index[] };

export type Host = {
    /** Term of which it believes itself coordinator; 0 for none. */
    term: number;
    view: Record;
    /** Ticks for which it may still grant. */
    currency: number;
    /** Ticks for which an earlier coordinator may still grant. */
    othersFor: number;
    /** Ticks since a grant of this term may have arrived at each target, and since the term began. */
    sinceArrival: [number, number];
    stopped: boolean;
};

export type Target = { seenFence: number; holdLeft: number };

/** A grant that was not answered and may be carried out later; its hold runs already. */
export type LateGrant = { target: Index; fence: number; holdLeft: number };

export type World = {
    store: Record & { term: number; coordinator: Index | undefined };
    hosts: [Host, Host];
    targets: [Target, Target];
    late: LateGrant | undefined;
    plans: number;
    terms: number;
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
    checksCurrency: boolean;
    /** Whether a new coordinator allows for grants of the one before. */
    allowsForOthers: boolean;
    /** Whether time goes on for a stopped host's currency. */
    countsStoppedTime: boolean;
    /** Whether each plan gets a new fence. */
    renewsFence: boolean;
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
    checksCurrency: true,
    allowsForOthers: true,
    countsStoppedTime: true,
    renewsFence: true,
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
    currency: 0,
    othersFor: 0,
    sinceArrival: [longAgo, longAgo],
    stopped: false,
});

export const createWorld = (): World => ({
    store: { fence: 1, owner: 0, predecessors: [], term: 0, coordinator: undefined },
    hosts: [idleHost(), idleHost()],
    targets: [{ seenFence: 0, holdLeft: 0 }, { seenFence: 0, holdLeft: 0 }],
    late: undefined,
    plans: 0,
    terms: 0,
});

const passTick = (world: World, rules: HoldRules): void => {
    for (const target of world.targets) {
        target.holdLeft = Math.max(0, target.holdLeft - 1);
    }
    if (world.late !== undefined) {
        world.late.holdLeft -= 1;
        world.late = world.late.holdLeft <= 0 ? undefined : world.late;
    }
    for (const host of world.hosts) {
        if (host.stopped && !rules.countsStoppedTime) {
            continue;
        }
        host.currency = Math.max(0, host.currency - 1);
        if (host.othersFor > 0) {
            // A grant of the coordinator before may have arrived at the end of this tick.
            host.othersFor -= 1;
            host.sinceArrival = [0, 0];
            continue;
        }
        const [first, second] = host.sinceArrival;
        host.sinceArrival = [Math.min(longAgo, first + 1), Math.min(longAgo, second + 1)];
    }
};

const takeGrant = (target: Target, fence: number, holdLeft: number): void => {
    if (fence >= target.seenFence) {
        target.seenFence = fence;
        target.holdLeft = holdLeft;
    }
};

const planNext = (view: Record, rules: HoldRules): Record => {
    const owner: Index = view.owner === 0 ? 1 : 0;
    const before = rules.remembersAllOwners ? [...view.predecessors, view.owner] : [view.owner];
    return {
        fence: rules.renewsFence ? view.fence + 1 : view.fence,
        owner,
        predecessors: indexes.filter(index => index !== owner && before.includes(index)),
    };
};

const copyRecord = ({ fence, owner, predecessors }: Record): Record => ({
    fence,
    owner,
    predecessors: [...predecessors],
});

const takeOver = (world: World, index: Index, rules: HoldRules): void => {
    const host = world.hosts[index];
    const wasOther = world.store.coordinator !== undefined && world.store.coordinator !== index;
    world.terms += 1;
    world.store.term += 1;
    world.store.coordinator = index;
    host.term = world.store.term;
    host.view = copyRecord(world.store);
    host.currency = currencyTicks;
    host.othersFor = wasOther && rules.allowsForOthers ? currencyTicks : 0;
    host.sinceArrival = [0, 0];
};

const plan = (world: World, index: Index, rules: HoldRules): void => {
    const host = world.hosts[index];
    if (rules.checksTerm && world.store.term !== host.term) {
        host.term = 0;
        return;
    }
    host.view = planNext(host.view, rules);
    world.plans += 1;
    world.store = { ...world.store, ...copyRecord(host.view) };
};

const free = (host: Host, target: Index): void => {
    host.view.predecessors = host.view.predecessors.filter(index => index !== target);
};

const grant = (world: World, index: Index, isLate: boolean): void => {
    const host = world.hosts[index];
    const { owner, fence } = host.view;
    host.sinceArrival[owner] = 0;
    if (isLate) {
        world.late = { target: owner, fence, holdLeft: holdTicks };
        return;
    }
    takeGrant(world.targets[owner], fence, holdTicks);
};

const release = (world: World, index: Index, target: Index, rules: HoldRules): void => {
    const { view } = world.hosts[index];
    const fence = rules.releasesWithNewFence ? view.fence : view.fence - 1;
    world.targets[target].seenFence = Math.max(fence, world.targets[target].seenFence);
    world.targets[target].holdLeft = 0;
    free(world.hosts[index], target);
};

/** The world after the event; the one before is not changed. */
export const stepOf = (before: World, event: HoldEvent, rules: HoldRules): World => {
    const world = structuredClone(before);
    switch (event.type) {
        case "tick":
            passTick(world, rules);
            break;
        case "take-over":
            takeOver(world, event.host, rules);
            break;
        case "beat":
            world.hosts[event.host].currency = currencyTicks;
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
            takeGrant(world.targets[world.late!.target], world.late!.fence, world.late!.holdLeft);
            world.late = undefined;
            break;
    }
    return world;
};

const hostEvents = (world: World, index: Index, rules: HoldRules): HoldEvent[] => {
    const host = world.hosts[index];
    const isNamed = world.store.coordinator === index && world.store.term === host.term;
    if (host.stopped) {
        return [{ type: "go-on", host: index }];
    }
    const events: HoldEvent[] = [];
    if (!isNamed && world.terms < maxTerms) {
        events.push({ type: "take-over", host: index });
    }
    if (host.term === 0) {
        return events;
    }
    events.push({ type: "stop", host: index }, { type: "kill", host: index });
    if (isNamed) {
        events.push({ type: "beat", host: index });
    }
    if (world.plans < maxPlans) {
        events.push({ type: "plan", host: index });
    }
    for (const target of host.view.predecessors) {
        events.push({ type: "release", host: index, target });
        if (host.sinceArrival[target] >= rules.lapseTicks) {
            events.push({ type: "lapse", host: index, target });
        }
    }
    const isFree = host.view.predecessors.length === 0 || !rules.grantsAfterRelease;
    if (isFree && (host.currency > 0 || !rules.checksCurrency)) {
        events.push({ type: "grant", host: index });
        if (world.late === undefined) {
            events.push({ type: "grant-late", host: index });
        }
    }
    return events;
};

/** What may happen next. */
export const eventsOf = (world: World, rules: HoldRules): HoldEvent[] => [
    { type: "tick" },
    ...(world.late === undefined ? [] : [{ type: "carry-out" } as const]),
    ...indexes.flatMap(index => hostEvents(world, index, rules)),
];
