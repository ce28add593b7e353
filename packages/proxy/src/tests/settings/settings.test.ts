import {readFile} from 'node:fs/promises';
import test from 'ava';
import {formatSettingsReference, parseSettings} from '../../index.js';

const validSettings = `
[vm]
name = "vm-1"
zone = "z"
[platform]
address = "127.0.0.1:7900"
[peers]
secret = "a-shared-secret-of-some-length"
`;

test('missing settings get their default values', t => {
	const settings = parseSettings('vm.toml', validSettings).unsafeCoerce();
	t.deepEqual([settings.ports.caller, settings.timeouts.freshness_ms, settings.policy.reads], [7000, 2500, 'product']);
});

test('each error gives the file, line, key and expected value', t => {
	const invalidSettings = `${validSettings}[ports]\ncaller = 70000\ncolour = "red"\n[timeouts]\nfreshness_ms = "soon"\n`;
	t.deepEqual(parseSettings('vm.toml', invalidSettings).swap().orDefault([]).toSorted(), [
		'vm.toml:10: ports.caller: Too big: expected number to be <=65535',
		'vm.toml:11: ports.colour: Unrecognized key: "colour"',
		'vm.toml:13: timeouts.freshness_ms: Invalid input: expected number, received string',
	]);
	t.regex(parseSettings('vm.toml', '[vm\n').swap().orDefault([])[0]!, /^vm\.toml:1:\d+: /v);
	t.true(parseSettings('vm.toml', '[vm]\nname = "x"\n').swap().orDefault([]).some(error => error.includes('platform')));
});

test('the settings page matches the schema', async t => {
	const page = await readFile(new URL('../../../../../docs/SETTINGS.md', import.meta.url), 'utf8');
	t.is(page, formatSettingsReference());
});
