import {clampTimerMs} from '@chicorysaddle/model';

/** Waits for a time, in milliseconds, or until a signal is aborted. */
export async function delay(ms: number, signal?: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		const finish = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, clampTimerMs(ms));
		signal?.addEventListener('abort', finish);
		if (signal?.aborted === true) {
			finish();
		}
	});
}
