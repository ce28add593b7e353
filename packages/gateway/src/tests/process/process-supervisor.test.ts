import test from 'ava';
import {Left, Right, type Either} from 'purify-ts';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {
	type Listener, ProcessSupervisor, readLimitMs, SignalBuffer,
} from '../../process/index.js';
import {VirtualTime} from '../fakes/virtual-time.js';

type Settings = {readonly name: string};

function createSystemError(code: string): Error {
	return Object.assign(new Error(`bind ${code}`), {code});
}

/** A process in virtual time, with addresses that can be held by another one. */
class SupervisedProcess {
	readonly time = new VirtualTime();
	readonly events: string[] = [];
	readonly errors: string[] = [];
	readonly exits: number[] = [];
	readonly metrics = new GatewayMetrics();
	readonly bound: string[] = [];
	/** Names of the settings that a service was created with. */
	readonly created: string[] = [];
	/** Errors of the binds by the name of the listener. */
	readonly bindErrors = new Map<string, string>();
	/** Settings that were applied, or the reasons why none were. */
	readonly applied: string[] = [];
	settings: Either<string, Settings> = Right({name: 'first'});
	startCount = 0;
	drainMs = 200;
	graceMs = 2000;
	readonly supervisor: ProcessSupervisor<Settings>;
	/** Called when the service starts. */
	onStart = () => undefined;
	readonly output = {
		write: (line: string) => {
			const {message, context} = JSON.parse(line) as {message: string; context: Record<string, unknown>};
			this.events.push([message, ...Object.entries(context).filter(([name]) => name !== 'logLevel' && name !== 'waitedMs').map(([name, value]) => `${name}=${String(value).split('\n', 1)[0]}`)].join(' '));
		},
		writableLength: 0,
	};

	constructor() {
		const createListener = (name: Listener['name']): Listener => ({
			name, address: `vm1:${name}`, bind: async () => {
				const code = this.bindErrors.get(name);
				if (code !== undefined) {
					throw createSystemError(code);
				}

				this.bound.push(name);
				return {
					close: () => {
						this.bound.splice(this.bound.indexOf(name), 1);
					},
				};
			},
		});
		this.supervisor = new ProcessSupervisor({
			loadSettings: () => this.settings,
			createService: settings => {
				this.created.push(settings.name);
				return {
					log: new EventLog('vm1', this.output),
					metrics: this.metrics,
					listeners: [createListener('callers'), createListener('probe'), createListener('peers')],
					optionalListeners: [createListener('metrics')],
					start: async () => {
						this.startCount += 1;
						this.onStart();
					},
					applySettings: reading => {
						this.applied.push(reading.caseOf({Left: reason => reason, Right: ({name}) => name}));
					},
					drain: async () => new Promise(resolve => {
						setTimeout(resolve, this.drainMs);
					}),
					getGraceMs: () => this.graceMs,
				};
			},
		}, {
			clock: this.time, log: new EventLog(undefined, this.output), writeError: text => this.errors.push(text), exit: code => this.exits.push(code),
		});
	}

	/** Begins to run, and lets the time pass. */
	async start(ms: number): Promise<void> {
		void this.supervisor.run();
		await this.time.advance(ms);
	}

	async stop(ms = 1000): Promise<void> {
		this.supervisor.handleSignal('SIGTERM');
		await this.time.advance(ms);
		this.time.stop();
	}
}

// Guards against a process that ends, because a former process of the VM still holds one of its addresses or the VM has not got it yet, and against one that acts for the VM meanwhile.
test.serial('a process waits for each of its addresses and starts when the last one is bound, with a line for the wait and one for its end', async t => {
	for (const name of ['callers', 'probe', 'peers'] as const) {
		for (const code of ['EADDRINUSE', 'EADDRNOTAVAIL']) {
			const process = new SupervisedProcess();
			process.bindErrors.set(name, code);
			await process.start(60_000);
			t.is(process.startCount, 0);
			t.is(process.supervisor.phase, 'binding');
			process.bindErrors.clear();
			await process.time.advance(200);
			t.is(process.startCount, 1);
			t.is(process.supervisor.phase, 'serving');
			t.deepEqual(process.events, [`listener.waiting vm=vm1 listener=${name} address=vm1:${name} reason=${code}`, `listener.bound vm=vm1 listener=${name} address=vm1:${name}`]);
			await process.stop();
			t.deepEqual(process.exits, [0]);
		}
	}
});

