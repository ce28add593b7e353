/* eslint-disable no-await-in-loop -- waits and steps follow one another */
/** Stand-ins for a service: one primary and its replicas, over the line protocol. */
import {createServer} from 'node:net';
import {listen, pause} from './platform.js';

const lettersByState = {idle: 'I', open: 'T', failed: 'E'};

function splitWords(text, count) {
	const words = text.split(' ');
	return words.length <= count ? words : [...words.slice(0, count - 1), words.slice(count - 1).join(' ')];
}

function parsePosition(text) {
	const [term, number] = text.split('.').map(Number);
	return {term, number};
}

function isAtLeast(a, b) {
	return a.term === b.term ? a.number >= b.number : a.term > b.term;
}

/** A connection to an instance. */
class InstanceSession {
	#buffer = '';
	#isStarted = false;
	#state = 'idle';
	#access = 'write';
	#pending = [];
	#queue = Promise.resolve();
	values = new Map();
	prepared = new Map();
	tenant = '';

	constructor(instance, socket) {
		this.instance = instance;
		this.socket = socket;
		socket.setEncoding('latin1');
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#buffer += chunk;
			for (let end = this.#buffer.indexOf('\r\n'); end !== -1; end = this.#buffer.indexOf('\r\n')) {
				const line = this.#buffer.slice(0, end);
				this.#buffer = this.#buffer.slice(end + 2);
				this.#queue = this.#handleAfter(this.#queue, line);
			}
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			instance.sessions.delete(this);
		});
	}

	async #handleAfter(former, line) {
		await former;
		await this.#handleLine(line);
	}

	async #handleLine(line) {
		await this.instance.waitWhileDark();
		if (this.socket.destroyed) {
			return;
		}

		const [word, id, text = ''] = splitWords(line, 3);
		if (!this.#isStarted) {
			await this.#start(splitWords(line, 4));
		} else if (word === 'QUERY') {
			await this.#answerQuery(id, text);
		} else {
			this.socket.end();
		}
	}

	async #start([word, service, tenant, id]) {
		const {instance} = this;
		if (word !== 'START' || service !== instance.group.name || (id !== undefined && id !== instance.id)) {
			this.socket.end(`ERROR WRONGNODE ${instance.id}\r\n`);
			return;
		}

		if (instance.sessions.size > instance.group.maxConnections) {
			this.socket.end(`ERROR MAXCONN ${instance.id}\r\n`);
			return;
		}

		await pause(instance.group.handshakeMs);
		this.tenant = tenant;
		this.#isStarted = true;
		this.#send(`READY I ${instance.formatPosition()}\r\n`);
	}

	#send(text) {
		if (!this.socket.destroyed && this.instance.isRunning) {
			this.socket.write(text, 'latin1');
		}
	}

	async #answerQuery(id, fullText) {
		const [first, second, rest] = splitWords(fullText, 3);
		const since = first === 'SINCE' ? parsePosition(second) : undefined;
		const text = since === undefined ? fullText : rest;
		const outcome = await this.#run(id, text, since);
		await this.instance.waitWhileDark();
		const rows = (outcome.rows ?? []).map(row => `ROW ${row}\r\n`).join('');
		const result = outcome.error === undefined ? `COMPLETE ${outcome.signature ?? '-'}` : `ERROR ${outcome.error} ${this.instance.id}`;
		this.#send(`${rows}${result}\r\nREADY ${lettersByState[this.#state]} ${this.instance.formatPosition()}\r\n`);
	}

	async #run(id, text, since) {
		const [verb, ...parameters] = text.split(' ');
		const {instance} = this;
		if (this.#state === 'failed' && verb !== 'ROLLBACK' && verb !== 'COMMIT') {
			return {error: 'MALFORMED'};
		}

		if (since !== undefined && !isAtLeast(instance.appliedPosition, since)) {
			return {error: 'LAGGING'};
		}

		switch (verb) {
			case 'STATUS': {
				return {rows: [instance.formatStatus()]};
			}

			case 'STEPDOWN': {
				instance.group.stepDown(instance, Number(parameters[0]));
				return {rows: [instance.formatStatus()]};
			}

			case 'BEGIN': {
				return this.#begin(parameters[0] === 'READ' ? 'read' : 'write');
			}

			case 'ROLLBACK': {
				this.#state = 'idle';
				this.#pending = [];
				return {};
			}

			case 'COMMIT': {
				return this.#commit(id);
			}

			case 'READ': {
				return this.#read(id, parameters[0]);
			}

			case 'WRITE': {
				return this.#write(id, parameters);
			}

			case 'EXECUTE': {
				const prepared = this.prepared.get(parameters[0]);
				if (prepared === undefined) {
					return this.#fail('NOSTMT');
				}

				return prepared.access === 'READ' ? this.#read(id, parameters[1]) : this.#write(id, parameters.slice(1));
			}

			default: {
				return this.#define(verb, parameters);
			}
		}
	}

	/** Runs a statement that changes the values or the prepared statements of the session. */
	#define(verb, [name, ...rest]) {
		switch (verb) {
			case 'RESET': {
				this.values.clear();
				this.prepared.clear();
				return {};
			}

			case 'SET': {
				this.values.set(name, rest.join(' '));
				return {};
			}

			case 'PREPARE': {
				this.prepared.set(name, {access: rest[0], shape: rest.slice(1).join(' ')});
				return {};
			}

			case 'CLOSE': {
				this.prepared.delete(name);
				return {};
			}

			default: {
				return {error: 'MALFORMED'};
			}
		}
	}

	#fail(error) {
		this.#state = this.#state === 'idle' ? 'idle' : 'failed';
		return {error};
	}

	#begin(access) {
		if (access === 'write' && this.instance.role !== 'primary') {
			return this.#fail('READONLY');
		}

		this.#state = 'open';
		this.#access = access;
		this.#pending = [];
		return {};
	}

	/** Returns an error if the instance has lost the lead since the transaction began. */
	#checkLead() {
		return this.#state === 'open' && this.#access === 'write' && this.instance.role !== 'primary' ? this.#fail('READONLY') : undefined;
	}

	async #takeSlot() {
		const {instance} = this;
		if (instance.busyCount >= instance.group.slots) {
			return false;
		}

		instance.busyCount += 1;
		await pause(instance.group.workMs);
		instance.busyCount -= 1;
		return true;
	}

	async #read(id, item) {
		const lost = this.#checkLead();
		if (lost !== undefined) {
			return lost;
		}

		const {instance} = this;
		if (!await this.#takeSlot()) {
			return this.#fail('BUSY');
		}

		const value = instance.readItem(item);
		instance.group.record('instance.read', {
			id, instance: instance.id, item, position: instance.formatPosition(), applied: `${instance.appliedPosition.term}.${instance.appliedPosition.number}`, value,
		});
		return {rows: [value], signature: `${id}.${instance.id}`};
	}

	async #write(id, [item, data]) {
		const {instance} = this;
		const lost = this.#checkLead();
		if (lost !== undefined) {
			return lost;
		}

		if (instance.role !== 'primary') {
			return this.#fail('READONLY');
		}

		if (!await this.#takeSlot()) {
			return this.#fail('BUSY');
		}

		this.#pending.push({id, item, data});
		instance.group.record('instance.write', {
			id, instance: instance.id, item, data, transaction: this.#state !== 'idle',
		});
		if (this.#state !== 'idle') {
			return {rows: [], signature: `${id}.${instance.id}`};
		}

		return this.#commitPending(id);
	}

	async #commit(id) {
		const state = this.#state;
		if (state === 'idle') {
			return {error: 'MALFORMED'};
		}

		this.#state = 'idle';
		if (state === 'failed') {
			this.#pending = [];
			return {error: 'ABORTED'};
		}

		return this.#commitPending(id);
	}

	async #commitPending(id) {
		const {instance} = this;
		const pending = this.#pending;
		this.#pending = [];
		if (pending.length > 0 && instance.role !== 'primary') {
			return {error: 'READONLY'};
		}

		if (pending.length > 0) {
			const entry = instance.group.append(instance, id, pending);
			await instance.group.waitUntilReceived(entry);
		}

		return {rows: [], signature: `${id}.${instance.id}`};
	}
}

