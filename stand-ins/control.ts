/**
 * The control endpoint of the stand-ins: faults are set and records are read over HTTP, so that a stand-in can run in a
 * process of its own. `POST /stand-in/faults` changes the faults that its JSON body names, `GET /stand-in/records`
 * gives the records.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";

export const controlPaths = { faults: "/stand-in/faults", records: "/stand-in/records" } as const;

export type ControlHandlers<Faults> = {
    /** The shape of the faults, each of them optional. */
    faultsSchema: z.ZodType<Partial<Faults>>;
    changeFaults: (faults: Partial<Faults>) => void | Promise<void>;
    records: () => unknown;
};

/** Reads the whole body as text. */
export const readBody = async (request: IncomingMessage): Promise<string> => {
    const parts: Buffer[] = [];
    for await (const part of request) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts).toString("utf8");
};

const answerJson = (response: ServerResponse, statusCode: number, body: unknown): void => {
    response.writeHead(statusCode, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
};

/** Whether the path belongs to the control endpoint. */
export const isControlPath = (path: string): boolean => path.startsWith("/stand-in/");

/** Serves a call of the control endpoint. */
export const serveControl = async <Faults>(
    control: ControlHandlers<Faults>,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    if (request.url === controlPaths.records) {
        answerJson(response, 200, control.records());
        return;
    }
    if (request.url === controlPaths.faults && request.method === "POST") {
        const faults = control.faultsSchema.safeParse(JSON.parse(await readBody(request)));
        if (!faults.success) {
            answerJson(response, 400, { message: faults.error.message });
            return;
        }
        await control.changeFaults(faults.data);
        answerJson(response, 200, {});
        return;
    }
    answerJson(response, 404, { message: `The path ${request.url} does not exist.` });
};
