/**
 * Renders charts of runs as SVG with vega, which needs no browser.
 */
import { parse, type Spec, View } from "vega";
import type { CaseResult } from "./runcase.ts";

type Point = { second: number; value: number; series: string };

const width = 640;
const panelHeight = 160;
const panelGap = 50;

const createPoints = (result: CaseResult): Point[] =>
    result.seconds.flatMap(({ second, answered, notRun, unknown }) => [
        { second, value: answered, series: "answered" },
        { second, value: notRun, series: "not-run" },
        { second, value: unknown, series: "unknown" },
    ]);

const createLine = (from: string, scale: string): object => ({
    type: "line",
    from: { data: from },
    encode: {
        enter: {
            x: { scale: "x", field: "second" },
            y: { scale, field: "value" },
            stroke: { scale: "colour", field: "series" },
            strokeWidth: { value: 2 },
        },
    },
});

const eventMarks = {
    type: "rule",
    from: { data: "events" },
    encode: {
        enter: {
            x: { scale: "x", field: "at" },
            y: { value: 0 },
            y2: { value: panelHeight },
            stroke: { value: "#888" },
            strokeDash: { value: [3, 3] },
        },
    },
};

const createPanel = (top: number, scale: object, title: string, marks: object[]): object => ({
    type: "group",
    encode: { enter: { y: { value: top }, width: { value: width }, height: { value: panelHeight } } },
    scales: [scale],
    axes: [{ orient: "left", scale: "y", title }, { orient: "bottom", scale: "x", title: "seconds" }],
    marks: [...marks, eventMarks],
});

const seriesGroups = {
    type: "group",
    from: { facet: { name: "one", data: "counts", groupby: "series" } },
    marks: [createLine("one", "y")],
};

const createSpec = (result: CaseResult): Spec =>
    ({
        width,
        height: panelHeight * 2 + panelGap,
        padding: 10,
        background: "white",
        title: `${result.name}, seed ${result.seed}`,
        data: [
            { name: "counts", values: createPoints(result) },
            {
                name: "latency",
                values: result.seconds.map(({ second, p99Milliseconds }) => ({
                    second,
                    value: p99Milliseconds,
                    series: "p99",
                })),
            },
            { name: "events", values: result.events.map(({ at }) => ({ at })) },
        ],
        scales: [
            { name: "x", type: "linear", range: [0, width], domain: [0, result.seconds.length] },
            {
                name: "colour",
                type: "ordinal",
                domain: ["answered", "not-run", "unknown", "p99"],
                range: ["#2a7f3f", "#d98a00", "#c0302a", "#2f5fa8"],
            },
        ],
        legends: [{ stroke: "colour", symbolType: "stroke" }],
        marks: [
            createPanel(
                0,
                { name: "y", range: [panelHeight, 0], domain: { data: "counts", field: "value" }, nice: true },
                "sends a second",
                [seriesGroups],
            ),
            createPanel(
                panelHeight + panelGap,
                { name: "y", range: [panelHeight, 0], domain: { data: "latency", field: "value" }, nice: true },
                "p99, ms",
                [createLine("latency", "y")],
            ),
        ],
    }) as unknown as Spec;

/** Renders the outcomes of each second and the 99th percentile of the latency, with a vertical line at each event. */
export const renderChart = (result: CaseResult): Promise<string> =>
    new View(parse(createSpec(result)), { renderer: "none" }).toSVG();