/** One instance of a service. */
class StandInInstance {
	sessions = new Set();
	log = [];
	/** Number of the entries of the log that reads see. */
	appliedCount = 0;
	busyCount = 0;
	isRunning = true;
	isDark = false;
	/** Whether it receives nothing from the primary. */
	isDeaf = false;
	state = 'ready';
	#sequence = 0;

	constructor(group, id, role) {
		this.group = group;
		this.id = id;
		this.role = role;
		this.term = 1;
		this.born = Date.now();
		this.server = createServer(socket => {
			this.sessions.add(new InstanceSession(this, socket));
		});
	}

	get position() {
		return {term: this.term, number: this.log.length};
	}

	get appliedPosition() {
		return {term: this.term, number: this.appliedCount};
	}

	formatPosition() {
		return `${this.term}.${this.log.length}`;
	}

	formatStatus() {
		return `${this.role} ${this.term} ${this.formatPosition()} ${this.term} 0 ${this.busyCount} ${this.sessions.size}`;
	}

	readItem(item) {
		let value = '-';
		for (const {writes} of this.log.slice(0, this.appliedCount)) {
			for (const write of writes) {
				value = write.item === item ? write.data : value;
			}
		}

		return value;
	}

	async waitWhileDark() {
		while (this.isDark) {
			await pause(10);
		}
	}

