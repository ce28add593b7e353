import process from 'node:process';
import {ROARR} from 'roarr';

/**
 * Calls a listener with each error of standard output, such as that of a full disk, and ignores errors of standard error.
 * It replaces the listener of Roarr, which throws all errors but EPIPE.
 */
export function onOutputError(listener: () => void): void {
	ROARR.teardown?.();
	process.stdout.on('error', listener);
	process.stderr.on('error', () => {
		// Nothing else could tell of it.
	});
}
