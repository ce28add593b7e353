import test from 'ava';
import {ConfigurationView} from '../../configuration/index.js';
import {AccountLimiter} from '../../limits/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {BackgroundTasks} from '../../tasks/index.js';
import {measureCollections} from '../fakes/collection-sizes.js';
import {createConfiguration} from '../fakes/test-cluster.js';
import {VirtualTime} from '../fakes/virtual-time.js';

/** Sliding window of the limits, in milliseconds. */
const limitWindowMs = 5000;

const versionCount = 50;

// Guards against memory that grows with every account that was ever in the configuration.
test.serial('a VM forgets the accounts that the configuration has dropped, and keeps the others', async t => {
	const time = new VirtualTime();
	const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});
	const metrics = new GatewayMetrics();
	const configuration = new ConfigurationView();
	const limiter = new AccountLimiter({
		configuration, clock: time, metrics, log, tasks: new BackgroundTasks(log, metrics, time), getSettings: () => ({
			drainMs: 0, limitWindowMs, capacity: 1, seeds: [],
		}),
	});
	limiter.setTokenRequester(async demands => Object.fromEntries(Object.entries(demands).map(([account, {needed}]) => [account, {
		count: needed, waitMs: 0, free: undefined, used: undefined,
	}])));
	const countAccounts = () => measureCollections(limiter, value => value !== limiter && !(value instanceof Map)).get('AccountLimiter.#accounts');
	for (let version = 1; version <= versionCount; version++) {
		const {accounts} = createConfiguration(version);
		configuration.applyConfiguration(createConfiguration(version, {accounts: [...accounts, {...accounts[0]!, name: `account-${version}`, keyDigests: [`key-${version}`]}]}));
		await Promise.all(['large', `account-${version}`].map(async account => time.waitFor(limiter.acquireToken(account, false))));
	}

	t.is(countAccounts(), versionCount + 1);
	t.is(limiter.createUsageReport().length, versionCount + 1, 'operations of a dropped account still count');
	await time.advance(2 * limitWindowMs);
	configuration.applyConfiguration(createConfiguration(versionCount + 1));
	await time.waitFor(limiter.acquireToken('small', false));
	t.is(countAccounts(), 2);
	time.stop();
});