	/** @param address - Address of a former instance, a free one if absent. */
	async start(address = '127.0.0.1:0') {
		const [host, port] = address.split(':');
		this.address = await listen(this.server, host, Number(port));
	}

	/** Writes the entry of the instance to the store. */
	beat(store) {
		this.#sequence += 1;
		store.put('servers', this.id, {
			Service: this.group.name, Address: this.address, Zone: 'zone-a', Version: 'v1', Slots: this.group.slots, State: this.state,
			ColdRemainingMs: 0, DbRole: this.role, Sequence: this.#sequence, born: this.born,
		});
	}

	/** Ends the process of the instance: its connections are reset, and its port refuses. */
	crash() {
		this.isRunning = false;
		this.isDark = false;
		this.server.close();
		for (const {socket} of this.sessions) {
			socket.resetAndDestroy();
		}
	}
}

/** A service with its instances. */
export class StandInGroup {
	instances = [];
	timers = [];

	constructor(name, {
		record, store, syncReplicas = 0, lagMs = 20, promoteMs = 600, slots = 8, workMs = 4, handshakeMs = 4, maxConnections = 33, heartbeatMs = 1200,
	}) {
		Object.assign(this, {
			name, record, store, syncReplicas, lagMs, promoteMs, slots, workMs, handshakeMs, maxConnections, heartbeatMs,
		});
	}

	async start(count) {
		this.timers.push(setInterval(() => {
			this.#reconcile();
		}, 200));
		for (let index = 0; index < count; index++) {
			const instance = new StandInInstance(this, `i-${this.name}-${index}`, index === 0 ? 'primary' : 'replica');
			this.instances.push(instance);
			await instance.start();
			this.#keepRegistered(instance);
		}
	}

	get primary() {
		return this.instances.filter(({role, isRunning}) => role === 'primary' && isRunning).toSorted((a, b) => b.term - a.term)[0];
	}

	get replicas() {
		return this.instances.filter(({role, isRunning}) => role === 'replica' && isRunning);
	}

	/** Writes the entry at each heartbeat; removes it after three intervals of silence. */
	#keepRegistered(instance) {
		let missed = 0;
		const beat = () => {
			if (instance.isRunning && !instance.isDark) {
				missed = 0;
				instance.beat(this.store);
			} else {
				missed += 1;
				if (missed === 3) {
					this.store.remove('servers', instance.id);
				}
			}
		};

