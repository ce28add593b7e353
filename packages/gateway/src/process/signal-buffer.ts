/** Signals that the process handles. */
export type ProcessSignal = 'SIGHUP' | 'SIGTERM';

/** Source of signals, as Node's `process`. */
export type SignalSource = {
	on(signal: ProcessSignal, listener: () => void): unknown;
};

const signals: readonly ProcessSignal[] = ['SIGHUP', 'SIGTERM'];

/** Keeps the signals that arrive before the program is loaded, so that none of them ends the process by its default action. */
export class SignalBuffer {
	readonly #received: ProcessSignal[] = [];
	#handle: ((signal: ProcessSignal) => void) | undefined;

	constructor(source: SignalSource) {
		for (const signal of signals) {
			source.on(signal, () => {
				if (this.#handle === undefined) {
					this.#received.push(signal);
				} else {
					this.#handle(signal);
				}
			});
		}
	}

	/** Passes the signals that have arrived to a handler, and all later ones as they arrive. */
	onSignal(handle: (signal: ProcessSignal) => void): void {
		this.#handle = handle;
		for (const signal of this.#received.splice(0)) {
			handle(signal);
		}
	}
}
