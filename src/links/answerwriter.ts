/**
 * Writes answers and refusals to callers. The last one on a connection that is to end announces that.
 */
import { type ServerResponse, STATUS_CODES } from "node:http";
import { Socket } from "node:net";
import type {
    AnswerStream,
    BaseCallerRequest,
    CallerAnswer,
    CallerProtocol,
    CallerRefusal,
    StreamCut,
} from "./calleranswers.ts";
import type { DueAnswer } from "./callerconnections.ts";

export type AnswerWriterOptions = {
    protocol: Pick<CallerProtocol<BaseCallerRequest>, "addAnswerHeaders" | "formatRefusal">;
    /** Whether connections are kept after an answer. */
    keepsAlive: () => boolean;
};

export type AnswerWriter = {
    /** Writes a refusal. With `unread`, parts of the request were not read, so the connection can not be used again. */
    writeRefusal: (due: DueAnswer, refusal: CallerRefusal, unread: boolean) => void;
    /** Writes the answer of a target. The result is, or resolves to, whether the target sent all of it. */
    writeAnswer: (due: DueAnswer, id: string, answer: CallerAnswer & { kind: "answer" }) => true | Promise<boolean>;
    /** Returns a refusal of bytes that are no request, as bytes that end a connection. */
    formatBytes: (refusal: CallerRefusal) => string;
};

/**
 * Resolves to true when the whole body was passed on. When it breaks off, `onFailure` closes the caller's connection.
 */
const streamBody = (
    response: ServerResponse,
    stream: AnswerStream,
    onWrite: () => void,
    onWhole: () => void,
    onFailure: (cut: StreamCut) => void,
): Promise<boolean> =>
    new Promise(resolve => {
        response.on("drain", stream.resume);
        response.once("close", () => {
            stream.abort();
            resolve(false);
        });
        stream.start({
            onBytes: bytes => {
                const takesMore = response.write(bytes);
                onWrite();
                return takesMore;
            },
            onEnd: () => {
                onWhole();
                response.end(() => resolve(true));
            },
            onFailure,
        });
    });

/** Closes the connection with a reset once the answers before this one are written. */
const reset = (response: ServerResponse): void => {
    if (response.socket instanceof Socket) {
        response.socket.resetAndDestroy();
        return;
    }
    response.once("socket", (socket: Socket) => socket.resetAndDestroy());
};

/** Creates a writer. */
export const createAnswerWriter = ({ protocol, keepsAlive }: AnswerWriterOptions): AnswerWriter => ({
    writeRefusal: (due, refusal, unread) => {
        const { response, requestId, connection } = due;
        due.refusedFor = refusal.reason;
        const { statusCode, headers, body } = protocol.formatRefusal(refusal, requestId);
        headers["content-length"] = Buffer.byteLength(body);
        // When another request has begun behind this one, this one was read in spite of the refusal.
        if ((!keepsAlive() || unread) && connection.isLast(due)) {
            headers["connection"] = "close";
            connection.announceEnd();
            // A caller that is still sending reads the refusal only if the rest is taken from it.
            const { req } = response;
            const drop = (): void => connection.drop(req);
            req.on("data", drop).resume();
            response.once("finish", () => req.off("data", drop).resume());
        }
        response.writeHead(statusCode, headers);
        response.end(body);
        connection.watchTaking();
    },
    writeAnswer: (due, id, answer) => {
        const { response, connection } = due;
        const { headers, body } = answer;
        const isWritten = body === undefined || Buffer.isBuffer(body);
        // A caller of HTTP/1.0 reads no chunks.
        const lacksEnd = !isWritten && headers["content-length"] === undefined && response.req.httpVersion === "1.0";
        const endsWithConnection = answer.endsWithConnection === true || lacksEnd;
        protocol.addAnswerHeaders(headers, id);
        if (endsWithConnection || (!keepsAlive() && connection.isLast(due))) {
            headers["connection"] = "close";
            connection.announceEnd();
        }
        if (endsWithConnection) {
            response.removeHeader("transfer-encoding");
        }
        const nameWholeEnd = (): void => {
            if (endsWithConnection) {
                connection.nameEnd("answer-without-length");
            }
        };
        response.writeHead(answer.statusCode, headers);
        if (isWritten) {
            nameWholeEnd();
            response.end(body);
            connection.watchTaking();
            return true;
        }
        return streamBody(response, body, connection.watchTaking, nameWholeEnd, cut => {
            connection.nameEnd(cut);
            // Only a reset tells the caller that an answer without a length is not whole.
            if (endsWithConnection) {
                reset(response);
            }
            else {
                response.destroy();
            }
        });
    },
    formatBytes: refusal => {
        const { statusCode, headers, body } = protocol.formatRefusal(refusal, undefined);
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        return `HTTP/1.1 ${statusCode} ${STATUS_CODES[statusCode] ?? ""}\r\nconnection: close\r\n${lines}`
            + `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
    },
});
