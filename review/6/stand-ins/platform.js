/* eslint-disable no-await-in-loop -- waits and steps follow one another */
/** Stand-ins for the platform: its metadata store and the API for promotions, both over HTTP/1.1 with JSON bodies. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const maxFeedWaitMs = 30_000;

/** Time after which an idle connection is closed, in milliseconds. */
const idleCloseMs = 60_000;

export function encodeValue(value) {
	return Buffer.from(JSON.stringify(value)).toString('base64');
}

export function decodeValue(row) {
	return JSON.parse(Buffer.from(row.Value, 'base64').toString('utf8'));
}

async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString('utf8');
	return text === '' ? undefined : JSON.parse(text);
}

/** Listens on a free port of a loopback host. */
export async function listen(server, host = '127.0.0.1', port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return `${host}:${server.address().port}`;
}

/** The metadata store: rows in tables, each with a version from a single counter. */
export class StandInStore {
	#version = 0;
	#tables = new Map();
	#history = [];
	#waiting = new Set();
	#startedAt = performance.now();

	constructor({answerMs = 4, transactionMs = 8} = {}) {
		this.answerMs = answerMs;
		this.transactionMs = transactionMs;
		this.server = createServer(async (request, response) => {
			try {
				await this.#handle(request, response);
			} catch {
				response.destroy();
			}
		});
	}

	async listen() {
		this.server.keepAliveTimeout = idleCloseMs;
		this.address = await listen(this.server);
	}

	getRows(table) {
		return [...(this.#tables.get(table) ?? new Map()).values()];
	}

	getRow(table, key) {
		return this.#tables.get(table)?.get(key);
	}

	/** Performs a transaction of the operator or an instance. */
	put(table, key, value) {
		this.#commit([{Table: table, Key: key, Value: encodeValue(value)}], []);
	}

	remove(table, key) {
		this.#commit([], [{Table: table, Key: key}]);
	}

	#commit(puts, deletes) {
		this.#version += 1;
		for (const {Table, part = '', Key, Value} of puts) {
			const row = {
				Table, part, Key, Value, Ver: this.#version,
			};
			this.#getTable(Table).set(Key, row);
			this.#history.push(row);
		}

		for (const {Table, part = '', Key} of deletes) {
			this.#getTable(Table).delete(Key);
			this.#history.push({
				Table, part, Key, Ver: this.#version, Removed: true,
			});
		}

		for (const wake of this.#waiting) {
			wake();
		}
	}

	#getTable(name) {
		if (!this.#tables.has(name)) {
			this.#tables.set(name, new Map());
		}

		return this.#tables.get(name);
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const body = await readBody(request);
		await pause(this.answerMs);
		switch (url.pathname) {
			case '/v1/rows-get': {
				this.#answerRows(url.searchParams, response);
				return;
			}

			case '/v1/rows-feed': {
				await this.#answerFeed(url.searchParams, response);
				return;
			}

			case '/v1/rows-tx': {
				await this.#answerTransaction(body, response);
				return;
			}

			default: {
				this.#answer(response, 404, {});
			}
		}
	}

	#answer(response, status, body) {
		const text = JSON.stringify({...body, Ver: body.Ver ?? this.#version, NowMs: Math.round(performance.now() - this.#startedAt)});
		response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)}).end(text);
	}

	#answerRows(parameters, response) {
		const from = parameters.get('From') ?? '';
		const limit = Number(parameters.get('Limit') ?? 500);
		const rows = this.getRows(parameters.get('Table')).filter(({Key}) => Key >= from).toSorted((a, b) => a.Key < b.Key ? -1 : 1);
		this.#answer(response, 200, {rows: rows.slice(0, limit), HasMore: rows.length > limit});
	}

	async #answerFeed(parameters, response) {
		const after = Number(parameters.get('after'));
		const deadline = performance.now() + Math.min(maxFeedWaitMs, Number(parameters.get('WaitMs') ?? 0));
		const collect = () => this.#history.filter(({Table, Ver}) => Table === parameters.get('Table') && Ver > after);
		while (collect().length === 0 && performance.now() < deadline && !response.destroyed) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.max(1, deadline - performance.now()));
				this.#waiting.add(wake);
			});
		}

		this.#answer(response, 200, {rows: collect()});
	}

	async #answerTransaction({Expected = [], PutRows = [], DeleteKeys = []}, response) {
		await pause(this.transactionMs);
		const isForbidden = [...PutRows, ...DeleteKeys].some(({Table}) => Table === 'op' || Table === 'servers');
		if (isForbidden) {
			this.#answer(response, 403, {});
			return;
		}

		const isMet = Expected.every(({Table, Key, Ver}) => (this.getRow(Table, Key)?.Ver ?? 0) === Ver);
		if (!isMet) {
			this.#answer(response, 412, {rows: Expected.flatMap(({Table, Key}) => this.getRow(Table, Key) ?? [])});
			return;
		}

		this.#commit(PutRows, DeleteKeys);
		this.#answer(response, 200, {Ver: this.#version});
	}
}

/** The promotion API: passes each order on and records its fencing token. */
export class StandInPromotionApi {
	/** Orders as they arrived. */
	orders = [];
	/** Whether every order is answered with 503 and not performed. */
	isDown = false;
	/** Time after which an order that arrives now is performed and answered, in milliseconds. */
	delayMs = 4;

	/** @param promote - Performs an order; returns the HTTP status. */
	constructor(promote, record) {
		this.server = createServer(async (request, response) => {
			try {
				await this.#handle(request, response, promote, record);
			} catch {
				response.destroy();
			}
		});
	}

	async listen() {
		this.server.keepAliveTimeout = idleCloseMs;
		this.address = await listen(this.server);
	}

	async #handle(request, response, promote, record) {
		const body = await readBody(request);
		const order = {
			holder: request.headers['x-lease-holder'], token: Number(request.headers['x-fencing-token']), service: body.Service, id: body.Id,
		};
		this.orders.push(order);
		record('platform.promote', order);
		await pause(this.delayMs);
		response.writeHead(this.isDown ? 503 : await promote(order), {'Content-Type': 'application/json'}).end('{}');
	}
}

export async function pause(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