// Guards against two processes of one VM that wait for each other, each with a part of the addresses.
test.serial('addresses are bound in one order, and none after one that is held', async t => {
	const process = new SupervisedProcess();
	process.bindErrors.set('callers', 'EADDRINUSE');
	await process.start(1000);
	t.deepEqual(process.bound, ['metrics']);
	process.bindErrors.clear();
	await process.time.advance(200);
	t.deepEqual(process.bound, ['metrics', 'callers', 'probe', 'peers']);
	await process.stop();
});

test.serial('an error of a bind that does not pass by itself ends the process, with exit code 1 and a line', async t => {
	const process = new SupervisedProcess();
	process.bindErrors.set('probe', 'EACCES');
	await process.start(100);
	t.deepEqual(process.exits, [1]);
	t.is(process.events.at(-1), 'process.ended vm=vm1 phase=binding code=1 reason=bind EACCES');
	process.time.stop();
});

// Guards against metrics that are never served because their address was in use at the start.
test.serial('the process starts without the address of the metrics, and binds it later', async t => {
	const process = new SupervisedProcess();
	process.bindErrors.set('metrics', 'EADDRINUSE');
	await process.start(5000);
	t.is(process.startCount, 1);
	process.bindErrors.clear();
	await process.time.advance(200);
	t.deepEqual(process.bound, ['callers', 'probe', 'peers', 'metrics']);
	await process.stop();
	t.deepEqual(process.exits, [0]);
});

test.serial('SIGTERM ends the process in order and with exit code 0 in each phase, a second one changes nothing', async t => {
	const loading = new SupervisedProcess();
	loading.settings = Left('no file');
	await loading.start(1000);
	await loading.stop();
	t.deepEqual(loading.exits, [0]);
	t.is(loading.events.at(-1), 'process.ended phase=loading-settings code=0 reason=SIGTERM');

	const binding = new SupervisedProcess();
	binding.bindErrors.set('peers', 'EADDRINUSE');
	await binding.start(1000);
	await binding.stop();
	t.deepEqual(binding.exits, [0]);
	t.is(binding.startCount, 0);
	t.is(binding.events.at(-1), 'process.ended vm=vm1 phase=binding code=0 reason=SIGTERM');

	const serving = new SupervisedProcess();
	await serving.start(1000);
	serving.supervisor.handleSignal('SIGTERM');
	await serving.time.advance(100);
	t.is(serving.supervisor.phase, 'stopping');
	t.deepEqual(serving.exits, []);
	await serving.stop();
	t.deepEqual(serving.exits, [0]);
	t.is(serving.events.at(-1), 'process.ended vm=vm1 phase=stopping code=0 reason=SIGTERM');
});

test.serial('a shutdown that hangs ends before the end of the grace period', async t => {
	const process = new SupervisedProcess();
	process.drainMs = 60_000;
	await process.start(100);
	process.supervisor.handleSignal('SIGTERM');
	await process.time.advance(process.graceMs - 10);
	t.deepEqual(process.exits, [0]);
	t.is(process.events.at(-1), 'process.ended vm=vm1 phase=stopping code=0 reason=SIGTERM; the shutdown did not end in time');
	process.time.stop();
});

// Guards against a shutdown that is given up at once, because the grace period is beyond the range of timers.
test.serial('a shutdown has its time also when the grace period is longer than a timer can wait for', async t => {
	for (const graceMs of [1e12, Number.POSITIVE_INFINITY]) {
		const process = new SupervisedProcess();
		process.graceMs = graceMs;
		await process.start(100);
		await process.stop();
		t.deepEqual(process.exits, [0]);
		t.is(process.events.at(-1), 'process.ended vm=vm1 phase=stopping code=0 reason=SIGTERM');
	}
});

// Guards against a process that ends, because its settings file is being replaced at the start.
test.serial('settings that cannot be read are read again, with a line for each reason, and end the process only after the limit', async t => {
	const process = new SupervisedProcess();
	process.settings = Left('no file');
	await process.start(10_000);
	process.settings = Left('cut off');
	await process.time.advance(10_000);
	t.deepEqual(process.events, ['settings.unreadable reason=no file', 'settings.unreadable reason=cut off']);
	t.deepEqual(process.errors, ['chicorysaddle: no file\n', 'chicorysaddle: cut off\n']);
	process.settings = Right({name: 'first'});
	await process.time.advance(200);
	t.is(process.startCount, 1);
	await process.stop();

	const never = new SupervisedProcess();
	never.settings = Left('no file');
	await never.start(readLimitMs - 500);
	t.deepEqual(never.exits, []);
	await never.time.advance(1000);
	t.deepEqual(never.exits, [1]);
	t.deepEqual(never.events, ['settings.unreadable reason=no file', 'process.ended phase=loading-settings code=1 reason=no file']);
	never.time.stop();
});

