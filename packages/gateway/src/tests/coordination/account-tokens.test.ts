import test from 'ava';
import {ConfigurationView} from '../../configuration/index.js';
import {AccountTokens} from '../../coordination/account-tokens.js';
import {EventLog} from '../../observability/index.js';
import {measureCollections} from '../fakes/collection-sizes.js';
import {createConfiguration} from '../fakes/test-cluster.js';
import {VirtualTime} from '../fakes/virtual-time.js';

/** Sliding window of the limits, in milliseconds. */
const limitWindowMs = 5000;

const versionCount = 50;

const silentMembers = {silent: [], members: 1};

// Guards against memory of a coordinator that grows with every account that was ever in the configuration.
test.serial('a coordinator forgets the accounts that the configuration has dropped, and keeps their usage for a window', async t => {
	const time = new VirtualTime();
	const configuration = new ConfigurationView();
	const tokens = new AccountTokens({
		configuration, clock: time, log: new EventLog('vm1', {write: () => undefined, writableLength: 0}), limitWindowMs,
	}, 0);
	const issueToken = (account: string) => tokens.issueTokens('vm1', {
		[account]: {
			needed: 1, urgent: undefined, extra: 0, admitted: undefined,
		},
	}, silentMembers);
	const countAccounts = () => ['#accounts', '#counters'].map(field => measureCollections(tokens, value => value === configuration || value === time).get(`TokenIssuer.${field}`));
	for (let version = 1; version <= versionCount; version++) {
		const {accounts} = createConfiguration(version);
		configuration.applyConfiguration(createConfiguration(version, {accounts: [...accounts, {...accounts[0]!, name: `account-${version}`, keyDigests: [`key-${version}`]}]}));
		issueToken('large');
		issueToken(`account-${version}`);
	}

	t.is(tokens.exportUsage(silentMembers).accounts.length, versionCount + 1);
	await time.advance(2 * limitWindowMs);
	configuration.applyConfiguration(createConfiguration(versionCount + 1));
	issueToken('small');
	t.deepEqual(countAccounts(), [2, 2]);
	time.stop();
});
