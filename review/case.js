/** Runs a case: starts a small deployment with clients, disrupts it, and compares what was sent, answered and run. */
/* eslint-disable no-await-in-loop, @stylistic/max-len */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {findHolderViolations, findViolations} from './checks.js';
import {Session} from './clients.js';
import {pause, World} from './world.js';

/** Result of a case, as the exit code of its script. */
const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Runs a transaction that reads twice. */
async function runReadTransaction(session) {
	const begin = await session.query('BEGIN READ');
	if (begin.code !== 'ok') {
		return begin;
	}

	const facts = {transaction: begin.id, begunAt: begin.sentAt};
	for (const item of ['item1', 'item2']) {
		const answer = await session.query(`READ ${item}`, 5000, facts);
		if (answer.code !== 'ok') {
			session.close();
			return answer;
		}
	}

	return session.query('COMMIT', 5000, facts);
}

/**
 * A client that opens sessions at any VM, writes and reads, and repeats nothing.
 * @param options.hasTransactions - Whether every other operation is a transaction that reads.
 * @param options.paceMs - Interval of its statements, in milliseconds; 0 for one after the other.
 */
async function runClient(world, {databases, paceMs, hasTransactions, isStopped}) {
	for (let round = 0; !isStopped(); round++) {
		const vm = world.vms[Math.floor(Math.random() * world.vms.length)];
		const database = databases[round % databases.length];
		const session = new Session(world, {
			address: vm.front, database, key: 'key-t1', tenant: 't1',
		});
		if (await session.open()) {
			for (let count = 0; count < 20 && session.isOpen && !isStopped(); count++) {
				const startedAt = performance.now();
				const isBounded = world.routes.find(route => route.database === database).type === 'bounded';
				const {code} = hasTransactions && count % 2 === 0
					? await runReadTransaction(session)
					: await session.query(count % 2 === 0 && !isBounded ? `WRITE item${count} data` : `READ item${count}`);
				await pause(Math.max(code === 'ok' ? 15 : 100, startedAt + paceMs - performance.now()));
			}
		}

		session.close();
		await pause(50);
	}
}

function formatRecord({records, calls, exits, groups}, notes) {
	const lines = [
		...notes.map(({at, text}) => ({at, text: `NOTE ${text}`})),
		...records.map(({sentAt, session, id, text}) => ({at: sentAt, text: `SENT session ${session} ${id} ${text}`})),
		...records.filter(({answeredAt}) => answeredAt !== undefined).map(({answeredAt, session, id, code, message = ''}) => ({at: answeredAt, text: `ANSWERED session ${session} ${id} ${code} ${message}`})),
		...calls.map(({at, ...call}) => ({at, text: `PLATFORM ${JSON.stringify(call)}`})),
		...exits.map(({at, ...exit}) => ({at, text: `EXIT ${JSON.stringify(exit)}`})),
		...[...groups.values()].flatMap(group => [
			...group.promotions.map(({at, id, term, length}) => ({at, text: `PROMOTED ${id} leads term ${term} with ${length} commits`})),
			...group.events.map(({at, instance, kind, id, text, term, length, entry}) => ({at, text: `RAN ${instance} term ${term} at ${length} ${kind} ${id} ${text}${entry === undefined ? '' : ` as commit ${entry.number}`}`})),
		]),
	];
	return lines.toSorted((a, b) => a.at - b.at).map(({at, text}) => `${at.toFixed(1)} ${text}`).join('\n');
}

/**
 * Runs a case and sets the exit code.
 * @param url - URL of the script, beside which the record is written.
 * @param options.rules - Rules whose violations count.
 * @param options.disrupt - Injects the disruption; left out with `TROUBLE=0`.
 * @param options.check - Returns further lines for broken rules.
 */
export async function runCase(url, options) {
	const folder = fileURLToPath(new URL('.', url));
	const notes = [];
	const note = text => {
		notes.push({at: performance.now(), text});
		process.stdout.write(`${(performance.now() / 1000).toFixed(2)} s: ${text}\n`);
	};

	const world = new World(options);
	let isStopped = false;
	let exitCode = exitCodes.notRun;
	try {
		await world.start();
		const {databases = options.routes.map(({database}) => database), clientCount = 12, paceMs = 0, hasTransactions = false} = options;
		const clients = Array.from({length: clientCount}, async () => runClient(world, {
			databases, paceMs, hasTransactions, isStopped: () => isStopped,
		}));
		note('the deployment is up');
		await pause(2000);
		const startedAt = performance.now();
		const group = [...world.groups.values()][0];
		if (process.env.TROUBLE !== '0') {
			await options.disrupt({
				world, group, note, pause, records: world.records,
			});
		}

		await pause(Math.max(0, options.lengthMs - (performance.now() - startedAt)));
		isStopped = true;
		await Promise.all(clients);
		const violations = [...findViolations(world), ...findHolderViolations(world.calls), ...(options.check?.({world, group, startedAt}) ?? [])]
			.filter(line => options.rules.some(rule => line.startsWith(`${rule}:`)));
		for (const line of violations.slice(0, 5)) {
			note(line);
		}

		const okCount = world.records.filter(({code}) => code === 'ok').length;
		note(`${violations.length} violations of ${options.rules.join(', ')}; ${world.records.length} statements, ${okCount} with success`);
		writeFileSync(`${folder}record.txt`, `${formatRecord(world, notes)}\n`);
		exitCode = okCount === 0 ? exitCodes.notRun : (violations.length === 0 ? exitCodes.held : exitCodes.broken);
	} catch (error) {
		process.stderr.write(`the case could not run: ${error.stack}\n`);
		exitCode = exitCodes.notRun;
	} finally {
		isStopped = true;
		await world.stop();
	}

	// Nothing waits for what the stand-ins have left open.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(exitCode);
}
