/**
 * Asks a target whether it still runs, when the end of its connection was the only sign that an answer was whole: a
 * target that crashes ends its connections in the same way.
 */
import type { Clock } from "../../contracts/clock.ts";
import type { TargetProtocol } from "../../contracts/resident.ts";
import type { TargetExchange } from "../../links/exchange.ts";
import type { TargetState } from "./targetstates.ts";

export type SignOfLifeOptions = {
    targetState: TargetState;
    protocol: Pick<TargetProtocol, "buildCheckHeaders" | "isAnswerOf">;
    healthPath: string;
    clock: Clock;
};

/** A target that crashed is not back that soon. */
const limitMilliseconds = 300;
/** Bytes that are read of the answer, whose head is all that counts. */
const maxBodyBytes = 65_536;

/** Resolves to whether the same target answered within the limit. Never rejects. */
export const askForLife = ({ targetState, protocol, healthPath, clock }: SignOfLifeOptions): Promise<boolean> =>
    new Promise(resolve => {
        const { target, link } = targetState;
        const settle = (isAlive: boolean): void => {
            cancelTimer();
            resolve(isAlive && !targetState.gone && targetState.target.incarnation === target.incarnation);
        };
        let exchange: TargetExchange | undefined;
        let bodyBytes = 0;
        const cancelTimer = clock.after(limitMilliseconds, () => {
            settle(false);
            exchange?.abort();
        });
        try {
            exchange = link.send(
                { method: "GET", path: healthPath, headers: protocol.buildCheckHeaders(target), body: undefined },
                {
                    mayStart: () => true,
                    onHead: (statusCode, headers) => settle(protocol.isAnswerOf(target, statusCode, headers)),
                    onBytes: bytes => {
                        bodyBytes += bytes.length;
                        if (bodyBytes > maxBodyBytes) {
                            exchange?.abort();
                        }
                        return true;
                    },
                    onEnd: () => undefined,
                    onFailure: () => settle(false),
                },
            );
        }
        catch {
            settle(false);
        }
    });
