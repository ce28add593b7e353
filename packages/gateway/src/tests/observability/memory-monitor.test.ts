import test from 'ava';
import {
	EventLog, GatewayMetrics, MemoryMonitor, type MemoryUsage,
} from '../../observability/index.js';
import {BackgroundTasks} from '../../tasks/index.js';
import {VirtualTime} from '../fakes/virtual-time.js';

const bytesPerMb = 1_048_576;

/** Creates a monitor of a process whose use of the heap the test sets, with the names of the events that it logs. */
function createMonitor() {
	const events: Array<{readonly message: string; readonly context: Readonly<Record<string, unknown>>}> = [];
	const usage: {-readonly [Name in keyof MemoryUsage]: MemoryUsage[Name]} = {
		heapUsed: 20 * bytesPerMb, heapLimit: 160 * bytesPerMb, external: 3 * bytesPerMb, resident: 90 * bytesPerMb,
	};
	const metrics = new GatewayMetrics();
	const monitor = new MemoryMonitor(new EventLog('vm1', {
		write(text: string) {
			events.push(JSON.parse(text) as (typeof events)[number]);
		}, writableLength: 0,
	}), metrics, () => usage);
	return {
		events, usage, metrics, monitor,
	};
}

// Guards against a process that ends for lack of memory without a line that says so.
test('a heap near its limit is logged once, until it has shrunk well below', t => {
	const {events, usage, monitor} = createMonitor();
	const names = [20, 127, 128, 140, 120, 130, 105, 103, 128].map(heapMb => {
		usage.heapUsed = heapMb * bytesPerMb;
		events.length = 0;
		monitor.check();
		return events.map(({message}) => message).join(',');
	});
	t.deepEqual(names, ['memory.used', '', 'memory.high', '', '', '', '', 'memory.normal', 'memory.high']);
});

// Guards against a log without the course of the memory, and against one that it fills.
test('the memory is logged every 30 s, and shown as gauges', t => {
	const {events, metrics, monitor} = createMonitor();
	for (let check = 0; check < 31; check++) {
		monitor.check();
	}

	t.is(events.length, 3);
	const {heapMb, limitMb, externalMb, residentMb} = events[0]!.context;
	t.deepEqual([heapMb, limitMb, externalMb, residentMb], [20, 160, 3, 90]);
	t.regex(metrics.formatPrometheusText(), /^chicorysaddle_heap_used_bytes 20971520$/mv);
	t.regex(metrics.formatPrometheusText(), /^chicorysaddle_resident_bytes 94371840$/mv);
});

// Guards against a process that ends because it has no descriptor left to read its resident size with.
test.serial('an unknown resident size is left out, and an error of a check is contained', async t => {
	const time = new VirtualTime();
	const {events, usage, metrics, monitor} = createMonitor();
	usage.resident = undefined;
	monitor.check();
	t.false('residentMb' in events[0]!.context);
	t.regex(metrics.formatPrometheusText(), /^chicorysaddle_resident_bytes NaN$/mv);
	const failing = new MemoryMonitor(new EventLog('vm1', {write: () => undefined, writableLength: 0}), metrics, () => {
		throw new Error('EMFILE');
	});
	failing.start(new BackgroundTasks(new EventLog('vm1', {write: () => undefined, writableLength: 0}), metrics, time));
	await time.advance(4100);
	t.is(metrics.getCount('task_failed'), 2);
	time.stop();
});
