import test from 'ava';
import fc from 'fast-check';
import {
	applyConfigurationChanges, ConfigurationHistory, ConfigurationSnapshot, createConfigurationChanges, decodeSnapshotText, parseConfiguration, parseLargeConfiguration,
} from '../../configuration/index.js';
import {createConfiguration} from '../fakes/test-cluster.js';

const items = fc.array(fc.record({name: fc.integer({min: 0, max: 12}), rate: fc.integer({min: 0, max: 2})}), {maxLength: 20});
const configurations = fc.record({
	version: fc.integer(), routes: items, accounts: items, limit: fc.integer({min: 0, max: 3}),
});

test('changes lead from any configuration to any other, exactly', t => {
	fc.assert(fc.property(configurations, configurations, (before, after) => {
		const changes = createConfigurationChanges(JSON.stringify(before), JSON.stringify(after));
		t.is(applyConfigurationChanges(JSON.stringify(before), changes), JSON.stringify(after));
	}), {seed: 11});
});

// Guards against keys that are lost from objects that serve as maps, or found in those that lack them.
test('changes keep keys that are names of properties of every object', t => {
	const names = ['__proto__', 'constructor', 'toString'];
	const texts = [[], names.slice(0, 2), names].flatMap(keys => [0, [1], [1, 2]].map(value => JSON.stringify(Object.fromEntries(['version', ...keys].map(key => [key, value])))));
	for (const before of texts) {
		for (const after of texts) {
			t.is(applyConfigurationChanges(before, createConfigurationChanges(before, after)), after);
		}
	}

	t.is(applyConfigurationChanges('{}', '{"keys":["constructor","__proto__"],"lists":{},"values":{}}'), '{}');
});

test('malformed changes give no configuration', t => {
	for (const changes of ['{}', '[]', '{"keys":["a"],"lists":{"a":[{"copy":"x"}]},"values":{}}']) {
		t.is(applyConfigurationChanges('{"a":[1]}', changes), undefined);
	}
});

function createSnapshot(version: number, routeCount: number): ConfigurationSnapshot {
	const small = createConfiguration(version);
	return new ConfigurationSnapshot({...small, routes: Array.from({length: routeCount}, (_, index) => ({...small.routes[0]!, name: `route-${index}`, database: `database-${(index * 7919) % 99_991}`}))});
}

test('the last four versions get changes, an older one and one that differs in everything the whole configuration', t => {
	const history = new ConfigurationHistory();
	t.is(history.getStream(0), undefined);
	for (let version = 1; version <= 6; version++) {
		history.setCurrent(createSnapshot(version, 1700 + version));
	}

	t.deepEqual([0, 1, 2, 5, 6].map(version => history.getStream(version)!.base), [undefined, undefined, 2, 5, undefined]);
	const {bytes} = history.getStream(5)!;
	t.is(applyConfigurationChanges(createSnapshot(5, 1705).text, decodeSnapshotText(bytes)), history.current!.text);
	t.true(bytes.length * 10 < history.current!.compressed.length);
});

test('a large configuration that is validated in steps gives the same as at once, also where it is malformed', async t => {
	const {text} = createSnapshot(2, 1700);
	const isSame = async (candidate: string) => {
		const large = await parseLargeConfiguration(candidate);
		const whole = parseConfiguration(candidate);
		t.is(large.isRight(), whole.isRight());
		t.deepEqual(large.toMaybe().extract(), whole.toMaybe().extract());
	};

	await isSame(text);
	await isSame(text.replace('"route-1600"', '7'));
	await isSame(text.replace('"version":2', '"version":"x"'));
	await isSame('no JSON');
	await isSame('null');
});
