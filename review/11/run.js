import {appendFileSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Group, Instance} from '../databases-3.js';
import {
	findPorts, Gateways, getHost, pause, Session,
} from '../gateways-3.js';
import {Platform} from '../store-3.js';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = path.join(import.meta.dirname, 'record.txt');
const zones = ['bris-north', 'ipswich', 'toowoomba'];
/** Services of the deployment; the clients use the first one. */
const services = ['outage-1', 'outage-2', 'outage-3'];
const database = 'faults';
const key = 'k-7f3a';
const heartbeatMs = 1200;
const clientCount = 12;
const startedAt = performance.now();

/** Time after the beginning of a cut from the store at which the replica goes deaf, in milliseconds; its entry is gone by then. */
const deafAfterMs = 4900;

/** Time after the beginning of the cut at which the primary crashes, in milliseconds. */
const crashAfterMs = 5200;

/** Length of the cut, in milliseconds. */
const cutMs = 5000;

/** Time for which the replica receives nothing, in milliseconds. */
const deafMs = 6500;

/** Time for which the primary is down, in milliseconds. */
const downMs = 7000;

rmSync(recordFile, {force: true});

function record(line) {
	appendFileSync(recordFile, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}\n`);
}

const acknowledged = [];
const violations = [];
const clientState = {isRunning: true};

/** Compares what was acknowledged until now with the log of an instance that is promoted. */
function checkPromoted(instance) {
	const held = new Set(instance.log.flatMap(({writes}) => writes));
	const lost = acknowledged.filter(({data}) => !held.has(data));
	record(`database: ${instance.id} leads term ${instance.term} with ${instance.log.length} commits; ${acknowledged.length} writes were acknowledged, ${lost.length} of them are not in its log`);
	for (const {id, data, at} of lost) {
		violations.push(`LOST: write ${id} of ${data}, acknowledged at ${at}, is not in the log of ${instance.id}`);
	}
}

const groups = services.map((service, index) => new Group({
	service, slots: 4, syncReplicas: 1, promoteMs: 1000, record, onPromoted: index === 0 ? checkPromoted : undefined,
}));
const [group] = groups;
const platform = new Platform({heartbeatMs, record, promote: order => groups.find(({service}) => service === order.service)?.promote(order) ?? 409});
for (const each of groups) {
	each.platform = platform;
}

const platformAddress = await platform.listen(getHost(1));
const gateways = new Gateways({
	platformAddress, zones, logFolder: process.env.LOGS, bounds: ['DrainMs = 7000', 'GraceS = 6', 'ConfigApplyMs = 3000', 'QuotaWindowS = 5', 'StableWindowMs = 4000'],
});

async function startInstances() {
	const places = groups.flatMap((each, groupIndex) => zones.map((zone, zoneIndex) => ({
		each, groupIndex, zone, zoneIndex,
	})));
	await Promise.all(places.map(async ({
		each, groupIndex, zone, zoneIndex,
	}) => {
		const host = getHost(11 + (groupIndex * zones.length) + zoneIndex);
		const [port] = await findPorts(host, 1);
		each.instances[zoneIndex] = new Instance(each, {
			id: `i-${groupIndex + 1}${zoneIndex + 1}`, host, port, zone, role: zoneIndex === 0 ? 'primary' : 'replica',
		});
		await each.instances[zoneIndex].start();
	}));
}

async function startGateways() {
	platform.put('op', 'config', {
		Version: 3,
		Routes: [{
			Name: 'r1', Host: database, Type: 'primary', TimeoutMs: 800, TargetLatencyMs: 120, Priority: 1, Service: services[0], AllowAnonymous: false,
		}],
		Services: services.map(service => ({Name: service, MaxConns: 40, SyncReplicas: 1})),
		Limits: {TxIdleMs: 3000, MaxBodyBytes: 262_144},
		Tenants: [{
			Name: 't1', ApiKeys: [key], RatePerS: 2000, Burst: 2000,
		}],
	});
	for (const [index, zone] of zones.entries()) {
		// eslint-disable-next-line no-await-in-loop
		await gateways.add(`front-${zone}-1`, getHost(21 + index), zone);
	}

	for (const name of gateways.names) {
		gateways.start(name);
	}
}

/** Writes one item after another; an answer that promises nothing ends the attempt, and a promise is followed by another one. */
async function runClient(index) {
	const member = gateways.getMember(gateways.names[index % gateways.names.length]);
	let session;
	for (let number = 0; clientState.isRunning; number++) {
		/* eslint-disable no-await-in-loop */
		session = session?.isClosed === false ? session : await Session.open(member, database, key);
		if (session === undefined) {
			await pause(100);
			continue;
		}

		const id = `c${index}n${number}`;
		const data = `d-${index}-${number}`;
		const answer = await session.query(id, `WRITE item${index} ${data}`);
		const isDone = answer?.[0]?.startsWith('COMPLETE') === true;
		record(`client ${index}: WRITE ${data} as ${id} at ${member.name}: ${answer?.join(' | ') ?? 'no answer'}`);
		if (isDone) {
			acknowledged.push({id, data, at: ((performance.now() - startedAt) / 1000).toFixed(3)});
		}

		await pause(isDone ? 40 : 150);
		/* eslint-enable no-await-in-loop */
	}

	session?.close();
}

async function waitUntil(isMet, timeoutMs) {
	const deadline = performance.now() + timeoutMs;
	while (performance.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		if (await isMet()) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await pause(50);
	}

	return false;
}

/** The replica of the second zone is replaced: it drains. With trouble it is cut from the store, and the other replica receives nothing for a while and the primary crashes meanwhile. */
async function runDay() {
	const [primary, leaving, other] = group.instances;
	leaving.state = 'draining';
	leaving.beat();
	record(`plan: ${leaving.id} reports draining`);
	const {sequence} = leaving;
	if (!hasTrouble || !await waitUntil(() => leaving.sequence > sequence, 2 * heartbeatMs)) {
		await pause(15_000);
		return;
	}

	leaving.isCutFromStore = true;
	record(`fault: ${leaving.id} is cut from the store for ${cutMs} ms`);
	await pause(deafAfterMs);
	setTimeout(() => {
		leaving.isCutFromStore = false;
	}, cutMs - deafAfterMs);
	other.isDeaf = true;
	record(`fault: ${other.id} receives nothing for ${deafMs} ms`);
	setTimeout(() => {
		other.isDeaf = false;
	}, deafMs);
	await pause(crashAfterMs - deafAfterMs);
	primary.crash();
	record(`fault: ${primary.id} crashes`);
	await pause(downMs);
	await primary.start();
	record(`fault: ${primary.id} is back with its log, as ${primary.role}`);
	await pause(3000);
}

async function run() {
	await startInstances();
	await startGateways();
	const isReady = await waitUntil(async () => {
		const states = await Promise.all(gateways.names.map(async name => gateways.isReady(name)));
		return states.every(Boolean);
	}, 20_000);
	if (!isReady) {
		return 2;
	}

	const clients = Array.from({length: clientCount}, async (_, index) => runClient(index));
	const isServing = await waitUntil(() => acknowledged.length > 200, 20_000);
	if (!isServing) {
		return 2;
	}

	await pause(2000);
	await runDay();
	clientState.isRunning = false;
	await Promise.all(clients);
	record(`result: ${acknowledged.length} writes acknowledged, ${group.promotions.length} promotions, ${violations.length} violations`);
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
	clientState.isRunning = false;
	await gateways.stop();
	platform.close();
	for (const instance of groups.flatMap(each => each.instances)) {
		instance.stop();
	}
}

process.stdout.write(`exit code ${code}, ${acknowledged.length} writes acknowledged, ${group.promotions.length} promotions, ${violations.length} violations\n`);
process.exitCode = code;
