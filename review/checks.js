/** Compares what clients sent and were answered with what the instances ran. */
/* eslint-disable complexity, @stylistic/max-len */

const promises = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'MAXCONN']);

function stripName(text) {
	const [keyword, , ...rest] = text.split(' ');
	return keyword === 'EXECUTE' ? `EXECUTE ${rest.join(' ')}` : text;
}

function findRunViolations(byId, events) {
	const violations = [];
	const transactions = new Map();
	for (const event of events) {
		const record = byId.get(event.id);
		if (event.kind === 'odd-since') {
			violations.push(`UNASKED: ${event.instance} got "${event.text}" as the text of ${event.id}, sent as "${record?.text}"`);
			continue;
		}

		if (record === undefined) {
			violations.push(`UNASKED: ${event.instance} ran ${event.kind} ${event.id} "${event.text}", which no client sent`);
			continue;
		}

		if (stripName(record.text) !== stripName(event.text) || record.tenant !== event.tenant) {
			violations.push(`UNASKED: ${event.id} ran as "${event.text}" for ${event.tenant}, sent as "${record.text}" for ${record.tenant}`);
		}

		if (event.kind !== 'commit' && JSON.stringify(Object.entries(record.values).toSorted()) !== JSON.stringify(Object.entries(event.values).toSorted())) {
			violations.push(`PINNED: ${event.id} ran with values ${JSON.stringify(event.values)}, acknowledged were ${JSON.stringify(record.values)}`);
		}

		if (record.shape !== event.shape) {
			violations.push(`PINNED: ${event.id} ran shape "${event.shape}", prepared was "${record.shape}"`);
		}

		if ((record.transaction === undefined) !== (event.transaction === undefined)) {
			violations.push(`PINNED: ${event.id} ran ${event.transaction === undefined ? 'outside' : 'inside'} a transaction`);
		} else if (record.transaction !== undefined) {
			const key = record.transaction;
			const place = `${event.instance} ${event.connection} ${event.transaction}`;
			if (transactions.has(key) && transactions.get(key) !== place) {
				violations.push(`PINNED: ${event.id} ran at ${place}, its transaction at ${transactions.get(key)}`);
			}

			transactions.set(key, place);
		}
	}

	return violations;
}

/** Returns the entries that writes got, by the id of the client's attempt: the single write or the COMMIT. */
function collectCommits(events) {
	const commits = new Map();
	for (const event of events.filter(({entry}) => entry !== undefined)) {
		commits.set(event.id, [...commits.get(event.id) ?? [], event]);
	}

	return commits;
}

/** Returns whether a promotion rolled a commit back: the promoted instance did not have it. */
function isRolledBack(event, promotions) {
	return promotions.some(({term, log}) => term > event.term && log[event.entry.number - 1] !== event.entry);
}

/** Acknowledged writes in the order of their acknowledgements, to find the one with the highest number before a time. */
class AcknowledgedWrites {
	#highest = [];

	constructor(writes) {
		let highest;
		for (const write of writes.toSorted((a, b) => a.record.answeredAt - b.record.answeredAt)) {
			highest = highest === undefined || write.run.entry.number > highest.run.entry.number ? write : highest;
			this.#highest.push({answeredAt: write.record.answeredAt, highest});
		}
	}

	findHighestBefore(time) {
		let low = 0;
		let high = this.#highest.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#highest[middle].answeredAt < time) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return this.#highest[low - 1]?.highest;
	}
}

/** Returns a line for each broken rule. */
export function findViolations({records, groups, routes}) {
	const byId = new Map(records.map(record => [record.id, record]));
	const violations = [];
	for (const group of groups.values()) {
		violations.push(...findRunViolations(byId, group.events));
		const commits = collectCommits(group.events);
		for (const [id, runs] of commits) {
			const record = byId.get(id);
			if (runs.length > 1) {
				violations.push(`TWICE: ${id} took effect ${runs.length} times`);
			}

			if (record !== undefined && promises.has(record.code)) {
				violations.push(`REFUSED: ${id} was committed though the answer was ${record.message}`);
			}

			const [run] = runs;
			const promotion = group.promotions.find(({term, at}) => term > run.term && at < run.at);
			if (record?.code === 'ok' && promotion !== undefined) {
				violations.push(`ONE: ${id} was committed at ${run.instance} in term ${run.term} ${Math.round(run.at - promotion.at)} ms after ${promotion.id} had been promoted to term ${promotion.term}, and acknowledged`);
			}
		}

		const databases = new Set(routes.filter(({service}) => service === group.service).map(({database}) => database));
		const own = records.filter(({database}) => databases.has(database));
		const acknowledged = own.filter(({id, code}) => code === 'ok' && commits.has(id)).map(record => ({record, run: commits.get(record.id)[0]})).filter(({run}) => !isRolledBack(run, group.promotions));
		const eventsById = new Map();
		for (const event of group.events) {
			eventsById.set(event.id, [...eventsById.get(event.id) ?? [], event]);
		}

		const allWrites = new AcknowledgedWrites(acknowledged);
		const sessions = new Map();
		for (const write of acknowledged) {
			sessions.set(write.record.session, [...sessions.get(write.record.session) ?? [], write]);
		}

		const ownWrites = new Map([...sessions].map(([session, writes]) => [session, new AcknowledgedWrites(writes)]));
		for (const record of own.filter(({code, text}) => code === 'ok' && /^(READ|WRITE|EXECUTE|COMMIT)/.test(text))) {
			const run = eventsById.get(record.id)?.findLast(({signature}) => signature === record.signature);
			if (run === undefined) {
				violations.push(`MIXED: ${record.id} "${record.text}" was answered with "${record.signature}", which no instance gave for it`);
			} else if (run.kind === 'read' && record.rows.join(',') !== `row-of-${record.id}`) {
				violations.push(`MIXED: ${record.id} was answered with rows ${record.rows.join(',')}`);
			}

			if (run?.kind !== 'read') {
				continue;
			}

			const route = routes.find(({database}) => database === record.database);
			const from = record.begunAt ?? record.sentAt;
			const bound = route.type === 'primary' ? from : from - route.maxStalenessMs;
			const candidates = [allWrites.findHighestBefore(bound), route.type === 'read_your_writes' ? ownWrites.get(record.session)?.findHighestBefore(from) : undefined];
			const missing = candidates.find(write => write !== undefined && write.run.entry.number > run.length);
			if (missing !== undefined) {
				violations.push(`STALE: ${record.id} on a ${route.type} route read ${run.instance} at ${run.term}.${run.length} without ${missing.record.id} (${missing.run.term}.${missing.run.entry.number}), acknowledged ${Math.round(from - missing.record.answeredAt)} ms before`);
			}
		}
	}

	return violations;
}

/** Returns a line for each broken rule about the promotion calls. */
export function findHolderViolations(calls) {
	const violations = [];
	let highest = 0;
	const holders = new Map();
	for (const {holder, token, at} of calls.filter(({what}) => what === 'promote')) {
		if (token < highest) {
			violations.push(`ONE: ${holder} sent token ${token} at ${Math.round(at)} after token ${highest}`);
		}

		if (holders.has(token) && holders.get(token) !== holder) {
			violations.push(`ONE: ${holder} and ${holders.get(token)} promoted with token ${token}`);
		}

		holders.set(token, holder);
		highest = Math.max(highest, token);
	}

	return violations;
}
