import test from "ava";
import { startSystem } from "../system.ts";

test("a request that crashed its target is not refused as not run when the second attempt finds no connection", async t => {
    const system = await startSystem({ targetCount: 1 });
    const [host] = system.hosts;
    await system.untilAnswered(host, { key: "good" });
    await system.targets[0].changeFaults({ poisonKey: "bad" });
    const result = await system.call(host, { key: "bad", headers: { "carobpier-deadline": "1000" } });
    const runs = system.targets[0].executions.filter(({ key }) => key === "bad").length;
    await system.close();
    t.is(runs, 1);
    t.is(result.outcome, "unknown");
});
