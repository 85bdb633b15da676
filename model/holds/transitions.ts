/**
 * The states and events of the specification of holds, as resident hosts have them: one key, two targets, two hosts
 * that may coordinate, and a store. The hold of a grant counts from its arrival, and a grant may be applied late. There
 * are releases and fences that the store gives out. Coordinators are stopped, cut off from the store, or killed. Time
 * is counted in ticks.
 */

/** Index of a host or target. */
export type Index = 0 | 1;

/** The ownership of the key as the store holds it, and as a coordinator believes it to be. */
export type OwnershipRecord = { fence: number; owner: Index; predecessors: Index[] };

export type Host = {
    /** Term in which the host believes itself to be coordinator; 0 for none. */
    term: number;
    view: OwnershipRecord;
    /** Ticks for which the host may still grant. */
    grantTicksLeft: number;
    /** Ticks for which a former coordinator may still grant. */
    formerMayGrantTicks: number;
    /**
     * For each target, ticks since the last moment at which a grant of this term, or of a former coordinator, may have
     * arrived there; at most the ticks since the term began.
     */
    ticksSinceArrival: [number, number];
    stopped: boolean;
};

export type Target = { seenFence: number; holdTicksLeft: number };

/** A grant that was not answered and may be applied later. Its hold counts already. */
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
    | { type: "take-over" | "beat" | "resign" | "retire" | "plan" | "stop" | "go-on" | "kill"; host: Index }
    | { type: "release" | "lapse"; host: Index; target: Index }
    | { type: "grant" | "grant-late"; host: Index }
    | { type: "carry-out" };

/** The rules of the design. A break replaces one of them. */
export type HoldRules = {
    /** Ticks without a possible arrival of a grant after which the hold of a silent owner counts as lapsed. */
    lapseTicks: number;
    /** Whether the new owner is granted the key only after the former owners have released it or lapsed. */
    grantsAfterRelease: boolean;
    /** Whether a coordinator stops granting some ticks after the store's last confirmation. */
    stopsWithoutConfirmation: boolean;
    /** Whether a new coordinator allows for grants that the former one may still send. */
    waitsForFormerCoordinator: boolean;
    /** Whether a new coordinator still waits for the last grants of the former one when that one may grant no more. */
    waitsAfterFormerWindow: boolean;
    /** Whether a coordinator stops granting before it writes its resignation, whose answer may be lost. */
    stopsBeforeResigning: boolean;
    /** Whether a deposed coordinator stops granting before it tells its successor that it has. */
    stopsBeforeRetiring: boolean;
    /** Whether the ticks for which a host may grant also count down while it is stopped. */
    countsStoppedTime: boolean;
    /** Whether each plan raises the fence. */
    raisesFence: boolean;
    /** Whether all former owners are remembered until they have stopped, or only the last one. */
    remembersAllOwners: boolean;
    /** Whether a release carries the new fence, so that the target refuses late grants under the old one. */
    releasesWithNewFence: boolean;
    /** Whether the write of a plan is conditional on the term in the store. */
    checksTerm: boolean;
};

export const holdRules: HoldRules = {
    lapseTicks: 2,
    grantsAfterRelease: true,
    stopsWithoutConfirmation: true,
    waitsForFormerCoordinator: true,
    waitsAfterFormerWindow: true,
    stopsBeforeResigning: true,
    stopsBeforeRetiring: true,
    countsStoppedTime: true,
    raisesFence: true,
    remembersAllOwners: true,
    releasesWithNewFence: true,
    checksTerm: true,
};

const holdTicks = 2;
/** Ticks for which a coordinator may grant after the store's confirmation. */
const grantTicks = 2;
/** Highest value of `ticksSinceArrival`, which also stands for any longer time. */
const maxTicksSinceArrival = 3;
const maxPlans = 2;
const maxTerms = 2;

const indexes: Index[] = [0, 1];

/** A host that doesn't coordinate. */
const idleHost = (): Host => ({
    term: 0,
    view: { fence: 0, owner: 0, predecessors: [] },
    grantTicksLeft: 0,
    formerMayGrantTicks: 0,
    ticksSinceArrival: [maxTicksSinceArrival, maxTicksSinceArrival],
    stopped: false,
});

