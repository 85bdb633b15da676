/**
 * The control endpoint of the stand-ins. Faults are set and records are read over HTTP, so that a stand-in can run in a
 * separate process. `POST /stand-in/faults` changes the faults that its JSON body names and leaves the others;
 * `GET /stand-in/records` returns the records as JSON.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";

export const controlPaths = { faults: "/stand-in/faults", records: "/stand-in/records" } as const;

/** What a stand-in provides to its control endpoint. */
export type ControlHandlers<Faults> = {
    /** Schema of a change of faults, in which each fault is optional. */
    faultsSchema: z.ZodType<Partial<Faults>>;
    changeFaults: (faults: Partial<Faults>) => void | Promise<void>;
    /** Returns the records, which are sent as JSON. */
    records: () => unknown;
};

/** Reads the whole body of a request as UTF-8 text. */
export const readBody = async (request: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
};

const writeJson = (response: ServerResponse, statusCode: number, body: unknown): void => {
    response.writeHead(statusCode, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
};

/** Whether the path belongs to the control endpoint. */
export const isControlPath = (path: string): boolean => path.startsWith("/stand-in/");

/** Serves a request to the control endpoint. Answers 400 to faults that don't match the schema. */
export const serveControl = async <Faults>(
    control: ControlHandlers<Faults>,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    if (request.url === controlPaths.records) {
        writeJson(response, 200, control.records());
        return;
    }
    if (request.url === controlPaths.faults && request.method === "POST") {
        const faults = control.faultsSchema.safeParse(JSON.parse(await readBody(request)));
        if (!faults.success) {
            writeJson(response, 400, { message: faults.error.message });
            return;
        }
        await control.changeFaults(faults.data);
        writeJson(response, 200, {});
        return;
    }
    writeJson(response, 404, { message: `The path ${request.url} does not exist.` });
};
