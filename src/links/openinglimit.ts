/**
 * The limit on the time in which a WebSocket is opened.
 */
import type { WebSocket } from "ws";
import { systemClock } from "./clock.ts";

/** Closes the socket if it does not open in time. The timer of `ws` itself would come ahead of an answer that has arrived. */
export const limitOpening = (socket: WebSocket, milliseconds: number): void => {
    const cancel = systemClock.after(milliseconds, () => socket.terminate());
    socket.once("open", cancel);
    socket.once("close", cancel);
};
