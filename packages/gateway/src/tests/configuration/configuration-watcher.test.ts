import test from 'ava';
import {ConfigurationView, ConfigurationWatcher} from '../../configuration/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {type CoordinationStore} from '../../ports/index.js';
import {BackgroundTasks} from '../../tasks/index.js';
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