test.serial('SIGHUP during the start reloads once running, and not if the settings were read after it', async t => {
	const early = new SupervisedProcess();
	early.settings = Left('no file');
	await early.start(1000);
	early.supervisor.handleSignal('SIGHUP');
	early.settings = Right({name: 'second'});
	await early.time.advance(1000);
	t.is(early.startCount, 1);
	t.deepEqual(early.applied, []);
	await early.stop();

	const binding = new SupervisedProcess();
	binding.bindErrors.set('callers', 'EADDRINUSE');
	await binding.start(1000);
	binding.settings = Right({name: 'second'});
	binding.supervisor.handleSignal('SIGHUP');
	await binding.time.advance(1000);
	t.deepEqual(binding.applied, []);
	binding.bindErrors.clear();
	await binding.time.advance(1000);
	t.deepEqual(binding.applied, ['second']);
	await binding.stop();
	t.deepEqual(binding.exits, [0]);
});

// Guards against settings that are never applied, because their file was being replaced when the signal came.
test.serial('after SIGHUP settings that cannot be read are read again for a bounded time', async t => {
	const process = new SupervisedProcess();
	await process.start(100);
	process.settings = Left('cut off');
	process.supervisor.handleSignal('SIGHUP');
	await process.time.advance(3000);
	t.deepEqual(process.applied, ['cut off']);
	process.settings = Right({name: 'second'});
	await process.time.advance(200);
	t.deepEqual(process.applied, ['cut off', 'second']);

	process.settings = Left('no file');
	process.supervisor.handleSignal('SIGHUP');
	await process.time.advance(readLimitMs + 1000);
	t.deepEqual(process.applied.slice(2), ['no file', 'not read again: no file']);
	process.settings = Right({name: 'third'});
	await process.time.advance(10_000);
	t.is(process.applied.length, 4);
	process.supervisor.handleSignal('SIGHUP');
	await process.time.advance(10);
	t.is(process.applied.at(-1), 'third');
	await process.stop();
	t.deepEqual(process.exits, [0]);
});

// Guards against settings that stay incomplete, because their file was cut off after a complete beginning when it was read at the start, and no signal follows.
test.serial('settings that change after they were read at the start are applied without a signal, until two readings agree', async t => {
	const process = new SupervisedProcess();
	await process.start(500);
	process.settings = Right({name: 'second'});
	await process.time.advance(1000);
	t.deepEqual(process.applied, ['second']);
	process.settings = Left('cut off');
	await process.time.advance(1000);
	process.settings = Right({name: 'third'});
	await process.time.advance(1000);
	t.deepEqual(process.applied, ['second', 'third']);
	await process.time.advance(2000);
	process.settings = Right({name: 'fourth'});
	await process.time.advance(60_000);
	t.deepEqual(process.applied, ['second', 'third'], 'later changes are announced by a signal');
	t.deepEqual(process.created, ['first']);
	await process.stop();
	t.deepEqual(process.exits, [0]);
});

test.serial('settings that are the same a moment after the start are not applied again, and a file that is gone changes nothing', async t => {
	const process = new SupervisedProcess();
	await process.start(5000);
	t.deepEqual(process.applied, []);
	await process.stop();

	const gone = new SupervisedProcess();
	await gone.start(500);
	gone.settings = Left('no file');
	await gone.time.advance(60_000);
	t.deepEqual(gone.applied, []);
	await gone.stop();
	t.deepEqual(gone.exits, [0]);
});

// Guards against a process that waits for good for an address that its settings named only while their file was being written.
test.serial('settings that change while addresses are waited for are taken into force, before anything acts for the VM', async t => {
	const process = new SupervisedProcess();
	process.bindErrors.set('peers', 'EADDRNOTAVAIL');
	await process.start(3000);
	t.deepEqual(process.bound, ['metrics', 'callers', 'probe']);
	process.settings = Left('cut off');
	await process.time.advance(3000);
	t.deepEqual(process.created, ['first']);
	process.settings = Right({name: 'second'});
	await process.time.advance(1500);
	t.deepEqual(process.created, ['first', 'second']);
	t.deepEqual(process.bound, ['metrics', 'callers', 'probe'], 'the former addresses are given back');
	t.is(process.startCount, 0);
	process.bindErrors.clear();
	await process.time.advance(200);
	t.is(process.startCount, 1);
	t.deepEqual(process.created, ['first', 'second']);
	await process.time.advance(2000);
	t.deepEqual(process.applied, []);
	t.true(process.events.includes('settings.changed vm=vm1'), process.events.join('; '));
	await process.stop();
	t.deepEqual(process.exits, [0]);
});

