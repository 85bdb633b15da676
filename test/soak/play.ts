/**
 * Plays a plan with real processes against stand-ins of the store and the targets, and records what callers, targets and
 * the operator of the processes saw.
 */
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { poolObjectName } from "../../src/decisions/poolobjectnames.ts";
import { type BackendStandIn, startBackendStandIn } from "../../stand-ins/resident/backend.ts";
import { startStoreStandIn, type StoreCopy } from "../../stand-ins/resident/store.ts";
import { isReady, limits, type Program, startProgram } from "../platform/program.ts";
import { type Caller, startCallers } from "./callers.ts";
import { createRandom, type Signal, type Site, type SoakService, type Step } from "./plan.ts";
import { type KeyRound, startProbes, type VersionProbe, versionRoutes } from "./probes.ts";
import { reservePorts, startRelay } from "./relay.ts";
import { bodyOf, type LifeRecord, type RequestRecord, type SoakRecords, type TargetRecord } from "./verdict.ts";

export type PlayOptions = {
    seed: number;
    site: Site;
    hosts: number;
    seconds: number;
    /** Share of the deployment's traffic and targets that is played. */
    share: number;
    /** Whether some callers are behind a thin link. */
    isThin: boolean;
    steps: Step[];
    /** The built program. */
    path: string | undefined;
    report: (line: string) => void;
};

type Host = {
    name: string;
    zone: string;
    ports: { callersPort: number; healthPort: number };
    linksPort: number;
    life: number;
    program: Program | undefined;
    misses: number;
    /** Until then its event loop is held. */
    heldUntil: number;
};
type Target = { name: string; service: number; backend: BackendStandIn; record: TargetRecord; entry: object };

const usualGraceMilliseconds = 6_000;
const restartMilliseconds = 500;
const drainMilliseconds = 2_000;
const reuseAfterMilliseconds = 2_000;
const stallTickMilliseconds = 50;
const readyWaitMilliseconds = 20_000;
const requestsEachSecond = 2.5;
/**
 * Where event loops are held: many callers that send seldom, so that idle connections end between their requests, and an
 * early end of the grace for some hosts.
 */
const held = {
    requestsEachSecond: 0.5,
    idleTimeout: "2000ms",
    graceMilliseconds: 3_000,
    preload: "./test/soak/hold.cjs",
};

const routesOf = (services: SoakService[]): Record<string, object> =>
    Object.fromEntries(services.map(service => [service.name, {
        host: `${service.name}.example`,
        pathPrefix: "/a/",
        kind: service.isSafe ? "safe" : "unsafe",
        timeout: `${service.deadlineMilliseconds / 2}ms`,
        targetLatency: `${service.deadlineMilliseconds / 6}ms`,
        priority: 1,
        service: service.name,
        maxAttempts: 2,
    }]));

