import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Time without a heartbeat after which an instance's entry is removed, in heartbeat intervals. */
const maxSilentIntervals = 3;

const emptyPart = '';

async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

/** The platform: its metadata store, and the call that promotes an instance. */
export class Platform {
	#rows = new Map();
	#removed = new Map();
	#version = 0;
	#watchers = new Set();
	#silences = new Map();
	#server;

	/**
	 * @param options.heartbeatMs - Interval of the instances' heartbeats, in milliseconds.
	 * @param options.promote - Called with service, id, holder and token of a promotion; returns the HTTP status.
	 * @param options.record - Called with each line of the record.
	 */
	constructor({heartbeatMs, promote, record}) {
		this.heartbeatMs = heartbeatMs;
		this.promote = promote;
		this.record = record;
		this.#server = createServer(async (request, response) => {
			const body = await readBody(request);
			await this.#handle(request, response, body);
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
		for (const timer of this.#silences.values()) {
			clearTimeout(timer);
		}
	}

	/** Writes a row without a condition. */
	put(table, key, value) {
		this.#version += 1;
		this.#removed.delete(`${table}/${key}`);
		this.#rows.set(`${table}/${key}`, {
			Table: table, part: emptyPart, Key: key, Value: Buffer.from(JSON.stringify(value)).toString('base64'), Ver: this.#version,
		});
		this.#notify();
	}

	remove(table, key) {
		if (this.#rows.delete(`${table}/${key}`)) {
			this.#version += 1;
			this.#removed.set(`${table}/${key}`, {
				Table: table, part: emptyPart, Key: key, Ver: this.#version, Removed: true,
			});
			this.#notify();
		}
	}

	/** Returns the value of a row, undefined if there is none. */
	get(table, key) {
		const row = this.#rows.get(`${table}/${key}`);
		return row && JSON.parse(Buffer.from(row.Value, 'base64').toString());
	}

	/** Returns the version of a row, 0 if there is none. */
	getVersion(table, key) {
		return this.#rows.get(`${table}/${key}`)?.Ver ?? 0;
	}

	/** Takes a heartbeat of an instance; its entry is removed after three intervals without another one. */
	beat(id, entry) {
		this.put('servers', id, entry);
		clearTimeout(this.#silences.get(id));
		this.#silences.set(id, setTimeout(() => {
			this.record(`store: the entry of ${id} is removed after ${maxSilentIntervals} heartbeat intervals of silence`);
			this.remove('servers', id);
		}, maxSilentIntervals * this.heartbeatMs));
	}

	/** Removes the entry of an instance that has left. */
	leave(id) {
		clearTimeout(this.#silences.get(id));
		this.remove('servers', id);
	}

	async #handle(request, response, body) {
		const {pathname, searchParams: query} = new URL(request.url, 'http://store');
		switch (pathname) {
			case '/v1/rows-get': {
				this.#send(response, 200, this.#getRows(query));
				return;
			}

			case '/v1/rows-feed': {
				const [table, after] = [query.get('Table'), Number(query.get('after'))];
				await this.#waitForChange(table, after, Number(query.get('WaitMs') ?? 0));
				this.#send(response, 200, {rows: this.#getChanges(table, after)});
				return;
			}

			case '/v1/rows-tx': {
				this.#applyTransaction(response, JSON.parse(body));
				return;
			}

			case '/promote': {
				const {Service: service, Id: id} = JSON.parse(body);
				const {'x-lease-holder': holder, 'x-fencing-token': token} = request.headers;
				const status = this.promote({
					service, id, holder, token: Number(token),
				});
				response.writeHead(status).end();
				return;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	}

	#getRows(query) {
		const from = query.get('From') ?? '';
		const limit = Number(query.get('Limit') ?? 500);
		const rows = [...this.#rows.values()]
			.filter(row => row.Table === query.get('Table') && row.Key >= from)
			.toSorted((a, b) => (a.Key < b.Key ? -1 : 1));
		return {rows: rows.slice(0, limit), HasMore: rows.length > limit};
	}

	#getChanges(table, after) {
		return [...this.#rows.values(), ...this.#removed.values()]
			.filter(row => row.Table === table && row.Ver > after)
			.toSorted((a, b) => a.Ver - b.Ver);
	}

	async #waitForChange(table, after, waitMs) {
		if (this.#getChanges(table, after).length > 0) {
			return;
		}

		await new Promise(resolve => {
			const watcher = () => {
				if (this.#getChanges(table, after).length > 0) {
					finish();
				}
			};

			const finish = () => {
				clearTimeout(timer);
				this.#watchers.delete(watcher);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			this.#watchers.add(watcher);
		});
	}

	#notify() {
		for (const watcher of this.#watchers) {
			watcher();
		}
	}

	#applyTransaction(response, {Expected = [], PutRows = [], DeleteKeys = []}) {
		const isMet = Expected.every(({Table, Key, Ver}) => (this.#rows.get(`${Table}/${Key}`)?.Ver ?? 0) === Ver);
		if (!isMet) {
			const rows = Expected.flatMap(({Table, Key}) => this.#rows.get(`${Table}/${Key}`) ?? []);
			this.#send(response, 412, {rows});
			return;
		}

		this.#version += 1;
		for (const row of PutRows) {
			this.#removed.delete(`${row.Table}/${row.Key}`);
			this.#rows.set(`${row.Table}/${row.Key}`, {...row, part: emptyPart, Ver: this.#version});
		}

		for (const {Table, Key} of DeleteKeys) {
			this.#rows.delete(`${Table}/${Key}`);
			this.#removed.set(`${Table}/${Key}`, {
				Table, part: emptyPart, Key, Ver: this.#version, Removed: true,
			});
		}

		this.#notify();
		this.#send(response, 200, {});
	}

	#send(response, status, content) {
		response.writeHead(status, {'Content-Type': 'application/json'});
		response.end(JSON.stringify({...content, Ver: this.#version, NowMs: Math.round(performance.now())}));
	}
}