test.serial('settings that change while the addresses are bound are read once more before the start', async t => {
	const process = new SupervisedProcess();
	process.bindErrors.set('callers', 'EADDRINUSE');
	await process.start(250);
	process.settings = Right({name: 'second'});
	process.bindErrors.clear();
	await process.time.advance(200);
	t.deepEqual(process.created, ['first', 'second']);
	t.deepEqual(process.bound.toSorted(), ['callers', 'metrics', 'peers', 'probe']);
	t.is(process.startCount, 1);
	await process.stop();
});

// Guards against a process that ends, because one of its tasks failed.
test.serial('an unhandled rejection is logged and counted, and the process goes on', async t => {
	const process = new SupervisedProcess();
	await process.start(100);
	process.supervisor.handleRejection(new TypeError('unexpected row'));
	process.supervisor.handleRejection(Object.create(null));
	process.supervisor.handleRejection(undefined);
	await process.time.advance(1000);
	t.is(process.supervisor.phase, 'serving');
	t.deepEqual(process.events, ['task.failed vm=vm1 task=unknown error=TypeError: unexpected row', 'task.failed vm=vm1 task=unknown error=an error that cannot be formatted', 'task.failed vm=vm1 task=unknown error=undefined']);
	t.is(process.metrics.getCount('task_failed'), 3);
	await process.stop();
	t.deepEqual(process.exits, [0]);
});

// Guards against callers that lose what they have begun, because the process ends at once on an error.
test.serial('an uncaught exception ends the process in order with exit code 1, and errors of the shutdown do not end it early', async t => {
	const process = new SupervisedProcess();
	await process.start(100);
	process.supervisor.handleException(new TypeError('unexpected row'));
	await process.time.advance(100);
	t.is(process.supervisor.phase, 'stopping');
	process.supervisor.handleException(new Error('another'));
	process.supervisor.handleRejection(new Error('a third'));
	await process.time.advance(80);
	t.deepEqual(process.exits, []);
	await process.time.advance(100);
	t.deepEqual(process.exits, [1]);
	t.deepEqual(process.events, [
		'process.failed vm=vm1 phase=serving error=TypeError: unexpected row',
		'process.failed vm=vm1 phase=stopping error=Error: another',
		'task.failed vm=vm1 task=unknown error=Error: a third',
		'process.ended vm=vm1 phase=stopping code=1 reason=unexpected row',
	]);
	process.time.stop();
});

test.serial('an error of the start ends the process with a line', async t => {
	const process = new SupervisedProcess();
	process.onStart = () => {
		throw new TypeError('unexpected setting');
	};

	await process.start(100);
	t.deepEqual(process.exits, [1]);
	t.is(process.events.at(-1), 'process.ended vm=vm1 phase=binding code=1 reason=unexpected setting');
	process.time.stop();
});

// Guards against a log whose reader has ended, and which ends the process by an error of its own.
test.serial('a log that cannot be written changes nothing', async t => {
	const process = new SupervisedProcess();
	await process.start(100);
	process.output.write = () => {
		throw createSystemError('EPIPE');
	};

	t.notThrows(() => {
		process.supervisor.handleRejection(new Error('first'));
		process.supervisor.handleException(new Error('second'));
	});
	await process.time.advance(1000);
	t.deepEqual(process.exits, [1]);
	process.time.stop();
});

test('signals that arrive before the program is loaded are handled afterwards, in order, and later ones at once', t => {
	const listeners = new Map<string, () => void>();
	const buffer = new SignalBuffer({
		on: (signal, listener) => listeners.set(signal, listener),
	});
	listeners.get('SIGHUP')!();
	listeners.get('SIGTERM')!();
	const handled: string[] = [];
	buffer.onSignal(signal => {
		handled.push(signal);
	});
	t.deepEqual(handled, ['SIGHUP', 'SIGTERM']);
	listeners.get('SIGHUP')!();
	t.deepEqual(handled, ['SIGHUP', 'SIGTERM', 'SIGHUP']);
});
