/** Stand-in for a database service: one primary and its replicas, which speak the line protocol. */
/* eslint-disable no-await-in-loop, complexity, promise/prefer-await-to-then, @stylistic/max-len */
import {createServer} from 'node:net';
import {pause} from './platform.js';

function parsePosition(text) {
	const [term, number] = text.split('.').map(Number);
	return {term, number};
}

/** One instance of a group. */
export class Instance {
	role = 'replica';
	term = 3;
	log = [];
	/** Whether the process runs; a process that does not run has no listener. */
	isRunning = false;
	/** Whether nothing gets through in either direction, and connections hang. */
	isDark = false;
	/** Whether nothing is received from the primary. */
	isDeaf = false;
	sockets = new Set();
	#server;
	#port = 0;

	constructor(group, index, host) {
		this.group = group;
		this.id = `i-${group.service}-${index}`;
		this.host = host;
		this.zone = group.options.zones[index % group.options.zones.length];
		this.lagMs = group.options.lagMs;
		this.born = Date.now();
	}

	get address() {
		return `${this.host}:${this.#port}`;
	}

	get position() {
		return `${this.term}.${this.log.length}`;
	}

	async start() {
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.#port, this.host, 512, resolve);
		});
		this.#port = this.#server.address().port;
		this.isRunning = true;
	}

	/** Ends the process: connections are reset, and open transactions are rolled back. */
	crash() {
		this.isRunning = false;
		this.#server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}

		this.sockets.clear();
		this.group.register(this);
	}

	/** Starts the process again with its log, as a replica if another instance was promoted. */
	async restart() {
		this.born = Date.now();
		this.group.rejoin(this);
		await this.start();
		this.group.register(this);
	}

	#accept(socket) {
		this.sockets.add(socket);
		socket.on('close', () => {
			this.sockets.delete(socket);
		});
		// eslint-disable-next-line no-new
		new Connection(this, socket);
	}
}

let connectionCount = 0;

/** A connection to an instance. */
class Connection {
	values = {};
	prepared = new Map();
	state = 'I';
	isReadOnly = false;
	writes = [];
	#text = '';
	#queue = Promise.resolve();
	#isStarted = false;
	#isClosed = false;

	constructor(instance, socket) {
		connectionCount += 1;
		this.number = connectionCount;
		this.instance = instance;
		this.socket = socket;
		socket.setNoDelay(true);
		socket.setEncoding('latin1');
		socket.on('data', chunk => {
			this.#text += chunk;
			const lines = this.#text.split('\r\n');
			this.#text = lines.pop();
			for (const line of lines) {
				this.#queue = this.#queue.then(async () => this.#handle(line));
			}
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			this.#isClosed = true;
		});
	}

