/**
 * The states and events of the specification of holds, as resident hosts have them: one key, two targets, two hosts
 * that may coordinate, and a store. The hold of a grant counts from its arrival, and a grant may be applied late. There
 * are releases and fences that the store gives out. Coordinators are stopped, cut off from the store, or killed. The store
 * may forget its last writes, once: it returns in a new era with a record that it held before. Time is counted in ticks.
 */

/** Index of a host or target. */
export type Index = 0 | 1;

/** The ownership of the key as the store holds it, and as a coordinator believes it to be. */
export type OwnershipRecord = { fence: number; owner: Index; predecessors: Index[] };

/** What the store holds. */
export type StoreRecord = OwnershipRecord & { term: number; coordinator: Index | undefined };

export type Host = {
    /** Era of the store in which the host began its term. */
    era: number;
    /** Grants of its term in the era before, which the host renews until it may grant in its new term. */
    outlived: { owner: Index; fence: number; ticksLeft: number } | undefined;
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
    store: StoreRecord;
    era: number;
    /** What the store held before each write of this era, while it may still return from a copy. */
    history: StoreRecord[];
    returnsLeft: number;
    /** Ticks since the store has returned; at most `maxTicksSinceReturn`, which also stands for any longer time. */
    ticksSinceReturn: number;
    /** The host that coordinated as the store returned, so that nobody else can have changed the ownership. */
    undisputed: Index | undefined;
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
    | { type: "grant" | "grant-late" | "grant-outlived"; host: Index }
    | { type: "return"; forgottenWrites: number }
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
    /** Whether the fences of an era are above those of all earlier eras. */
    startsFencesByEra: boolean;
    /** Whether the first coordinator of an era treats all other targets as former owners, or only those of the copy. */
    clearsTargets: boolean;
    /** Whether only the coordinator that nobody can have deposed grants without that. */
    checksDispute: boolean;
    /** Whether the first coordinator of an era allows for grants of coordinators of the era before. */
    waitsForFormerEra: boolean;
    /** Whether an era has a coordinator only when one has taken over in it, whomever the copy names. */
    ignoresCopiedCoordinator: boolean;
    /** Whether the coordinator of the era before stops when its lease of that era ends. */
    stopsWithFormerLease: boolean;
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
    startsFencesByEra: true,
    clearsTargets: true,
    checksDispute: true,
    waitsForFormerEra: true,
    ignoresCopiedCoordinator: true,
    stopsWithFormerLease: true,
};

const holdTicks = 2;
/** Ticks for which a coordinator may grant after the store's confirmation. */
const grantTicks = 2;
/** Highest value of `ticksSinceArrival`, which also stands for any longer time. */
const maxTicksSinceArrival = 3;
const maxPlans = 2;
/** In each era. */
const maxTerms = 2;
/** Fences of an era start here, times the era. */
const fencesPerEra = 10;
const maxTicksSinceReturn = grantTicks + maxTicksSinceArrival;

const indexes: Index[] = [0, 1];

/** A host that doesn't coordinate. */
const idleHost = (): Host => ({
    era: 0,
    outlived: undefined,
    term: 0,
    view: { fence: 0, owner: 0, predecessors: [] },
    grantTicksLeft: 0,
    formerMayGrantTicks: 0,
    ticksSinceArrival: [maxTicksSinceArrival, maxTicksSinceArrival],
    stopped: false,
});

