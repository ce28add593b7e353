import {statements, type TestCaller, type TestCluster} from '../fakes/test-cluster.js';

/** Sends writes through each session until a condition holds; returns whether it did in time. */
export async function writeUntil(cluster: TestCluster, callers: readonly TestCaller[], timeoutMs: number, isDone: () => boolean): Promise<boolean> {
	const deadline = cluster.time.now() + timeoutMs;
	const running = callers.map(async caller => {
		while (cluster.time.now() < deadline && !isDone()) {
			await caller.send(statements.write);
			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}
	});
	while (cluster.time.now() < deadline && !isDone()) {
		await cluster.time.advance(5);
	}

	const isReached = isDone();
	await cluster.time.waitFor(Promise.all(running));
	return isReached;
}

/** Writes until one is committed after the present time; returns whether that happened in time. */
export async function isServed(cluster: TestCluster, callers: readonly TestCaller[], timeoutMs: number): Promise<boolean> {
	const from = cluster.time.now();
	return writeUntil(cluster, callers, timeoutMs, () => cluster.database.events.some(({kind, at}) => kind === 'commit' && at > from));
}