	#send(text) {
		if (!this.#isClosed && !this.instance.isDark) {
			this.socket.write(text, 'latin1');
		}
	}

	async #handle(line) {
		const {instance} = this;
		if (this.#isClosed || instance.isDark || !instance.isRunning) {
			return;
		}

		const fields = line.split(' ');
		if (fields[0] === 'TERMINATE') {
			this.socket.end();
			return;
		}

		if (!this.#isStarted) {
			await this.#start(fields);
			return;
		}

		const [, id, ...rest] = fields;
		await this.#query(id, rest.join(' '));
	}

	async #start([, service, tenant, id]) {
		const {instance} = this;
		await pause(2);
		if (service !== instance.group.service || (id !== undefined && id !== instance.id)) {
			this.#send('ERROR WRONGNODE another instance\r\n');
			this.socket.end();
		} else if (instance.sockets.size > instance.group.options.maxConns) {
			this.#send('ERROR MAXCONN too many connections\r\n');
			this.socket.end();
		} else {
			this.#isStarted = true;
			this.tenant = tenant;
			this.#send(`READY I ${instance.position}\r\n`);
		}
	}

	#ready() {
		this.#send(`READY ${this.state} ${this.instance.position}\r\n`);
	}

	#fail(code, text = 'refused') {
		if (this.state === 'T' && code !== 'BUSY') {
			this.state = 'E';
		}

		this.#send(`ERROR ${code} ${text}\r\n`);
		this.#ready();
	}

	#complete(signature = '-', rows = []) {
		this.#send(`${rows.map(row => `ROW ${row}\r\n`).join('')}COMPLETE ${signature}\r\n`);
		this.#ready();
	}

	async #query(id, fullText) {
		const {instance} = this;
		const {group} = instance;
		const since = /^SINCE (\d+\.\d+) (.*)$/.exec(fullText);
		const text = since === null ? fullText : since[2];
		const [keyword, ...parameters] = text.split(' ');
		if (since !== null && !['READ', 'BEGIN', 'EXECUTE'].includes(keyword)) {
			group.record({
				kind: 'odd-since', id, text: fullText, instance: instance.id,
			});
		}

		if (this.state === 'E' && !['ROLLBACK', 'COMMIT'].includes(keyword)) {
			this.#fail('MALFORMED', 'the transaction failed');
			return;
		}

		if (since !== null && this.#isBehind(parsePosition(since[1]))) {
			this.#fail('LAGGING', instance.position);
			return;
		}

		switch (keyword) {
			case 'STATUS': {
				await pause(1);
				this.#complete('-', [`${instance.role} ${instance.term} ${instance.position} ${instance.term} 0 0 ${instance.sockets.size}`]);
				return;
			}

			case 'RESET': {
				this.values = {};
				this.prepared.clear();
				this.#complete();
				return;
			}

			case 'SET': {
				this.values = {...this.values, [parameters[0]]: parameters.slice(1).join(' ')};
				this.#complete();
				return;
			}

			case 'PREPARE': {
				this.prepared.set(parameters[0], parameters.slice(1).join(' '));
				this.#complete();
				return;
			}

			case 'CLOSE': {
				this.prepared.delete(parameters[0]);
				this.#complete();
				return;
			}

			case 'BEGIN': {
				this.isReadOnly = parameters[0] === 'READ';
				if (this.state !== 'I') {
					this.#fail('MALFORMED', 'in a transaction');
				} else if (!this.isReadOnly && instance.role !== 'primary') {
					this.#fail('READONLY', instance.id);
				} else {
					this.state = 'T';
					this.writes = [];
					group.transactionCount += 1;
					this.transaction = group.transactionCount;
					this.#complete();
				}

				return;
			}

			case 'ROLLBACK': {
				this.state = 'I';
				this.writes = [];
				this.#complete();
				return;
			}

			case 'COMMIT':
			case 'READ':
			case 'WRITE':
			case 'EXECUTE': {
				await this.#run(id, keyword, text, parameters);
				return;
			}

			default: {
				this.#fail('MALFORMED', 'unknown text');
			}
		}
	}

	#isBehind({term, number}) {
		const {instance} = this;
		return instance.term === term ? instance.log.length < number : instance.term < term;
	}

	async #run(id, keyword, text, parameters) {
		const {instance} = this;
		const {group} = instance;
		const shape = keyword === 'EXECUTE' ? this.prepared.get(parameters[0]) : undefined;
		if (keyword === 'EXECUTE' && shape === undefined) {
			this.#fail('NOSTMT', parameters[0]);
			return;
		}

		if (this.state === 'E') {
			this.state = 'I';
			this.writes = [];
			this.#fail('ABORTED', 'the transaction failed');
			return;
		}

		const isWrite = keyword === 'WRITE' || shape?.startsWith('WRITE') === true;
		if (instance.busySlots >= group.options.slots + group.options.queue) {
			this.#fail('BUSY', 'full');
			return;
		}

		instance.busySlots = (instance.busySlots ?? 0) + 1;
		await pause(group.options.workMs * (0.5 + Math.random()));
		instance.busySlots -= 1;
		if (this.#isClosed || !instance.isRunning) {
			return;
		}

		const hasLostLead = this.state === 'T' && !this.isReadOnly && instance.role !== 'primary';
		if ((isWrite && (instance.role !== 'primary' || (this.state === 'T' && this.isReadOnly))) || (hasLostLead && (keyword !== 'COMMIT' || this.writes.length > 0))) {
			this.#fail('READONLY', instance.id);
			return;
		}

		const event = {
			kind: keyword === 'COMMIT' ? 'commit' : (isWrite ? 'write' : 'read'), id, text, shape, instance: instance.id, connection: this.number, tenant: this.tenant, values: this.values,
			transaction: this.state === 'T' ? this.transaction : undefined, term: instance.term, length: instance.log.length, isNewest: group.newestTerm === instance.term,
		};
		if (keyword === 'COMMIT') {
			const {writes} = this;
			this.state = 'I';
			this.writes = [];
			event.writes = writes;
			if (writes.length > 0) {
				event.entry = group.append(instance, writes);
			}
		} else if (isWrite && this.state === 'T') {
			this.writes = [...this.writes, id];
		} else if (isWrite) {
			event.entry = group.append(instance, [id]);
		}

		const rows = isWrite || keyword === 'COMMIT' ? [] : [`row-of-${id}`];
		event.signature = `sig.${id}.${instance.id}`;
		group.record(event);
		const loss = group.chooseLoss(event);
		if (loss === 'reset') {
			this.socket.resetAndDestroy();
		} else if (loss === undefined) {
			this.#complete(event.signature, rows);
		} else {
			// The answer is lost and the connection stays open.
			this.state = this.state === 'T' ? 'E' : this.state;
		}
	}
}

