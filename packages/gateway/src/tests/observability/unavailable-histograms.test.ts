import test from 'ava';
import {statements, TestCluster} from '../fakes/test-cluster.js';

// Guards against a process that ends five seconds after each start because its histogram library does not load.
test.serial('a VM whose histograms cannot be loaded serves callers and logs it', async t => {
	const cluster = new TestCluster();
	await cluster.start();
	cluster.getGateway('vm1').metrics.loadHistograms = async () => {
		throw new Error('planned');
	};

	await cluster.time.advance(4000);
	t.deepEqual(cluster.log.events.filter(({name}) => name === 'task.failed').map(({vm, fields}) => [vm, fields.task]), [['vm1', 'histograms']]);
	t.is((await cluster.openSession('vm1', 'strict').sendAndWait(statements.write)).result.kind, 'completed');
	cluster.stop();
});
