import test, {type ExecutionContext} from 'ava';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {BackgroundTasks} from '../../tasks/index.js';
import {VirtualTime} from '../fakes/virtual-time.js';

function createTasks(t: ExecutionContext) {
	const time = new VirtualTime();
	t.teardown(() => {
		time.stop();
	});
	const lines: string[] = [];
	const metrics = new GatewayMetrics();
	const tasks = new BackgroundTasks(new EventLog('vm1', {write: (text: string) => lines.push(text), writableLength: 0}), metrics, time);
	return {
		time, tasks, metrics, countLines: () => lines.filter(line => line.includes('task.failed')).length,
	};
}

// Guards against a log that an error in every call fills, and against errors that are not counted.
test.serial('errors of a task are all counted, and logged at most once a second', async t => {
	const {time, tasks, metrics, countLines} = createTasks(t);
	const fail = tasks.createCallback('first', () => {
		throw new Error('planned');
	});
	for (let index = 0; index < 10; index++) {
		fail();
	}

	tasks.run('second', async () => {
		throw new Error('planned');
	});
	await time.runCallbacks();
	t.is(countLines(), 2);
	t.is(metrics.getCount('task_failed'), 11);
	await time.advance(1000);
	fail();
	t.is(countLines(), 3);
});

// Guards against a loop that stays ended after an error, such as the one that learns of withdrawn keys, and against one that is started again without a pause.
test.serial('a loop that fails is started again after a delay of at most a second, until it is stopped', async t => {
	const {time, tasks} = createTasks(t);
	let starts = 0;
	let isStopped = false;
	tasks.runLoop('loop', async () => {
		starts += 1;
		throw new Error('planned');
	}, () => isStopped);
	await time.runCallbacks();
	t.is(starts, 1);
	await time.advance(10_000);
	t.true(starts >= 10 && starts <= 14, `${starts} starts`);
	isStopped = true;
	const before = starts;
	await time.advance(3000);
	t.is(starts, before);
});

// Guards against values that cannot be converted to a text.
test.serial('an error of any type is logged', t => {
	const {tasks, countLines} = createTasks(t);
	tasks.recordFailure('odd', Object.create(null));
	t.is(countLines(), 1);
});
