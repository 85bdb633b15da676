/**
 * Status lines of answers, and what each of them is: an answer, an interim answer before it, or no answer at all.
 */

export type StatusCase = { status: string; kind: "answer" | "interim" | "malformed" };

const casesOf = (kind: StatusCase["kind"], statuses: string[]): StatusCase[] =>
    statuses.map(status => ({ status, kind }));

export const statusCases: StatusCase[] = [
    ...casesOf("answer", ["200", "204", "299", "304", "404", "599"]),
    ...casesOf("interim", ["102", "103", "110", "199"]),
    ...casesOf("malformed", ["000", "001", "010", "099", "101", "600", "601", "700", "999"]),
    // Without three digits.
    ...casesOf("malformed", ["", "OK", "2", "20", "2000", "00200", "2x0", "x00", "-20", "+200", "2.0", "0x1"]),
];

export const malformedStatuses = statusCases.filter(({ kind }) => kind === "malformed").map(({ status }) => status);

/** Asks for the rest of a request that has not offered to wait with it. An interim answer, but undici takes it for none. */
export const unaskedStatus = "100";

export type Framing = { title: string; header: string; body: string };

/** How the body of an answer is framed. The connection of one without a length stays open. */
export const framings: Framing[] = [
    { title: "with a length", header: "content-length: 5\r\n", body: "whole" },
    { title: "with the length 0", header: "content-length: 0\r\n", body: "" },
    { title: "in chunks", header: "transfer-encoding: chunked\r\n", body: "5\r\nwhole\r\n0\r\n\r\n" },
    { title: "without a length", header: "", body: "whole" },
];
