import test from 'ava';
import {ConfigurationView, ConfigurationWatcher} from '../../configuration/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {type CoordinationStore} from '../../ports/index.js';
import {BackgroundTasks} from '../../tasks/index.js';
import {FakeStore, FakeStoreClient} from '../fakes/fake-store.js';
import {createConfiguration} from '../fakes/test-cluster.js';
import {VirtualTime} from '../fakes/virtual-time.js';

function createWatcher() {
	const time = new VirtualTime();
	const view = new ConfigurationView();
	const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});
	const watcher = new ConfigurationWatcher({} as unknown as CoordinationStore, view, {
		random: () => 0, log, tasks: new BackgroundTasks(log, new GatewayMetrics(), time),
	});
	const apply = (version: number) => {
		watcher.applyEncoded(JSON.stringify(createConfiguration(version)), 'test');
	};

	return {
		time, view, watcher, apply,
	};
}

test.serial('a starting VM does not apply an older version than the coordinator has while it can get that one within two seconds', async t => {
	const {time, view, watcher, apply} = createWatcher();
	watcher.requireFirstVersion(3);
	apply(2);
	await time.advance(1900);
	t.is(view.version, 0);
	apply(3);
	await time.advance(1000);
	t.is(view.version, 3);
	time.stop();
});

test.serial('a starting VM applies an older version after two seconds, and newer ones after it as they come', async t => {
	const {time, view, watcher, apply} = createWatcher();
	watcher.requireFirstVersion(5);
	apply(2);
	apply(3);
	await time.advance(2050);
	t.is(view.version, 3);
	apply(4);
	t.is(view.version, 4);
	time.stop();
});

// Guards against a change that is never applied because the next poll begins after it, and against a watch that an error ends.
test.serial('a reading that a listener cannot handle is read again, and the configuration of it is in force meanwhile', async t => {
	const time = new VirtualTime();
	t.teardown(() => {
		time.stop();
	});
	const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});
	const metrics = new GatewayMetrics();
	const tasks = new BackgroundTasks(log, metrics, time);
	const store = new FakeStore();
	const view = new ConfigurationView();
	const watcher = new ConfigurationWatcher(new FakeStoreClient('vm1', store), view, {random: () => 0, log, tasks});
	const handled: boolean[] = [];
	let isFailing = false;
	watcher.onRead(({evacuations}) => {
		if (isFailing) {
			throw new Error('planned');
		}

		handled.push(evacuations?.evacuated.includes('a') === true);
	});
	store.setConfiguration(createConfiguration(1));
	tasks.runLoop('configuration watch', async () => watcher.run(), () => watcher.isStopped);
	await time.advance(100);
	t.is(view.version, 1);
	isFailing = true;
	store.setConfiguration(createConfiguration(2));
	store.setEvacuated('a', true);
	await time.advance(100);
	t.is(view.version, 2);
	t.false(handled.includes(true));
	isFailing = false;
	await time.advance(1500);
	t.true(handled.includes(true));
	t.true(metrics.getCount('task_failed') > 0);
	watcher.stop();
});

// Guards against a VM that calls the store without a pause, because the store answers each poll at once although nothing has changed.
test.serial('polls that are answered at once without a change follow each other at intervals, and a change is applied at once', async t => {
	const time = new VirtualTime();
	t.teardown(() => {
		time.stop();
	});
	const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});
	const tasks = new BackgroundTasks(log, new GatewayMetrics(), time);
	const store = new FakeStore();
	const client = new FakeStoreClient('vm1', store);
	const view = new ConfigurationView();
	const watcher = new ConfigurationWatcher(client, view, {random: () => 0, log, tasks});
	let polls = 0;
	const poll = client.pollConfiguration.bind(client);
	client.pollConfiguration = async (afterVersion, _waitMs, ...rest) => {
		polls += 1;
		return poll(afterVersion, 0, ...rest);
	};

	store.setConfiguration(createConfiguration(1));
	tasks.runLoop('configuration watch', async () => watcher.run(), () => watcher.isStopped);
	await time.advance(1000);
	t.true(polls > 0 && polls <= 10, `${polls} polls in a second`);
	store.setConfiguration(createConfiguration(2));
	await time.advance(150);
	t.is(view.version, 2);
	watcher.stop();
});

// Guards against a change that takes effect seconds late after the connections to the store went silent, and against reading a large configuration again for a doubt.
test.serial('a poll that is given up in doubt continues from the same version at once', async t => {
	const time = new VirtualTime();
	t.teardown(() => {
		time.stop();
	});
	const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});
	const tasks = new BackgroundTasks(log, new GatewayMetrics(), time);
	const store = new FakeStore();
	const client = new FakeStoreClient('vm1', store);
	const view = new ConfigurationView();
	const watcher = new ConfigurationWatcher(client, view, {random: () => 0, log, tasks});
	const poll = client.pollConfiguration.bind(client);
	const versions: number[] = [];
	let giveUp: (() => void) | undefined;
	client.pollConfiguration = async (afterVersion, ...rest) => {
		versions.push(afterVersion);
		return giveUp === undefined
			? new Promise(resolve => {
				giveUp = () => {
					resolve({kind: 'failed', failure: {reason: 'doubted', message: 'planned'}});
				};
			})
			: poll(afterVersion, ...rest);
	};

	store.setConfiguration(createConfiguration(1));
	tasks.runLoop('configuration watch', async () => watcher.run(), () => watcher.isStopped);
	await time.advance(1000);
	store.setConfiguration(createConfiguration(2));
	giveUp!();
	await time.advance(100);
	t.is(view.version, 2);
	t.is(versions[1], versions[0]);
	watcher.stop();
});