/** The state in which the first target owns the key, nothing is granted, and no host coordinates. */
export const createInitialState = (returnsLeft = 0): HoldState => ({
    store: { fence: 1, owner: 0, predecessors: [], term: 0, coordinator: undefined },
    era: 0,
    history: [],
    returnsLeft,
    ticksSinceReturn: 0,
    undisputed: undefined,
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
    state.ticksSinceReturn = state.era === 0 ? 0 : Math.min(maxTicksSinceReturn, state.ticksSinceReturn + 1);
    for (const host of state.hosts) {
        if (host.stopped && !rules.countsStoppedTime) {
            continue;
        }
        if (host.outlived !== undefined) {
            host.outlived.ticksLeft -= rules.stopsWithFormerLease ? 1 : 0;
            host.outlived = host.outlived.ticksLeft <= 0 ? undefined : host.outlived;
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

/** Whether the host holds the coordination of the store's present era. */
const isCoordinator = (state: HoldState, index: Index, rules: HoldRules): boolean =>
    state.store.coordinator === index && state.store.term === state.hosts[index].term
    && (state.hosts[index].era === state.era || !rules.ignoresCopiedCoordinator);

const recordWrite = (state: HoldState): void => {
    if (state.returnsLeft > 0) {
        state.history.push(structuredClone(state.store));
    }
};

/** Returns the ticks for which coordinators of the era before may still grant. */
const formerEraMayGrantTicks = (state: HoldState, rules: HoldRules): number =>
    state.era > 0 && rules.waitsForFormerEra ? Math.max(0, grantTicks - state.ticksSinceReturn) : 0;

/** Begins a term without a coordinator before it in this era, after the store has forgotten writes. */
const takeOverFirst = (state: HoldState, index: Index, rules: HoldRules): void => {
    const host = state.hosts[index];
    const remembers = host.term > 0;
    const mayGrant = remembers && (state.undisputed === index || !rules.checksDispute);
    const base = copyRecord(remembers ? host.view : state.store);
    host.outlived = remembers && host.grantTicksLeft > 0 && base.predecessors.length === 0
        ? { owner: base.owner, fence: base.fence, ticksLeft: host.grantTicksLeft }
        : undefined;
    host.view = {
        owner: base.owner,
        fence: rules.startsFencesByEra ? state.era * fencesPerEra : base.fence + 1,
        predecessors: mayGrant || !rules.clearsTargets
            ? base.predecessors
            : indexes.filter(target => target !== base.owner),
    };
    state.termCount = 1;
    state.store = { ...copyRecord(host.view), term: state.era * fencesPerEra, coordinator: index };
    host.era = state.era;
    host.term = state.store.term;
    host.grantTicksLeft = grantTicks;
    host.formerMayGrantTicks = formerEraMayGrantTicks(state, rules);
    const sinceArrival = rules.waitsForFormerEra
        ? Math.max(0, state.ticksSinceReturn - grantTicks)
        : maxTicksSinceArrival;
    host.ticksSinceArrival = [sinceArrival, sinceArrival];
    state.undisputed = undefined;
};

const takeOver = (state: HoldState, index: Index, rules: HoldRules): void => {
    const host = state.hosts[index];
    recordWrite(state);
    if (state.era > 0 && state.termCount === 0) {
        takeOverFirst(state, index, rules);
        return;
    }
    const hadOtherCoordinator = state.store.coordinator !== undefined && state.store.coordinator !== index;
    state.termCount += 1;
    state.store.term += 1;
    state.store.coordinator = index;
    host.era = state.era;
    host.outlived = undefined;
    host.term = state.store.term;
    host.view = copyRecord(state.store);
    host.grantTicksLeft = grantTicks;
    host.formerMayGrantTicks = hadOtherCoordinator && rules.waitsForFormerCoordinator
        ? grantTicks
        : formerEraMayGrantTicks(state, rules);
    host.ticksSinceArrival = [0, 0];
};

/** The store begins a new era with what it held before its last writes, and without a coordinator. */
const returnStore = (state: HoldState, forgottenWrites: number, rules: HoldRules): void => {
    const { coordinator } = state.store;
    state.undisputed = coordinator !== undefined && isCoordinator(state, coordinator, rules) ? coordinator : undefined;
    state.store = structuredClone([...state.history, state.store][state.history.length - forgottenWrites]);
    if (rules.ignoresCopiedCoordinator) {
        state.store.coordinator = undefined;
    }
    state.era += 1;
    state.history = [];
    state.returnsLeft -= 1;
    state.termCount = 0;
    state.planCount = 0;
};

/** Writes a plan. A host whose term has ended stops coordinating instead. */
const plan = (state: HoldState, index: Index, rules: HoldRules): void => {
    const host = state.hosts[index];
    if (rules.checksTerm && state.store.term !== host.term) {
        host.term = 0;
        return;
    }
    recordWrite(state);
    host.view = planNext(host.view, rules);
    state.planCount += 1;
    state.store = { ...state.store, ...copyRecord(host.view) };
};

/** Records that a former owner has stopped. */
const removePredecessor = (host: Host, target: Index): void => {
    host.view.predecessors = host.view.predecessors.filter(index => index !== target);
};

/** Whether the host has been deposed and its successor still waits for its last grants. */
const mayRetire = ({ hosts, store, era }: HoldState, index: Index): boolean =>
    hosts[index].term > 0 && hosts[index].term < store.term && hosts[index].era === era
    && store.coordinator !== undefined
    && store.coordinator !== index && hosts[store.coordinator].formerMayGrantTicks > 0;

/** A deposed coordinator stops and tells so; its successor waits for the holds of grants until now. */
const retire = (state: HoldState, index: Index, rules: HoldRules): void => {
    if (rules.stopsBeforeRetiring) {
        state.hosts[index] = idleHost();
    }
    const successor = state.hosts[index === 0 ? 1 : 0];
    successor.formerMayGrantTicks = formerEraMayGrantTicks(state, rules);
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
            recordWrite(state);
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
        case "grant-outlived": {
            const { owner, fence } = state.hosts[event.host].outlived!;
            applyGrant(state.targets[owner], fence, holdTicks);
            break;
        }
        case "return":
            returnStore(state, event.forgottenWrites, rules);
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
    const coordinates = isCoordinator(state, index, rules);
    if (host.stopped) {
        return [{ type: "go-on", host: index }];
    }
    const events: HoldEvent[] = [];
    if (!coordinates && state.termCount < maxTerms) {
        events.push({ type: "take-over", host: index });
    }
    if (host.term === 0) {
        return events;
    }
    events.push({ type: "stop", host: index }, { type: "kill", host: index });
    if (coordinates) {
        events.push({ type: "beat", host: index }, { type: "resign", host: index });
    }
    if (mayRetire(state, index)) {
        events.push({ type: "retire", host: index });
    }
    const mayWrite = host.era === state.era || !rules.ignoresCopiedCoordinator;
    if (state.planCount < maxPlans && mayWrite) {
        events.push({ type: "plan", host: index });
    }
    const isUncleared = host.view.predecessors.length > 0;
    if (host.outlived !== undefined && isUncleared) {
        events.push({ type: "grant-outlived", host: index });
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
    ...(state.returnsLeft === 0
        ? []
        : [...state.history, state.store].map((...[, forgottenWrites]) =>
            ({ type: "return", forgottenWrites }) as const
        )),
    ...indexes.flatMap(index => hostEvents(state, index, rules)),
];
