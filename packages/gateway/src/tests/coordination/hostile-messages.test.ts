import {formatPeerMessage, parsePeerMessage, type PeerMessage} from '@chicorysaddle/protocol/coordination';
import test from 'ava';
import fc from 'fast-check';
import {TestCluster} from '../fakes/test-cluster.js';
import {isServed} from './write-load.js';

const report = formatPeerMessage({
	kind: 'report', sequence: 1, stampMs: 5, token: 3, dutyRevision: 7, terms: [{
		group: 'db', term: 1, primaryId: 'i-1', phase: 'open', drainMs: 0, revision: 4,
	}], isFollower: true, positions: {}, configurationVersion: 1, members: 3, acceptsDeltas: true,
} as unknown as PeerMessage);

const deeplyNested = '['.repeat(100_000) + ']'.repeat(100_000);

// Guards against a number after which no token, term or version can rise on the VM that read it.
test('a message with an impossible number is invalid', t => {
	t.is(parsePeerMessage(report).kind, 'report');
	for (const number of ['1e999', '-1e999', '1e300', '1.5', '-1']) {
		for (const name of ['token', 'dutyRevision', 'term', 'revision']) {
			t.is(parsePeerMessage(report.replace(new RegExp(`"${name}":\\d+`, 'v'), `"${name}":${number}`)).kind, 'invalid', `${name} ${number}`);
		}
	}

	for (const name of ['stampMs', 'sequence', 'drainMs', 'members', 'configurationVersion']) {
		t.is(parsePeerMessage(report.replace(new RegExp(`"${name}":\\d+`, 'v'), `"${name}":1e999`)).kind, 'invalid', name);
	}
});

// Guards against a parser that throws.
test('no text makes the parsing of a message throw', t => {
	for (const text of ['', 'null', '[]', '7', '{}', '{"kind":"__proto__"}', '{"kind":"constructor"}', '{"kind":{}}', deeplyNested, `{"kind":"report","terms":${deeplyNested}}`, `{"kind":${deeplyNested}}`]) {
		t.is(parsePeerMessage(text).kind, 'invalid', text.slice(0, 60));
	}

	const kinds = ['report', 'heartbeat', 'heartbeat-delta', 'token-request', 'token-grant', 'offer', 'acceptance', 'not-coordinator', 'configuration-part', 'forward', 'forward-answer'];
	fc.assert(fc.property(fc.constantFrom(...kinds), fc.dictionary(fc.string(), fc.jsonValue()), (kind, fields) => {
		t.is(typeof parsePeerMessage(JSON.stringify({...fields, kind})).kind, 'string');
	}), {seed: 49, numRuns: 1000});
});

// Guards against a message that ends the VM which reads it, or that its link outlives in a wrong state. An unhandled rejection fails the test too.
test.serial('VMs serve their callers again after others sent them messages with wrong fields', async t => {
	const cluster = new TestCluster(['vm1', 'vm2', 'vm3']);
	await cluster.start();
	const callers = [...cluster.gateways.keys()].map(vm => cluster.openSession(vm, 'strict'));
	const replacements = ['1e999', '-1', '1e300', '0.5', 'null', '"x"', '[]', '{}', '""', 'true'];
	let count = 0;
	// Replaces one value of every third message, another each time; an address by an impossible one.
	cluster.network.rewriteMessage = text => {
		count += 1;
		const values = [...text.matchAll(/(?<=":)(?:-?[\d.]+|"[^"]*"|true|false)/gv)];
		const value = values[(count * 7) % Math.max(1, values.length)];
		if (count % 3 !== 0 || value === undefined) {
			return text;
		}

		const replacement = /^"vm\d:1"$/v.test(value[0]) ? '"127.0.0.1:99999"' : replacements[count % replacements.length]!;
		return text.slice(0, value.index) + replacement + text.slice(value.index + value[0].length);
	};

	for (let round = 0; round < 10; round++) {
		await isServed(cluster, callers, 1000);
		await cluster.time.advance(2000);
	}

	t.true(count > 100);
	cluster.network.rewriteMessage = text => text;
	await cluster.time.advance(20_000);
	t.true(await isServed(cluster, callers, 5000));
	cluster.stop();
});