export const play = async (options: PlayOptions): Promise<SoakRecords> => {
    const { site, hosts: hostCount, report } = options;
    const random = createRandom(options.seed + 1);
    const startedAt = performance.now();
    const now = (): number => performance.now() - startedAt;
    const requests: RequestRecord[] = [];
    const lives: LifeRecord[] = [];
    const targets: Target[] = [];
    const storeFaults: SoakRecords["storeFaults"] = [];
    const resets: number[] = [];
    const stalls: SoakRecords["stalls"] = [];
    const versions: SoakRecords["versions"] = [];
    const cuts: SoakRecords["cuts"] = [];
    const probes: VersionProbe[] = [];
    const keyRounds: KeyRound[] = [];
    const delayed: Array<Promise<void>> = [];
    let stallMilliseconds = 0;
    let isEnding = false;
    let trafficAt = Infinity;
    const isHeld = options.steps.some(({ kind }) => kind === "hold");

    let tickAt = now();
    const ticker = setInterval(() => {
        const until = now();
        const milliseconds = until - tickAt - stallTickMilliseconds;
        if (milliseconds > 0) {
            stalls.push({ from: tickAt, until, milliseconds });
        }
        stallMilliseconds = Math.max(stallMilliseconds, milliseconds);
        tickAt = until;
    }, stallTickMilliseconds);

    const reserved = await reservePorts();
    const hosts: Host[] = [];
    for (let index = 0; index < hostCount; index += 1) {
        const ports = { callersPort: reserved.next(), healthPort: reserved.next() };
        const zone = site.zones[index % site.zones.length] ?? "";
        const name = `front-${zone}-${index}`;
        hosts.push({
            name,
            zone,
            ports,
            linksPort: reserved.next(),
            life: -1,
            program: undefined,
            misses: 2,
            heldUntil: 0,
        });
    }
    const linkRelays = await Promise.all(hosts.map(host => startRelay(() => host.linksPort)));
    const relayed = new Map(hosts.map((host, index) => [host.linksPort, linkRelays[index]?.port ?? 0]));
    const store = await startStoreStandIn(text =>
        text.replace(/127\.0\.0\.1:(\d+)/g, (all, port) => {
            const relay = relayed.get(Number(port));
            return relay === undefined ? all : `127.0.0.1:${relay}`;
        })
    );
    /** Ways to the store that can be cut. */
    const storeRelays = options.steps.some(({ kind }) => kind === "cut")
        ? await Promise.all(hosts.map(() => startRelay(() => Number(store.address.split(":")[1]))))
        : [];
    const thinRelays = options.isThin
        ? await Promise.all(hosts.map(host => startRelay(() => host.ports.callersPort, 40)))
        : [];

    const addTarget = async (service: number, zone: string, port?: number): Promise<void> => {
        const { name, slots, workMilliseconds, isSharded } = site.services[service] as SoakService;
        const id = `i-${name}-${targets.length}`;
        const spread = 0.7 + random.below(60) / 100;
        const backend = await startBackendStandIn({
            id,
            slots,
            queue: 16,
            workMilliseconds: workMilliseconds * spread,
            isSharded,
            bodyOf,
            ...(port === undefined ? {} : { port }),
        });
        const entry = {
            service: name,
            address: backend.address,
            zone,
            version: "v1",
            slots,
            warmupLeft: "0ms",
            seq: 1,
        };
        const { arrivedIds, runCounts, cutIds, displacedIds, holds } = backend;
        const record = {
            id,
            arrivedIds,
            runCounts,
            cutIds,
            displacedIds,
            holds,
            service: name,
            joinedAt: trafficAt === Infinity ? 0 : now(),
            endedAt: Infinity,
        };
        const target = { name: id, service, backend, record, entry };
        targets.push(target);
        Object.assign(entry, { state: "ready", born: Date.now() });
        store.put("servers", id, entry);
    };
    for (const [index, service] of site.services.entries()) {
        for (let count = Math.max(2, Math.ceil(service.backends * options.share)); count > 0; count -= 1) {
            await addTarget(index, site.zones[count % site.zones.length] ?? "");
        }
    }

    let version = 1;
    let newest: object = {};
    let addedRoutes = 0;
    const putManifest = (routes: Record<string, object>): void => {
        version += 3;
        const services = Object.fromEntries(site.services.map(({ name, isSharded }) => [name, {
            healthPath: "/health",
            maxConnections: 110,
            ...(isSharded ? { sharded: true, warm: "2s" } : {}),
        }]));
        newest = {
            version: `r${version}`,
            routes: { ...routes, ...versionRoutes(site, addedRoutes) },
            services,
            limits: isHeld ? { ...limits, idleTimeout: held.idleTimeout } : limits,
        };
        store.put("config", "main", newest);
    };
    /** Writes again what the operator and the targets wrote last. */
    const rewrite = (): void => {
        store.put("config", "main", newest);
        targets.filter(({ entry }) => entry !== gone).forEach(({ name, entry }) => store.put("servers", name, entry));
        versions.forEach(each => each.confirmedAt = Math.max(each.confirmedAt, each.isLost ? now() : 0));
        versions.forEach(each => each.isLost = false);
    };
    const allRoutes = routesOf(site.services);
    putManifest(allRoutes);

    const armed = options.steps.filter(step => step.kind === "signal" && step.afterStart !== undefined);
    const send = (host: Host, signal: Signal): void => {
        const life = lives[host.life];
        if (life === undefined || host.program === undefined || !host.program.child.kill(signal)) {
            return;
        }
        life.signals.push({ signal, at: now() });
        report(`${Math.round(now())} ${host.name} ${signal} ${Math.round(now() - life.startedAt)} ms after its start`);
        if (signal === "SIGTERM" || signal === "SIGINT") {
            const { child } = host.program;
            const timer = setTimeout(() => {
                if (life.endedAt === Infinity) {
                    life.signals.push({ signal: "SIGKILL", at: now() });
                    child.kill("SIGKILL");
                }
            }, life.graceMilliseconds + 5_000 + stallMilliseconds);
            child.once("exit", () => clearTimeout(timer));
        }
    };

    const start = async (host: Host): Promise<void> => {
        const relay = storeRelays[hosts.indexOf(host)];
        const seen = relay === undefined ? store : { ...store, address: `127.0.0.1:${relay.port}` };
        const graceMilliseconds = isHeld && hosts.indexOf(host) % 2 === 1
            ? held.graceMilliseconds
            : usualGraceMilliseconds;
        const program = await startProgram(seen, {
            name: host.name,
            grace: `${graceMilliseconds}ms`,
            preload: isHeld ? held.preload : undefined,
            zone: host.zone,
            ports: host.ports,
            linksPort: host.linksPort,
            processorShare: site.processorShare,
            moreSettings: ["retries: { ratio: 0.2, slack: 60 }"],
            ...(options.path === undefined ? {} : { path: options.path }),
        });
        const life: LifeRecord = {
            host: host.name,
            graceMilliseconds,
            startedAt: now(),
            readyAt: undefined,
            signals: [],
            endedAt: Infinity,
            code: undefined,
            endSignal: undefined,
            log: "",
        };
        lives.push(life);
        host.program = program;
        host.life = lives.length - 1;
        const index = hosts.indexOf(host);
        const next = armed.findIndex(step =>
            step.kind === "signal" && step.host === index && step.at <= now() - trafficAt
        );
        for (const step of next < 0 ? [] : armed.splice(next, 1)) {
            if (step.kind === "signal") {
                setTimeout(() => host.program === program && send(host, step.signal), step.afterStart);
            }
        }
        program.child.once("close", (code, signal) => {
            life.endedAt = now();
            life.code = code ?? undefined;
            life.endSignal = signal ?? undefined;
            life.log = program.log();
            host.program = undefined;
            host.misses = 2;
            if (!isEnding) {
                delayed.push(sleep(restartMilliseconds).then(() => isEnding ? undefined : start(host)));
            }
        });
    };

    /** Holds the event loop of a host that has been ready and is not held. */
    const hold = (host: Host, milliseconds: number, how: "work" | "stopped"): void => {
        const { program } = host;
        if (program === undefined || lives[host.life]?.readyAt === undefined || now() < host.heldUntil) {
            return;
        }
        host.heldUntil = now() + milliseconds;
        if (how === "work") {
            writeFileSync(`${program.file}.hold`, String(milliseconds));
            program.child.kill("SIGUSR2");
        }
        else if (program.child.kill("SIGSTOP")) {
            setTimeout(() => program.child.kill("SIGCONT"), milliseconds);
        }
    };

    /** As the load balancer does: each second, and two misses take a host out. */
    const check = async (host: Host): Promise<void> => {
        const { program } = host;
        const life = lives[host.life];
        const isGood = program !== undefined && await isReady(program);
        host.misses = isGood ? 0 : host.misses + 1;
        if (isGood && life !== undefined && host.program === program) {
            life.readyAt ??= now();
        }
    };
    const reuse = async (from: number, to: number, how: "drained" | "removed" | "abrupt"): Promise<void> => {
        const kept = targets.filter(target => target.service === from && target.entry !== gone);
        const target = kept.length < 2 ? undefined : kept[random.below(kept.length)];
        if (target === undefined) {
            return;
        }
        const { backend, entry, name } = target;
        target.entry = gone;
        report(`${Math.round(now())} ${name} at ${backend.address} leaves, ${how}`);
        if (how === "drained") {
            store.put("servers", name, { ...entry, state: "draining", born: 1 });
        }
        if (how === "removed") {
            store.remove("servers", name);
        }
        await sleep(how === "abrupt" ? 0 : drainMilliseconds + random.below(1_500));
        target.record.endedAt = now();
        backend.close();
        await sleep(random.below(reuseAfterMilliseconds));
        store.remove("servers", name);
        await sleep(reuseAfterMilliseconds);
        if (!isEnding) {
            await addTarget(to, site.zones[0] ?? "", Number(backend.address.split(":")[1]));
            report(`${Math.round(now())} ${backend.address} is now ${targets.at(-1)?.name}`);
        }
    };
    /** The host that coordinates the first service with keys, as the store has it for the latest era. */
    const coordinatorHost = (): Host | undefined => {
        const pool = site.services.find(({ isSharded }) => isSharded)?.name ?? "";
        const [held] = [...Array(store.era() + 1).keys()].reverse()
            .flatMap(era => store.read("coordination", poolObjectName(pool, era)) ?? []) as Array<
                { coordinator: string }
            >;
        return hosts.find(host => held?.coordinator.startsWith(host.name));
    };

    let copy: StoreCopy | undefined;
    const comeBack = async (isOvertaking: boolean): Promise<void> => {
        const lost = store.copy().revision - (copy?.revision ?? 0);
        const returned = store.returnFrom(copy);
        for (let count = isOvertaking ? lost + 20 : 0; count > 0; count -= 1) {
            store.put("others", "counter", count);
        }
        versions.forEach(each => each.isLost ||= !each.isCopied);
        await returned;
        storeFaults.filter(({ until }) => until === Infinity).forEach(fault => fault.until = now());
    };
    const apply = (step: Step): void => {
        if (step.kind === "signal") {
            const host = step.host === "coordinator" ? coordinatorHost() : hosts[step.host];
            if (step.afterStart === undefined && host !== undefined) {
                send(host, step.signal);
            }
            return;
        }
        report(`${Math.round(now())} ${JSON.stringify(step)}`);
        if (step.kind === "reuse") {
            delayed.push(reuse(step.service, step.to, step.how));
        }
        else if (step.kind === "reset") {
            resets.push(now());
            const isChosen = (): boolean => random.chance(step.share);
            const parts: Record<typeof step.place, () => void> = {
                callers: () => callers.forEach(caller => isChosen() && caller.reset()),
                hosts: () => linkRelays.forEach(relay => relay.resetConnections(isChosen)),
                store: () => store.resetConnections(),
                targets: () => targets.forEach(target => isChosen() && target.backend.resetConnections()),
            };
            parts[step.place]();
        }
        else if (step.kind === "manifest" && step.how === "add") {
            addedRoutes += 1;
            putManifest(allRoutes);
            versions.push({ version: addedRoutes, confirmedAt: now(), isLost: false });
        }
        else if (step.kind === "join") {
            delayed.push(addTarget(step.service, hosts[targets.length % hosts.length]?.zone ?? ""));
        }
        else if (step.kind === "cut") {
            storeRelays[step.host]?.cut(step.isCut);
            const name = hosts[step.host]?.name ?? "";
            const open = cuts.find(({ host, until }) => host === name && until === Infinity);
            if (step.isCut) {
                cuts.push({ host: name, from: now(), until: Infinity });
            }
            else if (open !== undefined) {
                open.until = now();
            }
        }
        else if (step.kind === "copy") {
            copy = store.copy();
            versions.forEach(each => each.isCopied = true);
        }
        else if (step.kind === "away") {
            storeFaults.push({ from: now(), until: Infinity });
            delayed.push(store.goAway());
        }
        else if (step.kind === "return") {
            delayed.push(comeBack(step.isOvertaking));
        }
        else if (step.kind === "rewrite") {
            rewrite();
        }
        else if (step.kind === "hold") {
            hold(hosts[step.host] as Host, step.milliseconds, step.how);
        }
        else if (step.kind === "manifest") {
            const { name } = site.services[step.service] as SoakService;
            const other = site.services[(step.service + 1) % site.services.length]?.name;
            const { [name]: route, ...rest } = allRoutes;
            const changed: Record<string, Record<string, object>> = {
                drop: rest,
                move: { ...rest, [name]: { ...route, service: other } },
                restore: allRoutes,
            };
            putManifest(changed[step.how] ?? allRoutes);
        }
        else if (step.kind === "garble") {
            targets.forEach(({ backend }) => {
                backend.faults.garble = () =>
                    random.chance(step.share) ? step.garbles[random.below(step.garbles.length)] : undefined;
            });
        }
        else {
            store.faults.silent = step.fault === "silent";
            store.faults.refuse = step.fault === "refusing" ? 503 : undefined;
            store.faults.slowMilliseconds = step.fault === "slow" ? 400 : 0;
            store.faults.lateMilliseconds = step.fault === "late" ? 2_000 : 0;
            const last = storeFaults.at(-1);
            if (last !== undefined) {
                last.until = Math.min(last.until, now());
            }
            if (step.fault !== "none") {
                storeFaults.push({ from: now(), until: Infinity });
            }
        }
    };

    await Promise.all(hosts.map(start));
    const balancer = setInterval(() => void Promise.all(hosts.map(check)), 1_000);
    const readyBy = now() + readyWaitMilliseconds;
    while (now() < readyBy && hosts.some(host => host.misses > 0)) {
        await sleep(100);
    }
    await sleep(1_000);
    trafficAt = now();
    report(`${Math.round(now())} traffic starts, ${hosts.filter(host => host.misses === 0).length} hosts are ready`);

    /** The host that the balancer gives a new connection to; `undefined` while none takes any. */
    const choose = () => {
        const known = hosts.filter(host => host.misses < 2 && host.program !== undefined);
        const host = known[random.below(known.length)];
        if (host === undefined) {
            return undefined;
        }
        const thinPort = thinRelays[hosts.indexOf(host)]?.port;
        return { life: host.life, port: host.ports.callersPort, thinPort };
    };
    const callers: Caller[] = startCallers({
        services: site.services,
        share: options.share,
        requestsEachSecond: isHeld ? held.requestsEachSecond : requestsEachSecond,
        random,
        now,
        choose,
        add: record => requests.push(record),
    });
    const probing = new AbortController();
    const isProbing = options.steps.some(({ kind }) => kind === "return");
    const probed = isProbing
        ? startProbes({
            site,
            now,
            random,
            hosts: () =>
                hosts.filter(host => host.misses === 0 && lives[host.life]?.readyAt !== undefined)
                    .map(host => ({ life: host.life, port: host.ports.callersPort })),
            version: () => addedRoutes,
            addProbe: probe => probes.push(probe),
            addKeys: round => {
                keyRounds.push(round);
                report(`${Math.round(round.at)} keys served: ${round.served.length} of ${round.asked}`);
            },
            signal: probing.signal,
        })
        : undefined;
    for (const step of options.steps) {
        await sleep(Math.max(0, trafficAt + step.at - now()));
        apply(step);
    }
    await sleep(Math.max(0, trafficAt + options.seconds * 1_000 - now()));
    probing.abort();
    await Promise.all([probed, ...callers.map(caller => caller.stop())]);
    const endedAt = now();
    isEnding = true;
    await Promise.all(delayed);
    await Promise.all(hosts.map(async host => {
        const child = host.program?.child;
        if (child !== undefined) {
            const ended = once(child, "close");
            send(host, "SIGTERM");
            await ended;
        }
    }));
    clearInterval(balancer);
    clearInterval(ticker);
    [reserved, store, ...linkRelays, ...storeRelays, ...thinRelays, ...targets.map(target => target.backend)].forEach(
        part => part.close(),
    );
    for (const { record } of targets) {
        record.holds = record.holds.map(hold => ({
            ...hold,
            since: hold.since - startedAt,
            until: Math.min(hold.until - startedAt, record.endedAt),
        }));
    }
    return {
        requests,
        lives,
        targets: targets.map(({ record }) => record),
        storeFaults,
        resets,
        stallMilliseconds,
        stalls,
        versions,
        cuts,
        probes,
        keyRounds,
        endedAt,
    };
};

/** In place of the entry of a target that leaves. */
const gone = {};
