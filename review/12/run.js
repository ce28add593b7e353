import {appendFileSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Group, Instance} from '../databases-3.js';
import {
	findPorts, Gateways, getHost, pause, Session,
} from '../gateways-3.js';
import {Link} from '../link-3.js';
import {Platform} from '../store-3.js';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = path.join(import.meta.dirname, 'record.txt');
const zones = ['bris-north', 'ipswich', 'toowoomba'];
const service = 'outage';
const database = 'faults';
const key = 'k-7f3a';
const clientCount = 12;
const startedAt = performance.now();

/** Time for which the promotion API answers 503, in milliseconds. */
const downMs = 4000;

/** Time from the first order to the cut, in milliseconds, and the length of the cut. */
const cutAfterMs = 1200;
const cutMs = 12_000;

/** Time from a renewal of the holder's lease to the cut, in milliseconds. */
const renewalMarginMs = 200;

/** Time after the cut, or after the first change of primary, at which the next instance drains, in milliseconds. */
const nextDrainMs = 5000;

/** Time for which a draining instance serves, in milliseconds: `DrainMs` and a little longer. */
const drainMs = 7000;
const extraMs = 5000;

rmSync(recordFile, {force: true});

function record(line) {
	appendFileSync(recordFile, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}\n`);
}

const acknowledged = new Set();
const violations = [];
const orders = [];
const state = {isRunning: true, isDown: false};
const group = new Group({
	service, slots: 4, syncReplicas: 0, promoteMs: 1000, record, onPromoted(instance) {
		record(`database: ${instance.id} leads term ${instance.term}`);
	},
});

/** Handles an order; one with a lower token than the platform has seen breaks the rule. */
function handleOrder(order) {
	const status = state.isDown ? 503 : group.promote(order);
	const newest = Math.max(0, ...orders.map(({token}) => token));
	orders.push(order);
	if (order.token < newest) {
		record(`platform: order for ${order.id} of ${order.holder} with token ${order.token} after token ${newest}`);
		violations.push(`ONE: the order for ${order.id} has token ${order.token}, ${newest} was seen before`);
	}

	return status;
}

const platform = new Platform({heartbeatMs: 1200, record, promote: handleOrder});
group.platform = platform;
const platformAddress = await platform.listen(getHost(1));
const gateways = new Gateways({
	platformAddress, zones, logFolder: process.env.LOGS, bounds: ['DrainMs = 7000', 'GraceS = 6', 'ConfigApplyMs = 3000', 'QuotaWindowS = 5', 'FencingEnforced = false', 'ThawMs = 300'],
});
const links = new Map();

async function start() {
	await Promise.all(zones.map(async (zone, index) => {
		const host = getHost(11 + index);
		const [port] = await findPorts(host, 1);
		group.instances[index] = new Instance(group, {
			id: `i-${index + 1}`, host, port, zone, role: index === 0 ? 'primary' : 'replica',
		});
		await group.instances[index].start();
	}));
	platform.put('op', 'config', {
		Version: 3,
		Routes: [{
			Name: 'r1', Host: database, Type: 'primary', TimeoutMs: 800, TargetLatencyMs: 120, Priority: 1, Service: service, AllowAnonymous: false,
		}],
		Services: [{Name: service, MaxConns: 40}],
		Limits: {TxIdleMs: 3000, MaxBodyBytes: 262_144},
		Tenants: [{
			Name: 't1', ApiKeys: [key], RatePerS: 2000, Burst: 2000,
		}],
	});
	await Promise.all(zones.map(async (zone, index) => {
		const name = `front-${zone}-1`;
		const link = new Link(platformAddress);
		links.set(name, link);
		await gateways.add(name, getHost(21 + index), zone, await link.listen(getHost(31 + index)));
	}));
	for (const name of gateways.names) {
		gateways.start(name);
	}
}

async function runClient(index) {
	const member = gateways.getMember(gateways.names[index % gateways.names.length]);
	let session;
	for (let number = 0; state.isRunning; number++) {
		/* eslint-disable no-await-in-loop */
		session = session?.isClosed === false ? session : await Session.open(member, database, key);
		if (session === undefined) {
			await pause(100);
			continue;
		}

		const id = `c${index}n${number}`;
		const answer = await session.query(id, `WRITE item${index} ${id}`);
		const isDone = answer?.[0]?.startsWith('COMPLETE') === true;
		record(`client: WRITE ${id} at ${member.name}: ${answer?.[0] ?? 'no answer'}`);
		if (isDone) {
			acknowledged.add(id);
		}

		await pause(isDone ? 30 : 100);
		/* eslint-enable no-await-in-loop */
	}

	session?.close();
}

async function waitUntil(isMet, timeoutMs) {
	const deadline = performance.now() + timeoutMs;
	while (performance.now() < deadline) {
		if (isMet()) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await pause(2);
	}

	return false;
}

function drain(instance) {
	instance.state = 'draining';
	instance.beat();
	record(`plan: ${instance.id} (${instance.role}) reports draining`);
	setTimeout(() => {
		if (state.isRunning) {
			record(`plan: ${instance.id} leaves`);
			instance.leave();
		}
	}, drainMs + extraMs);
}

/** Cuts the machine that gives the orders from the platform, after a renewal of its lease and between two orders. */
async function cutHolder() {
	await waitUntil(() => orders.length > 0, 5000);
	await pause(cutAfterMs);
	const version = platform.getVersion('chicorysaddle', 'coordinator');
	await waitUntil(() => platform.getVersion('chicorysaddle', 'coordinator') > version, 2000);
	await pause(renewalMarginMs);
	const {length} = orders;
	await waitUntil(() => orders.length > length, 1000);
	await pause(8);
	const {holder, id} = orders.at(-1);
	links.get(holder).cut();
	record(`fault: ${holder}, which ordered ${id} ${orders.length} times, is cut from the platform for ${cutMs} ms`);
	return {link: links.get(holder), ordered: group.getInstance(id)};
}

/** Two instances are replaced one after the other: the primary, and the one that was ordered to take over. */
async function runDay() {
	drain(group.instances[0]);
	if (!hasTrouble) {
		await waitUntil(() => group.promotions.length > 0, 5000);
		await pause(nextDrainMs);
		drain(group.getInstance(group.promotions[0].id));
		await pause(cutMs);
		return;
	}

	state.isDown = true;
	record(`fault: the promotion API answers 503 for ${downMs} ms`);
	setTimeout(() => {
		state.isDown = false;
	}, downMs);
	const {link, ordered} = await cutHolder();
	await pause(nextDrainMs);
	drain(ordered);
	await pause(cutMs - nextDrainMs);
	link.heal();
	record('fault: the cut ends');
	await pause(5000);
}

/** Finds writes that were acknowledged at a former primary after its successor had begun to lead. */
function checkCommits() {
	for (const commit of group.commits) {
		const successor = group.promotions.find(({term, at}) => term > commit.term && at < commit.at);
		if (successor !== undefined && acknowledged.has(commit.id)) {
			const delayMs = Math.round(commit.at - successor.at);
			violations.push(`ONE: write ${commit.id} was committed at ${commit.instance} in term ${commit.term} ${delayMs} ms after ${successor.id} led term ${successor.term}, and acknowledged`);
		}
	}
}

async function run() {
	await start();
	await pause(4000);
	const clients = Array.from({length: clientCount}, async (_, index) => runClient(index));
	await pause(3000);
	if (acknowledged.size === 0) {
		return 2;
	}

	await runDay();
	state.isRunning = false;
	await Promise.all(clients);
	checkCommits();
	record(`result: ${acknowledged.size} writes acknowledged, ${group.promotions.length} promotions, ${violations.length} violations`);
	for (const violation of violations) {
		record(violation);
	}

	return violations.length === 0 ? 0 : 1;
}

let code = 2;
try {
	code = await run();
} catch (error) {
	record(`the case could not run: ${error.stack}`);
} finally {
	state.isRunning = false;
	await gateways.stop();
	for (const link of links.values()) {
		link.close();
	}

	platform.close();
	for (const instance of group.instances) {
		instance.stop();
	}
}

process.stdout.write(`exit code ${code}, ${acknowledged.size} writes acknowledged, ${group.promotions.length} promotions, ${violations.length} violations\n`);
process.exitCode = code;