/** A service with its instances. */
export class Group {
	instances = [];
	events = [];
	promotions = [];
	newestTerm = 3;
	transactionCount = 0;
	/** Decides whether the answer of a statement is lost: undefined, `mute` or `reset`. */
	chooseLoss = () => undefined;
	#entries = new Map();

	constructor(service, hosts, store, options) {
		this.service = service;
		this.store = store;
		this.options = {
			workMs: 8, lagMs: 20, promoteMs: 600, slots: 5, queue: 40, maxConns: 33, zones: ['a', 'b', 'c'], ...options,
		};
		this.instances = hosts.map((host, index) => new Instance(this, index, host));
		this.instances[0].role = 'primary';
	}

	get primary() {
		return this.instances.filter(({role}) => role === 'primary').toSorted((a, b) => b.term - a.term)[0];
	}

	async start() {
		for (const instance of this.instances) {
			await instance.start();
			this.register(instance);
		}
	}

	stop() {
		for (const instance of this.instances) {
			if (instance.isRunning) {
				instance.crash();
			}
		}
	}

	record(event) {
		this.events.push({at: performance.now(), ...event});
	}

	/** Writes or removes the entry of an instance. */
	register(instance, state = 'ready') {
		if (!instance.isRunning) {
			// An entry expires after three heartbeat intervals of silence.
			setTimeout(() => {
				if (!instance.isRunning) {
					this.store.remove('servers', instance.id);
				}
			}, 3600).unref();
			return;
		}

		this.store.put('servers', instance.id, {
			Service: this.service, Address: instance.address, Zone: instance.zone, Version: '1', Slots: this.options.slots, State: state, DbRole: instance.role, ColdRemainingMs: 0, Sequence: this.events.length, born: instance.born,
		});
	}

	/** Appends a commit to the log of a primary, and sends it to the replicas. */
	append(instance, ids) {
		const entry = {
			ids, term: instance.term, number: instance.log.length + 1, at: performance.now(), instance: instance.id,
		};
		instance.log.push(entry);
		this.#entries.set(ids[0], entry);
		const {term} = instance;
		for (const replica of this.instances) {
			if (replica !== instance) {
				setTimeout(() => {
					this.#replicate(instance, replica, term);
				}, replica.lagMs);
			}
		}

		return entry;
	}

	#canReplicate(source, replica) {
		return source.isRunning && replica.isRunning && !source.isDark && !replica.isDark && !replica.isDeaf;
	}

	/** Brings a replica to the log that its primary had a lag ago; commits of an earlier primary that the log lacks are dropped. */
	#replicate(source, replica, term) {
		if (source.role === 'primary' && source.term === term && replica.role === 'replica' && replica.term <= term && this.#canReplicate(source, replica)) {
			const horizon = performance.now() - replica.lagMs;
			replica.term = term;
			replica.log = source.log.filter(({at}) => at <= horizon + 1 || replica.log.some(known => known.at === at));
		}
	}

	/** Handles the promotion call; returns the HTTP status. */
	promote(id) {
		const target = this.instances.find(instance => instance.id === id);
		if (target === undefined || !target.isRunning) {
			return 409;
		}

		setTimeout(() => {
			if (target.isRunning && !(target.role === 'primary' && target.term === this.newestTerm)) {
				this.newestTerm += 1;
				target.role = 'primary';
				target.term = this.newestTerm;
				this.promotions.push({
					at: performance.now(), id, term: target.term, length: target.log.length, log: [...target.log],
				});
				this.register(target);
				this.#settleFormer(target);
			}
		}, this.options.promoteMs);
		return 200;
	}

	/** A former primary goes on until a second after it can reach the new one; replicas follow the new one at once. */
	#settleFormer(target) {
		for (const other of this.instances.filter(instance => instance !== target)) {
			const timer = setInterval(() => {
				if (target.role !== 'primary' || other.term >= target.term) {
					clearInterval(timer);
				} else if (this.#canReplicate(target, other) && (other.role === 'replica' || performance.now() - (other.reachedAt ??= performance.now()) > 1000)) {
					other.reachedAt = undefined;
					this.rejoin(other);
					this.register(other);
					clearInterval(timer);
				}
			}, 20);
			timer.unref();
		}
	}

	/** Makes an instance a replica of the newest primary if another one was promoted, without the commits that this one lacks. */
	rejoin(instance) {
		const {primary} = this;
		if (primary !== instance && primary.term > instance.term) {
			instance.role = 'replica';
			instance.term = primary.term;
			instance.log = [...primary.log];
		}
	}
}
