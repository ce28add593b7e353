import test from 'ava';
import {DutyMonitor} from '../../coordination/index.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {BackgroundTasks} from '../../tasks/index.js';

function createMonitor() {
	let now = 0;
	const clock = {now: () => now, getWallTime: () => now};
	const monitor = new DutyMonitor(new BackgroundTasks(new EventLog('vm1'), new GatewayMetrics(), clock), clock);
	return {
		monitor, fail(duty: string, count: number, intervalMs: number) {
			for (let index = 0; index < count; index += 1) {
				now += intervalMs;
				monitor.recordFailure(duty);
			}
		}, pass(ms: number) {
			now += ms;
		},
	};
}

// Guards against a coordinator that resigns without need, for a group that is gone or for single failures.
test('only failures that follow each other closely make a duty a failing one', t => {
	const {monitor, fail, pass} = createMonitor();
	fail('promotion g1', 5, 1000);
	t.like(monitor.findFailingDuty(), {duty: 'promotion g1', failures: 5});
	pass(60_000);
	t.is(monitor.findFailingDuty(), undefined, 'the duty has not come up since');
	fail('tokens', 5, 60_000);
	t.is(monitor.findFailingDuty(), undefined, 'single failures');
	fail('tokens', 5, 1000);
	t.like(monitor.findFailingDuty(), {duty: 'tokens'});
});
