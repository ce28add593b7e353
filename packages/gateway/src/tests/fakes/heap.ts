import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';

/** Collects what is no longer used, and returns the size of the heap, in bytes. */
export async function measureHeapBytes(): Promise<number> {
	v8.setFlagsFromString('--expose-gc');
	const collectGarbage = vm.runInNewContext('gc') as () => void;
	// Targets of weak references are kept until the running job ends.
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	collectGarbage();
	return process.memoryUsage().heapUsed;
}