		beat();
		this.timers.push(setInterval(beat, this.heartbeatMs));
	}

	/** Changes the state of an instance, which it reports immediately. */
	setState(instance, state) {
		instance.state = state;
		instance.beat(this.store);
	}

	/** Appends a commit to the log of a primary and sends it to the replicas. */
	append(primary, id, writes) {
		const entry = {
			term: primary.term, id, writes, receivedCount: 0, waiting: [],
		};
		primary.log.push(entry);
		primary.appliedCount = primary.log.length;
		this.record('instance.commit', {
			id, instance: primary.id, position: primary.formatPosition(),
		});
		for (const replica of this.instances.filter(other => other !== primary)) {
			this.#send(primary, replica);
		}

		return entry;
	}

	/** Sends the log of a primary to a replica: it receives it over the network, and applies it later. */
	#send(primary, replica) {
		const {term} = primary;
		setTimeout(() => {
			const isConnected = primary.isRunning && !primary.isDark && replica.isRunning && !replica.isDark && !replica.isDeaf;
			if (!isConnected || replica.role !== 'replica' || replica.term > term) {
				return;
			}

			replica.term = term;
			for (const entry of primary.log.slice(replica.log.length)) {
				replica.log.push(entry);
				entry.receivedCount += 1;
				for (const wake of entry.waiting.splice(0)) {
					wake();
				}
			}

			const count = replica.log.length;
			setTimeout(() => {
				replica.appliedCount = Math.max(replica.appliedCount, Math.min(count, replica.log.length));
			}, this.lagMs);
		}, 1);
	}

	/** Waits until as many replicas have received a commit as the service requires. */
	async waitUntilReceived(entry) {
		while (entry.receivedCount < this.syncReplicas) {
			await new Promise(resolve => {
				entry.waiting.push(resolve);
			});
		}
	}

	/** Performs an order of the platform's promotion API; returns the HTTP status. */
	async promote(id) {
		const target = this.instances.find(instance => instance.id === id);
		if (target === undefined || !target.isRunning || target.isDark) {
			return 409;
		}

		if (target === this.primary && target.role === 'primary') {
			return 200;
		}

		setTimeout(() => {
			this.#lead(target);
		}, this.promoteMs);
		return 200;
	}

	#lead(target) {
		if (!target.isRunning || target.role === 'primary') {
			return;
		}

		target.term = Math.max(...this.instances.map(({term}) => term)) + 1;
		target.role = 'primary';
		target.appliedCount = target.log.length;
		this.record('instance.leads', {
			instance: target.id, position: target.formatPosition(), log: target.log.length,
		});
		target.beat(this.store);
		this.#reconcile();
	}

	/** Makes an instance follow a primary: rolls back what the primary does not have. */
	#follow(replica, primary) {
		if (replica.isDeaf || replica.isDark) {
			return;
		}

		let common = 0;
		while (common < replica.log.length && replica.log[common] === primary.log[common]) {
			common += 1;
		}

		replica.log.length = common;
		replica.appliedCount = Math.min(replica.appliedCount, common);
		replica.term = primary.term;
		this.#send(primary, replica);
	}

	/** Makes a primary of a lower term a replica. */
	stepDown(instance, term) {
		if (instance.role === 'primary' && instance.term < term && instance.isRunning && !instance.isDark) {
			instance.role = 'replica';
			instance.steppingDownAt = undefined;
			this.record('instance.stepped-down', {instance: instance.id});
			instance.beat(this.store);
			const {primary} = this;
			if (primary !== undefined) {
				this.#follow(instance, primary);
			}
		}
	}

	/** Ends a replica that has drained: its log is transferred to a new instance at its address. */
	async replace(instance) {
		instance.crash();
		this.store.remove('servers', instance.id);
		const successor = new StandInInstance(this, `${instance.id}-b`, 'replica');
		Object.assign(successor, {log: [...instance.log], appliedCount: instance.appliedCount, term: instance.term});
		this.instances = this.instances.filter(other => other !== instance);
		await successor.start(instance.address);
		this.instances.push(successor);
		this.#keepRegistered(successor);
		this.record('instance.replaced', {instance: instance.id, successor: successor.id});
		if (this.primary !== undefined) {
			this.#send(this.primary, successor);
		}
	}

	/** Starts an instance again that has crashed: it has its log, and is a replica if another one was promoted. */
	async restart(instance) {
		const successor = new StandInInstance(this, instance.id, 'replica');
		const {primary} = this;
		const isLeading = instance.role === 'primary' && (primary === undefined || primary.term < instance.term);
		Object.assign(successor, {
			log: instance.log, appliedCount: instance.appliedCount, term: instance.term, state: instance.state, role: isLeading ? 'primary' : 'replica',
		});
		await successor.start(instance.address);
		this.instances = this.instances.map(other => other === instance ? successor : other);
		this.#keepRegistered(successor);
		this.record('instance.restarted', {instance: instance.id, role: successor.role, position: successor.formatPosition()});
	}

	/** Lets replicas that are reachable again follow the primary, and former primaries step down. */
	#reconcile() {
		const {primary} = this;
		if (primary === undefined || primary.isDark) {
			return;
		}

		for (const other of this.instances) {
			if (other === primary || !other.isRunning || other.isDark || other.isDeaf) {
				continue;
			}

			if (other.role === 'primary') {
				other.steppingDownAt ??= performance.now() + 1000;
				if (performance.now() >= other.steppingDownAt) {
					this.stepDown(other, primary.term);
				}
			} else if (other.log.length < primary.log.length || other.term !== primary.term) {
				this.#follow(other, primary);
			}
		}
	}

	stop() {
		for (const timer of this.timers) {
			clearInterval(timer);
		}
	}
}