/** The state in which the first target owns the key, nothing is granted, and no host coordinates. */
export const createInitialState = (): HoldState => ({
    store: { fence: 1, owner: 0, predecessors: [], term: 0, coordinator: undefined },
    hosts: [idleHost(), idleHost()],
    targets: [{ seenFence: 0, holdTicksLeft: 0 }, { seenFence: 0, holdTicksLeft: 0 }],
    lateGrant: undefined,
    planCount: 0,
    termCount: 0,
});

const passTick = (state: HoldState, rules: HoldRules): void => {
    for (const target of state.targets) {
        target.holdTicksLeft = Math.max(0, target.holdTicksLeft - 1);
    }
    if (state.lateGrant !== undefined) {
        state.lateGrant.holdTicksLeft -= 1;
        state.lateGrant = state.lateGrant.holdTicksLeft <= 0 ? undefined : state.lateGrant;
    }
    for (const host of state.hosts) {
        if (host.stopped && !rules.countsStoppedTime) {
            continue;
        }
        host.grantTicksLeft = Math.max(0, host.grantTicksLeft - 1);
        if (host.formerMayGrantTicks > 0) {
            // A grant of the former coordinator may have arrived at the end of this tick.
            host.formerMayGrantTicks -= 1;
            const isForgotten = host.formerMayGrantTicks === 0 && !rules.waitsAfterFormerWindow;
            host.ticksSinceArrival = isForgotten ? [grantTicks, grantTicks] : [0, 0];
            continue;
        }
        const [first, second] = host.ticksSinceArrival;
        host.ticksSinceArrival = [
            Math.min(maxTicksSinceArrival, first + 1),
            Math.min(maxTicksSinceArrival, second + 1),
        ];
    }
};

/** Applies a grant at a target, which refuses fences below the highest one that it has seen. */
const applyGrant = (target: Target, fence: number, ticks: number): void => {
    if (fence >= target.seenFence) {
        target.seenFence = fence;
        target.holdTicksLeft = ticks;
    }
};

/** The ownership after a plan that moves the key to the other target. */
const planNext = (view: OwnershipRecord, rules: HoldRules): OwnershipRecord => {
    const owner: Index = view.owner === 0 ? 1 : 0;
    const owners = rules.remembersAllOwners ? [...view.predecessors, view.owner] : [view.owner];
    return {
        fence: rules.raisesFence ? view.fence + 1 : view.fence,
        owner,
        predecessors: indexes.filter(index => index !== owner && owners.includes(index)),
    };
};

const copyRecord = ({ fence, owner, predecessors }: OwnershipRecord): OwnershipRecord => ({
    fence,
    owner,
    predecessors: [...predecessors],
});

const takeOver = (state: HoldState, index: Index, rules: HoldRules): void => {
    const host = state.hosts[index];
    const hadOtherCoordinator = state.store.coordinator !== undefined && state.store.coordinator !== index;
    state.termCount += 1;
    state.store.term += 1;
    state.store.coordinator = index;
    host.term = state.store.term;
    host.view = copyRecord(state.store);
    host.grantTicksLeft = grantTicks;
    host.formerMayGrantTicks = hadOtherCoordinator && rules.waitsForFormerCoordinator ? grantTicks : 0;
    host.ticksSinceArrival = [0, 0];
};

/** Writes a plan. A host whose term has ended stops coordinating instead. */
const plan = (state: HoldState, index: Index, rules: HoldRules): void => {
    const host = state.hosts[index];
    if (rules.checksTerm && state.store.term !== host.term) {
        host.term = 0;
        return;
    }
    host.view = planNext(host.view, rules);
    state.planCount += 1;
    state.store = { ...state.store, ...copyRecord(host.view) };
};

/** Records that a former owner has stopped. */
const removePredecessor = (host: Host, target: Index): void => {
    host.view.predecessors = host.view.predecessors.filter(index => index !== target);
};

/** Whether the host has been deposed and its successor still waits for its last grants. */
const mayRetire = ({ hosts, store }: HoldState, index: Index): boolean =>
    hosts[index].term > 0 && hosts[index].term < store.term && store.coordinator !== undefined
    && store.coordinator !== index && hosts[store.coordinator].formerMayGrantTicks > 0;

