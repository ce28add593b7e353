// Not a case: shows an account beyond its limit, which the review does not count; see REPORT-3.md.
import {appendFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Group, Instance} from './databases-3.js';
import {
	findPorts, Gateways, getHost, pause, Session,
} from './gateways-3.js';
import {Platform} from './store-3.js';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = path.join(tmpdir(), `quota-${process.pid}.txt`);
const zones = ['bris-north', 'ipswich', 'toowoomba'];
const service = 'outage';
const database = 'faults';
const key = 'k-7f3a';
const tenant = {
	Name: 't1', ApiKeys: [key], RatePerS: 40, Burst: 40,
};
const startedAt = performance.now();

/** Operations per second that the tenant usually sends: its limit is 1.6 times as high, as in the site file. */
const usualPerS = tenant.RatePerS / 1.6;

/** Factor on its usual operations while it is hot, and for how long, in milliseconds. */
const hotFactor = 7.5;
const hotMs = 6500;

/** Time from the beginning of the heat to the loss of the primary, and for which it is dark, in milliseconds. */
const darkAfterMs = 500;
const darkMs = 7000;

/** Deadline of an operation, in milliseconds, and its attempts: the first one and two retries. */
const deadlineMs = 1200;
const maxAttempts = 3;

/** Bounds `QuotaWindowS`, `QuotaOverage` and `QuotaSlack`. */
const quotaWindowMs = 5000;
const quotaOverage = 0.1;
const quotaSlack = 20;
const allowedPerWindow = ((tenant.RatePerS * quotaWindowMs) / 1000) + tenant.Burst;
const maxPerWindow = (allowedPerWindow * (1 + quotaOverage)) + quotaSlack;

rmSync(recordFile, {force: true});

function record(line) {
	appendFileSync(recordFile, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}\n`);
}

const group = new Group({
	service, slots: 4, syncReplicas: 0, promoteMs: 1000, record, onPromoted(instance) {
		record(`database: ${instance.id} leads term ${instance.term}`);
	},
});
const platform = new Platform({heartbeatMs: 1200, record, promote: order => group.promote(order)});
group.platform = platform;
const platformAddress = await platform.listen(getHost(1));
const gateways = new Gateways({
	platformAddress,
	zones,
	logFolder: process.env.LOGS,
	bounds: ['DrainMs = 7000', 'GraceS = 6', 'ConfigApplyMs = 3000', 'QuotaWindowS = 5', 'QuotaOverage = 0.1', 'QuotaSlack = 20'],
});
const clientState = {
	isRunning: true, sentCount: 0, completedCount: 0, perS: usualPerS,
};
const idleSessions = new Map();

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
		Tenants: [tenant],
	});
	await Promise.all(zones.map(async (zone, index) => gateways.add(`front-${zone}-1`, getHost(21 + index), zone)));
	for (const name of gateways.names) {
		idleSessions.set(name, []);
		gateways.start(name);
	}
}

/** Runs one operation: a write, which is repeated after a promise and when its answer says. */
async function runOperation(index) {
	const deadline = performance.now() + deadlineMs;
	const name = gateways.names[index % gateways.names.length];
	const idle = idleSessions.get(name);
	for (let attempt = 0; attempt < maxAttempts && performance.now() < deadline; attempt++) {
		/* eslint-disable no-await-in-loop */
		const known = idle.pop();
		const session = known?.isClosed === false ? known : await Session.open(gateways.getMember(name), database, key);
		if (session === undefined) {
			continue;
		}

		const id = `o${index}a${attempt}`;
		const answer = await session.query(id, `WRITE item ${id}`);
		record(`client: ${id} at ${name}: ${answer?.[0] ?? 'no answer'}`);
		if (answer === undefined) {
			return;
		}

		idle.push(session);
		const retryMs = /^ERROR BUSY retry after (?<ms>\d+) ms/v.exec(answer[0])?.groups.ms;
		if (retryMs === undefined) {
			clientState.completedCount += answer[0].startsWith('COMPLETE') ? 1 : 0;
			return;
		}

		await pause(Number(retryMs));
		/* eslint-enable no-await-in-loop */
	}
}

/** Sends operations at the present rate, whether earlier ones are answered or not. */
async function sendOperations() {
	let dueAt = performance.now();
	while (clientState.isRunning) {
		dueAt += 1000 / clientState.perS;
		// eslint-disable-next-line no-await-in-loop
		await pause(Math.max(0, dueAt - performance.now()));
		runOperation(clientState.sentCount);
		clientState.sentCount += 1;
	}
}

async function runDay() {
	if (!hasTrouble) {
		await pause(hotMs + darkMs);
		return;
	}

	clientState.perS = usualPerS * hotFactor;
	record(`fault: the tenant sends ${hotFactor} times its usual for ${hotMs} ms`);
	setTimeout(() => {
		clientState.perS = usualPerS;
	}, hotMs);
	await pause(darkAfterMs);
	const [primary] = group.instances;
	primary.isDark = true;
	record(`fault: ${primary.id} is dark for ${darkMs} ms`);
	await pause(darkMs);
	primary.crash();
	await primary.start();
	primary.isDark = false;
	record(`fault: ${primary.id} is back with its log, as ${primary.role}`);
	await pause(hotMs);
}

/** Returns the largest number of operations that instances ran within one window, and when it began. */
function findBusiestWindow() {
	const times = group.commits.map(({at}) => at);
	const windows = times.map(from => ({from, count: times.filter(at => at >= from && at < from + quotaWindowMs).length}));
	return windows.toSorted((a, b) => b.count - a.count)[0];
}

async function run() {
	await start();
	await pause(4000);
	sendOperations();
	await pause(6000);
	if (clientState.completedCount === 0) {
		return 2;
	}

	await runDay();
	clientState.isRunning = false;
	const {from, count} = findBusiestWindow();
	record(`result: ${clientState.sentCount} operations sent, ${clientState.completedCount} completed`);
	record(`result: instances ran at most ${count} of the tenant in ${quotaWindowMs} ms, from ${((from - startedAt) / 1000).toFixed(3)}; the rule allows ${maxPerWindow}`);
	process.stdout.write(`at most ${count} in ${quotaWindowMs} ms, allowed ${maxPerWindow}\n`);
	return count > maxPerWindow ? 1 : 0;
}

process.stdout.write(`record: ${recordFile}\n`);
let code = 2;
try {
	code = await run();
} catch (error) {
	record(`the case could not run: ${error.stack}`);
} finally {
	clientState.isRunning = false;
	await gateways.stop();
	platform.close();
	for (const instance of group.instances) {
		instance.stop();
	}
}

process.stdout.write(`exit code ${code}, ${clientState.sentCount} operations sent, ${clientState.completedCount} completed\n`);
process.exitCode = code;
