import test from 'ava';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {TermRegistry} from '../../terms/index.js';
import {VirtualTime} from '../fakes/virtual-time.js';

function createRegistry(time: VirtualTime): TermRegistry {
	const registry = new TermRegistry(time, new EventLog('vm1', {write: () => undefined, writableLength: 0}), new GatewayMetrics());
	registry.applyTerm({
		group: 'db', term: 1, primaryId: 'i-1', phase: 'open', drainMs: 0, revision: 1,
	});
	return registry;
}

// Guards against stale reads after a suspension, which the monotonic clock does not count: a replica that lagged by seconds had the known position.
test.serial('positions that were observed before a suspension cover no reads after it', async t => {
	const time = new VirtualTime();
	const registry = createRegistry(time);
	const sentAt = time.now();
	registry.recordPosition('db', {term: 1, offset: 7}, sentAt);
	await time.advance(100);
	t.deepEqual(registry.getPositionCovering('db', time.now() - 1000), {term: 1, offset: 7});
	time.jumpWallTime(4000);
	t.is(registry.getPositionCovering('db', time.now() - 1000), undefined);
	t.is(registry.getNewestPosition('db'), undefined);
	// The answer to a statement from before the suspension says nothing on later commits.
	registry.recordPosition('db', {term: 1, offset: 8}, sentAt + 50);
	t.is(registry.getPositionCovering('db', time.now() - 1000), undefined);
	await time.advance(10);
	registry.recordPosition('db', {term: 1, offset: 9}, time.now());
	t.deepEqual(registry.getPositionCovering('db', time.now() - 1000), {term: 1, offset: 9});
	time.stop();
});