/** A deposed coordinator stops and tells so; its successor waits for the holds of grants until now. */
const retire = (state: HoldState, index: Index, rules: HoldRules): void => {
    if (rules.stopsBeforeRetiring) {
        state.hosts[index] = idleHost();
    }
    const successor = state.hosts[index === 0 ? 1 : 0];
    successor.formerMayGrantTicks = 0;
    successor.ticksSinceArrival = [0, 0];
};

const grant = (state: HoldState, index: Index, isLate: boolean): void => {
    const host = state.hosts[index];
    const { owner, fence } = host.view;
    host.ticksSinceArrival[owner] = 0;
    if (isLate) {
        state.lateGrant = { target: owner, fence, holdTicksLeft: holdTicks };
        return;
    }
    applyGrant(state.targets[owner], fence, holdTicks);
};

const release = (state: HoldState, index: Index, target: Index, rules: HoldRules): void => {
    const { view } = state.hosts[index];
    const fence = rules.releasesWithNewFence ? view.fence : view.fence - 1;
    state.targets[target].seenFence = Math.max(fence, state.targets[target].seenFence);
    state.targets[target].holdTicksLeft = 0;
    removePredecessor(state.hosts[index], target);
};

/** The state after the event. The state before is not changed. */
export const nextState = (before: HoldState, event: HoldEvent, rules: HoldRules): HoldState => {
    const state = structuredClone(before);
    switch (event.type) {
        case "tick":
            passTick(state, rules);
            break;
        case "take-over":
            takeOver(state, event.host, rules);
            break;
        case "beat":
            state.hosts[event.host].grantTicksLeft = grantTicks;
            break;
        case "resign":
            state.store.coordinator = undefined;
            state.hosts[event.host].grantTicksLeft = rules.stopsBeforeResigning
                ? 0
                : state.hosts[event.host].grantTicksLeft;
            break;
        case "retire":
            retire(state, event.host, rules);
            break;
        case "plan":
            plan(state, event.host, rules);
            break;
        case "stop":
            state.hosts[event.host].stopped = true;
            break;
        case "go-on":
            state.hosts[event.host].stopped = false;
            break;
        case "kill":
            state.hosts[event.host] = idleHost();
            break;
        case "release":
            release(state, event.host, event.target, rules);
            break;
        case "lapse":
            removePredecessor(state.hosts[event.host], event.target);
            break;
        case "grant":
        case "grant-late":
            grant(state, event.host, event.type === "grant-late");
            break;
        case "carry-out":
            applyGrant(state.targets[state.lateGrant!.target], state.lateGrant!.fence, state.lateGrant!.holdTicksLeft);
            state.lateGrant = undefined;
            break;
    }
    return state;
};

const hostEvents = (state: HoldState, index: Index, rules: HoldRules): HoldEvent[] => {
    const host = state.hosts[index];
    const isCoordinator = state.store.coordinator === index && state.store.term === host.term;
    if (host.stopped) {
        return [{ type: "go-on", host: index }];
    }
    const events: HoldEvent[] = [];
    if (!isCoordinator && state.termCount < maxTerms) {
        events.push({ type: "take-over", host: index });
    }
    if (host.term === 0) {
        return events;
    }
    events.push({ type: "stop", host: index }, { type: "kill", host: index });
    if (isCoordinator) {
        events.push({ type: "beat", host: index }, { type: "resign", host: index });
    }
    if (mayRetire(state, index)) {
        events.push({ type: "retire", host: index });
    }
    if (state.planCount < maxPlans) {
        events.push({ type: "plan", host: index });
    }
    for (const target of host.view.predecessors) {
        events.push({ type: "release", host: index, target });
        if (host.ticksSinceArrival[target] >= rules.lapseTicks) {
            events.push({ type: "lapse", host: index, target });
        }
    }
    const mayBeGranted = host.view.predecessors.length === 0 || !rules.grantsAfterRelease;
    if (mayBeGranted && (host.grantTicksLeft > 0 || !rules.stopsWithoutConfirmation)) {
        events.push({ type: "grant", host: index });
        if (state.lateGrant === undefined) {
            events.push({ type: "grant-late", host: index });
        }
    }
    return events;
};

/** The events that may happen in the state. */
export const enabledEvents = (state: HoldState, rules: HoldRules): HoldEvent[] => [
    { type: "tick" },
    ...(state.lateGrant === undefined ? [] : [{ type: "carry-out" } as const]),
    ...indexes.flatMap(index => hostEvents(state, index, rules)),
];
