import test from 'ava';
import {type ForwardMessage} from '@chicorysaddle/protocol/coordination';
import {GatewayLink} from '../../forwarding/gateway-link.js';
import {EventLog, GatewayMetrics} from '../../observability/index.js';
import {type PeerHandlers} from '../../ports/index.js';
import {BackgroundTasks} from '../../tasks/index.js';
import {measureCollections} from '../fakes/collection-sizes.js';
import {VirtualTime} from '../fakes/virtual-time.js';

/** Time for which operations on an instance are not sent after a rejection, in milliseconds. */
const backoffMs = 1000;

// Guards against memory that grows with every instance of which a gateway once rejected an operation.
test.serial('a link keeps the rejections that are in force only', async t => {
	const time = new VirtualTime();
	const log = new EventLog('vm1', {write: () => undefined, writableLength: 0});
	const metrics = new GatewayMetrics();
	let handlers: PeerHandlers | undefined;
	const network = {
		connect(_address: string, linkHandlers: PeerHandlers) {
			handlers = linkHandlers;
			return {
				isOpen: true,
				send() {
					// The test answers.
				},
				close() {
					// The link stays open.
				},
			};
		},
		listen: async () => ({
			close() {
				// Nothing listens.
			},
		}),
	};
	const link = new GatewayLink({
		vm: 'vm2', zone: 'a', region: '', address: 'vm2:1', capacity: 1, isDraining: false,
	}, {
		vm: 'vm1', network, clock: time, metrics, log, tasks: new BackgroundTasks(log, metrics, time),
	}, () => undefined);
	link.choose('i-0');
	handlers!.onMessage({kind: 'forward-opened'});
	for (let count = 1; count <= 20; count++) {
		const {channel, id} = link.reserveChannel();
		const sending = link.send(channel, {
			kind: 'forward', id, instance: `i-${count}`, runMs: 5000,
		} as unknown as ForwardMessage);
		handlers!.onMessage({
			kind: 'forward-answer', id, outcome: {kind: 'rejected', reason: 'not-gateway'}, gatewayMs: 0,
		});
		await sending;
		t.is(link.choose(`i-${count}`), 'open');
		await time.advance(backoffMs / 2);
	}

	t.is(link.choose('i-20'), 'open');
	t.is(link.choose('i-19'), 'forward');
	t.is(measureCollections(link, value => value === time || value === log).get('GatewayLink.#refusedUntil'), 2);
	time.stop();
});
