import test from "ava";
import { createFreezableClock } from "../freezableclock.ts";
import { type CallResult, startSystem, until } from "../system.ts";
import { createTranscript } from "./transcript.ts";

const describe = (result: CallResult): string =>
    `${result.statusCode} outcome=${result.outcome} reason=${result.reason}`;

const tenMinutesMilliseconds = 600_000;

test("a host that was paused for ten minutes refuses requests until it has caught up", async t => {
    const transcript = createTranscript();
    const clock = createFreezableClock();
    const system = await startSystem({ clock });
    const [host] = system.hosts;
    transcript.note(`before the pause -> ${describe(await system.untilAnswered(host, { key: "tray-7" }))}`);
    const countListCalls = (): number => host.report().platformCalls["list"] ?? 0;
    clock.freeze();
    await until(async () => {
        const readsBefore = countListCalls();
        await new Promise(resolve => setTimeout(resolve, 500));
        return countListCalls() === readsBefore;
    });
    const versionBefore = host.report().objects.find(object => object.kind === "plans")?.inForce ?? 0;
    const { version } = system.platform.write("plans", "hallam", {}, true);
    transcript.note("the plan is deleted while the host is paused");
    clock.thaw(tenMinutesMilliseconds);
    transcript.note(`the host wakes, ten minutes later -> ${describe(await system.call(host, { key: "tray-7" }))}`);
    const afterPause = host.report().objects.find(object => object.kind === "plans");
    transcript.note(`it still holds the former version: ${afterPause?.inForce === versionBefore}`);
    clock.resume();
    await until(() => host.report().fleet.bar === undefined);
    transcript.note(`after it has caught up -> ${describe(await system.call(host, { key: "tray-7" }))}`);
    const caughtUp = host.report().objects.find(object => object.kind === "plans");
    transcript.note(`the tombstone is in force: ${caughtUp?.inForce === version && caughtUp.deleted}`);
    await system.close();
    await transcript.compare(t, "stale-host");
});
