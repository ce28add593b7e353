/** Stand-in for the users' platform: the metadata store and the promotion call, with one address for each VM so that faults can concern one VM. */
/* eslint-disable no-await-in-loop, no-void */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const tableServers = 'servers';

/** Waits for a time in milliseconds. */
export async function pause(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** The rows of the platform's store; every transaction takes the next version. */
export class Store {
	#rows = new Map();
	#removed = new Map();
	#version = 0;
	#waiters = new Set();

	/** Writes a row without a condition, as the operator and the instances do. */
	put(table, key, value) {
		this.#version += 1;
		const name = `${table}/${key}`;
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		this.#removed.delete(name);
		this.#rows.set(name, {
			Table: table, part: '', Key: key, Value: Buffer.from(text).toString('base64'), Ver: this.#version,
		});
		this.#wake();
	}

	/** Removes a row without a condition. */
	remove(table, key) {
		if (this.#rows.has(`${table}/${key}`)) {
			this.#version += 1;
			this.#drop(table, key);
			this.#wake();
		}
	}

	/** Reads the value of a row, undefined if there is none. */
	get(table, key) {
		const row = this.#rows.get(`${table}/${key}`);
		return row === undefined ? undefined : JSON.parse(Buffer.from(row.Value, 'base64').toString());
	}

	/** Answers a read of a range of keys. */
	read(table, from, limit) {
		const rows = [...this.#rows.values()].filter(row => row.Table === table && row.Key >= from).toSorted((a, b) => a.Key < b.Key ? -1 : 1);
		return {rows: rows.slice(0, limit), HasMore: rows.length > limit, ...this.#stamp()};
	}

	/** Waits for changes of a table after a version. */
	async feed(table, after, waitMs) {
		const deadline = performance.now() + waitMs;
		let rows = this.#getChanged(table, after);
		while (rows.length === 0 && performance.now() < deadline) {
			await new Promise(resolve => {
				const timer = setTimeout(resolve, deadline - performance.now());
				this.#waiters.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
			rows = this.#getChanged(table, after);
		}

		return {rows, ...this.#stamp()};
	}

	/** Applies a transaction if its conditions hold; returns whether it was applied. */
	transact({Expected = [], PutRows = [], DeleteKeys = []}) {
		const isHeld = Expected.every(({Table, Key, Ver}) => (this.#rows.get(`${Table}/${Key}`)?.Ver ?? 0) === Ver);
		const isAllowed = [...PutRows, ...DeleteKeys].every(({Table}) => Table !== tableServers && Table !== 'op');
		if (!isHeld || !isAllowed) {
			const rows = Expected.flatMap(({Table, Key}) => this.#rows.get(`${Table}/${Key}`) ?? []);
			return {isApplied: false, body: {rows, ...this.#stamp()}};
		}

		this.#version += 1;
		for (const row of PutRows) {
			this.#removed.delete(`${row.Table}/${row.Key}`);
			this.#rows.set(`${row.Table}/${row.Key}`, {...row, Ver: this.#version});
		}

		for (const {Table, Key} of DeleteKeys) {
			this.#drop(Table, Key);
		}

		this.#wake();
		return {isApplied: true, body: this.#stamp()};
	}

	#drop(table, key) {
		this.#rows.delete(`${table}/${key}`);
		this.#removed.set(`${table}/${key}`, {
			Table: table, part: '', Key: key, Ver: this.#version, Removed: true,
		});
	}

	#getChanged(table, after) {
		return [...this.#rows.values(), ...this.#removed.values()].filter(row => row.Table === table && row.Ver > after).toSorted((a, b) => a.Ver - b.Ver);
	}

	#stamp() {
		return {Ver: this.#version, NowMs: Math.round(performance.now())};
	}

	#wake() {
		for (const waiter of this.#waiters) {
			waiter();
		}

		this.#waiters.clear();
	}
}

async function readBody(request) {
	let body = '';
	for await (const chunk of request) {
		body += String(chunk);
	}

	return body;
}

/** Serves the store and the promotion call to one VM. */
export class PlatformServer {
	/** Fault by call: returns undefined, or `busy`, `silent` (not done, not answered), `lost` (done, not answered) or `{lateMs}` (done later, not answered). */
	chooseFault = () => undefined;
	#server;
	#deadSockets = new WeakSet();

	/**
	 * @param store - The store of all VMs.
	 * @param groups - Database groups by service.
	 * @param log - Called with each write and promotion call.
	 */
	constructor(store, groups, log) {
		this.store = store;
		this.groups = groups;
		this.log = log;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
	}

	async listen(host) {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(request, response) {
		const body = await readBody(request);
		const url = new URL(request.url, 'http://store');
		const call = {path: url.pathname, transaction: url.pathname === '/v1/rows-tx' ? JSON.parse(body) : undefined};
		const fault = this.#deadSockets.has(request.socket) ? 'silent' : this.chooseFault(call);
		if (fault === 'busy') {
			response.writeHead(503).end();
			return;
		}

		if (fault !== undefined) {
			// A connection on which an answer is lost delivers nothing further.
			this.#deadSockets.add(request.socket);
		}

		if (fault === 'silent') {
			return;
		}

		if (fault?.lateMs !== undefined) {
			await pause(fault.lateMs);
		}

		const {status, answer} = await this.#perform(url, request, body);
		if (call.transaction !== undefined) {
			this.log({
				what: 'write', keys: call.transaction.PutRows.map(row => row.Key), status, fault: fault === undefined ? undefined : (fault.lateMs === undefined ? fault : 'late'),
			});
		}

		if (fault === undefined && !response.destroyed) {
			response.writeHead(status, {'Content-Type': 'application/json'}).end(answer === undefined ? '' : JSON.stringify(answer));
		}
	}

	async #perform(url, request, body) {
		const query = name => url.searchParams.get(name) ?? '';
		switch (url.pathname) {
			case '/v1/rows-get': {
				return {status: 200, answer: this.store.read(query('Table'), query('From'), Math.min(500, Number(query('Limit') || 500)))};
			}

			case '/v1/rows-feed': {
				return {status: 200, answer: await this.store.feed(query('Table'), Number(query('after')), Math.min(30_000, Number(query('WaitMs'))))};
			}

			case '/v1/rows-tx': {
				await pause(8);
				const {isApplied, body: answer} = this.store.transact(JSON.parse(body));
				return {status: isApplied ? 200 : 412, answer};
			}

			case '/promote': {
				const {Service, Id} = JSON.parse(body);
				const status = this.groups.get(Service)?.promote(Id) ?? 409;
				this.log({
					what: 'promote', service: Service, id: Id, holder: request.headers['x-lease-holder'], token: Number(request.headers['x-fencing-token']), status,
				});
				return {status};
			}

			default: {
				return {status: 404};
			}
		}
	}
}
