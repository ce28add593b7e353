import {type Clock} from '../ports/index.js';
import {type EventLog} from '../observability/index.js';
import {delay} from './delay.js';

/** Interval between attempts to bind an address, in milliseconds: a probe that comes once a second finds the VM at most one interval later. */
const bindIntervalMs = 100;

/** Errors of a bind that pass by themselves: another process, such as the former one of this VM, holds the address, the VM has not got it yet, or the system is short of descriptors or memory. */
const passingErrorCodes: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']);

/** Name of a listener in the log. */
export type ListenerName = 'callers' | 'metrics' | 'peers' | 'probe';

/** An address that is bound. */
export type BoundListener = {
	/** Gives the address back; connections that were accepted stay open. */
	close(): unknown;
};

/** An address to listen on. */
export type Listener = {
	readonly name: ListenerName;
	/** Host and port. */
	readonly address: string;
	/** Binds the address; rejects if it cannot be bound. */
	readonly bind: () => Promise<BoundListener>;
};

/** Conditions of a bind. */
export type BindConditions = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** Aborted to give up. */
	readonly signal: AbortSignal;
};

/**
 * Binds an address, and tries again while it is in use or not assigned.
 * @returns The bound address, undefined if the signal was aborted before.
 * @throws The error of the bind, if it does not pass by itself.
 */
export async function bindAddress({name, address, bind}: Listener, {clock, log, signal}: BindConditions): Promise<BoundListener | undefined> {
	const startedAt = clock.now();
	let isWaiting = false;
	while (!signal.aborted) {
		try {
			const bound = await bind();
			if (isWaiting) {
				log.logEvent('listener.bound', {listener: name, address, waitedMs: Math.round(clock.now() - startedAt)});
			}

			return bound;
		} catch (error) {
			const code = error instanceof Error && 'code' in error ? error.code : undefined;
			if (!passingErrorCodes.has(code)) {
				throw error;
			}

			if (!isWaiting) {
				isWaiting = true;
				log.logEvent('listener.waiting', {listener: name, address, reason: String(code)});
			}

			await delay(bindIntervalMs, signal);
		}
	}

	return undefined;
}
