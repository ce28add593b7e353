import test from 'ava';
import {
	ConfigurationView, ConfigurationWatcher, formatConfiguration, parseConfiguration, parseLargeConfiguration,
} from '../../configuration/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {BackgroundTasks} from '../../tasks/index.js';
import {FakeStore, FakeStoreClient} from '../fakes/index.js';
import {createConfiguration} from '../fakes/test-cluster.js';

const clock = {now: () => 0, getWallTime: () => 0};
const deeplyNested = '['.repeat(100_000) + ']'.repeat(100_000);
const valid = formatConfiguration(createConfiguration(3));

/** Configurations that can't be used, as texts. */
const hostileTexts = [
	'',
	'null',
	'7',
	'[]',
	'{}',
	deeplyNested,
	`{"version":${deeplyNested}}`,
	valid.replace('"version":3', '"version":1e300'),
	valid.replace('"version":3', '"version":1e999'),
	valid.replace('"version":3', '"version":3.5'),
	valid.replace('"version":3', '"version":-3'),
	valid.replace('"maxConnections":30', '"maxConnections":-1'),
	valid.replace('"ratePerS":100', '"ratePerS":1e999'),
	valid.replace('"transactionIdleMs":3000', '"transactionIdleMs":-5'),
	`{"version":9,"routes":[${'0,'.repeat(70_000)}0]}`,
];

// Guards against a configuration that is applied in the background and ends the process, or one after which no other can come into force.
test('a configuration that cannot be used is rejected without a throw', async t => {
	t.true(parseConfiguration(valid).isRight() && (await parseLargeConfiguration(valid)).isRight());
	for (const text of hostileTexts) {
		t.true(parseConfiguration(text).isLeft(), text.slice(0, 100));
		t.true((await parseLargeConfiguration(text)).isLeft(), text.slice(0, 100));
	}
});

// Guards against losing the configuration in force.
test('the configuration in force stays when another VM sends one that cannot be used', async t => {
	const view = new ConfigurationView();
	const lines: string[] = [];
	const log = new EventLog('vm1', {write: (text: string) => lines.push(text), writableLength: 0});
	const watcher = new ConfigurationWatcher(new FakeStoreClient('vm1', new FakeStore()), view, {
		random: () => 0.5, log, tasks: new BackgroundTasks(log, new GatewayMetrics(), clock),
	});
	watcher.applyEncoded(valid, 'peer');
	for (const text of hostileTexts) {
		watcher.applyEncoded(text, 'peer');
		await watcher.applyReceived({text}, 'peer', undefined);
	}

	t.is(view.version, 3);
	t.is(lines.filter(line => line.includes('configuration.unreadable')).length, 2 * hostileTexts.length);
	t.true(lines.every(line => line.length < 1000));
	watcher.applyEncoded(formatConfiguration(createConfiguration(4)), 'peer');
	t.is(view.version, 4);
});
