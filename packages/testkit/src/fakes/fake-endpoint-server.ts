import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {
	create, fromBinary, type MessageInitShape, toBinary,
} from '@bufbuild/protobuf';
import {
	type ExecuteRequest, ExecuteRequestSchema, ExecuteResponseSchema, FenceRequestSchema, FenceResponseSchema,
	type InstanceStatus, InstanceStatusSchema, Outcome, ProbeRequestSchema, PromoteRequestSchema, Step,
} from '@chicorysaddle/protocol';
import {isAtLeast, type LogPosition} from '@chicorysaddle/model';
import {type FakeInstance, type WriteOperation} from './fake-instance.js';

/** Record of a request that an endpoint executed. */
export type EndpointEvent = {
	/** Time of the execution, in milliseconds on the monotonic clock. */
	readonly at: number;
	readonly instance: string;
	readonly term: number;
	readonly statement: string;
	readonly parameters: Readonly<Record<string, string>>;
	readonly step: Step;
	/** Headers and parameters of the request, as JSON. */
	readonly requestText: string;
	/** Tags of the writes that the request applied. */
	readonly writtenTags: readonly string[];
	/** Tags of the writes that a commit applied atomically. */
	readonly committedTags: readonly string[];
};

/** Timing of an endpoint, in milliseconds. */
export type EndpointTiming = {
	/** Minimum execution time of a statement; the mean is twice that. */
	readonly minServiceMs: number;
	/** Additional time of the first request on a connection. */
	readonly connectMs: number;
	/** Additional time of every request. */
	readonly roundTripMs: number;
};

type ExecutionResult = Exclude<MessageInitShape<typeof ExecuteResponseSchema>, {$typeName: string}>;
type OpenTransaction = {readonly term: number; readonly operations: WriteOperation[]};
type ConnectionState = {isEstablished: boolean; transaction: OpenTransaction | undefined};

const maxSlotWaitMs = 1500;
const positionPollIntervalMs = 2;

async function delay(durationMs: number): Promise<void> {
	if (durationMs <= 0) {
		return;
	}

	return new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}

/** Serves the endpoint protocol for one fake instance over HTTP/1.1. */
export class FakeEndpointServer {
	/** Called after each executed request. */
	onEvent: (event: EndpointEvent) => void = () => undefined;
	/** Whether the connection of the next `Execute` request closes after the request has run and before the response. */
	isNextResponseLost = false;
	/** Source addresses whose connections and requests are dropped. */
	readonly blockedSources = new Set<string>();
	#server: Server | undefined;
	#port = 0;
	#closedConnectionBytes = 0;
	readonly #connections = new Map<Socket, ConnectionState>();
	readonly #slotWaiters: Array<() => void> = [];

	/** @param getRandom - Returns a uniformly distributed number, at least 0 and below 1. */
	constructor(readonly instance: FakeInstance, private readonly timing: EndpointTiming, private readonly getRandom: () => number) {}

	/** Address of the server as host:port. */
	get address(): string {
		return `127.0.0.1:${this.#port}`;
	}

	get openConnectionCount(): number {
		return this.#connections.size;
	}

	/** Returns the number of bytes received and sent. */
	countBytes(): number {
		let bytes = this.#closedConnectionBytes;
		for (const socket of this.#connections.keys()) {
			bytes += socket.bytesRead + socket.bytesWritten;
		}

		return bytes;
	}

	/** Starts the server; a restart uses the same port. */
	async start(): Promise<void> {
		const server = createServer({keepAliveTimeout: 0, requestTimeout: 0}, (request, response) => {
			void this.#handleRequest(request, response);
		});
		server.on('connection', socket => {
			this.#acceptConnection(socket);
		});
		await new Promise<void>(resolve => {
			server.listen(this.#port, '127.0.0.1', resolve);
		});
		this.#port = (server.address() as AddressInfo).port;
		this.#server = server;
		this.instance.health = 'up';
	}

	/** Simulates a crash: closes every connection and accepts no more. */
	stop(): void {
		this.instance.health = 'dead';
		this.#server?.close();
		this.#server = undefined;
		for (const socket of this.#connections.keys()) {
			socket.destroy();
		}
	}

	#acceptConnection(socket: Socket): void {
		if (this.#connections.size >= this.instance.connections || this.blockedSources.has(socket.remoteAddress ?? '')) {
			socket.destroy();
			return;
		}

		this.#connections.set(socket, {isEstablished: false, transaction: undefined});
		socket.on('close', () => {
			this.#closedConnectionBytes += socket.bytesRead + socket.bytesWritten;
			this.#connections.delete(socket);
		});
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const chunks: Uint8Array[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}

		const connection = this.#connections.get(request.socket);
		if (connection === undefined || this.blockedSources.has(request.socket.remoteAddress ?? '')) {
			request.socket.destroy();
			return;
		}

		await delay(this.timing.roundTripMs + (connection.isEstablished ? 0 : this.timing.connectMs));
		connection.isEstablished = true;
		const bytes = Buffer.concat(chunks);
		const method = (request.url ?? '').split('/').at(-1) ?? '';
		const responseBody = this.instance.health === 'up' ? await this.#methodHandlers[method]?.(bytes, connection, JSON.stringify(request.headers)) : undefined;
		if (responseBody === undefined || this.instance.health !== 'up') {
			return;
		}

		if (this.isNextResponseLost && method === 'Execute') {
			this.isNextResponseLost = false;
			request.socket.destroy();
			return;
		}

		response.writeHead(200, {'content-type': 'application/proto', 'content-length': responseBody.length}).end(responseBody);
	}

	readonly #methodHandlers: Readonly<Record<string, (body: Uint8Array, connection: ConnectionState, headers: string) => Promise<Uint8Array>>> = {
		Execute: async (body, connection, headers) => {
			const request = fromBinary(ExecuteRequestSchema, body);
			const result = await this.#handleExecute(request, connection, headers);
			return toBinary(ExecuteResponseSchema, create(ExecuteResponseSchema, {
				...result, requestId: request.requestId, running: this.instance.runningCount, position: formatWirePosition(this.instance.position), stalenessMs: this.#getStalenessMs(),
			}));
		},
		Probe: async body => {
			const request = fromBinary(ProbeRequestSchema, body);
			await this.#waitForPosition(request.atLeast, request.maxWaitMs);
			return toBinary(InstanceStatusSchema, this.#createStatus());
		},
		Fence: async body => {
			const request = fromBinary(FenceRequestSchema, body);
			const accepted = this.instance.fence(Number(request.term), request.promoter);
			return toBinary(FenceResponseSchema, create(FenceResponseSchema, {accepted, status: this.#createStatus()}));
		},
		Promote: async body => {
			const request = fromBinary(PromoteRequestSchema, body);
			const accepted = this.instance.fence(Number(request.term), request.promoter);
			if (accepted && !this.instance.isPrimary) {
				this.instance.isPrimary = true;
				this.instance.isSynced = true;
				this.instance.appendEntry([], '', '', performance.now());
			}

			return toBinary(FenceResponseSchema, create(FenceResponseSchema, {accepted, status: this.#createStatus()}));
		},
	};

	async #handleExecute(request: ExecuteRequest, connection: ConnectionState, headers: string): Promise<ExecutionResult> {
		if (!await this.#waitForPosition(request.atLeast, request.maxWaitMs) || (request.maxStalenessMs > 0 && this.#getStalenessMs() > request.maxStalenessMs)) {
			return {outcome: Outcome.BEHIND};
		}

		if (!await this.#acquireSlot()) {
			return {outcome: Outcome.BUSY};
		}

		try {
			await delay(this.timing.minServiceMs * (1 - Math.log(1 - this.getRandom())));
			return this.#runRequest(request, connection, headers);
		} finally {
			this.#releaseSlot();
		}
	}

	#runRequest(request: ExecuteRequest, connection: ConnectionState, headers: string): ExecutionResult {
		const {instance} = this;
		const isInTransaction = request.step !== Step.SINGLE;
		if (Number(request.term) > instance.term) {
			return {outcome: Outcome.WRONG_TERM};
		}

		if (!instance.isPrimary && !instance.isSynced) {
			return {outcome: Outcome.BEHIND};
		}

		if ((request.write || isInTransaction) && (!instance.isPrimary || Number(request.term) !== instance.term)) {
			return {outcome: Outcome.WRONG_TERM};
		}

		if (isInTransaction && request.step !== Step.BEGIN && connection.transaction?.term !== instance.term) {
			return {outcome: Outcome.NO_TRANSACTION};
		}

		const record = instance.getRecord(request.recordId);
		if (record !== undefined) {
			return record.bodyHash === request.bodyHash ? {outcome: Outcome.DONE, replayed: true} : {outcome: Outcome.RECORD_MISMATCH};
		}

		const committedTags = request.step === Step.COMMIT ? connection.transaction!.operations.map(operation => operation.tag) : [];
		const result = this.#applyRequest(request, connection);
		this.onEvent({
			at: performance.now(), instance: instance.name, term: instance.term, statement: request.statement, parameters: request.parameters, step: request.step,
			writtenTags: request.step === Step.SINGLE && request.write ? [request.parameters.tag ?? ''] : committedTags,
			requestText: `${headers} ${JSON.stringify(request.parameters)}`, committedTags,
		});
		return result;
	}

	#applyRequest(request: ExecuteRequest, connection: ConnectionState): ExecutionResult {
		const {instance} = this;
		const {key = '', value = '', tag = ''} = request.parameters;
		const now = performance.now();
		if (request.step === Step.BEGIN) {
			connection.transaction = {term: instance.term, operations: []};
		} else if (request.step === Step.COMMIT || request.step === Step.ROLL_BACK) {
			const operations = request.step === Step.COMMIT ? connection.transaction!.operations : [];
			connection.transaction = undefined;
			instance.appendEntry(operations, request.recordId, request.bodyHash, now);
		} else if (request.statement === 'put' || request.statement === 'append') {
			const operation: WriteOperation = {
				statement: request.statement, key, value, tag,
			};
			if (request.step === Step.STATEMENT) {
				connection.transaction!.operations.push(operation);
			} else {
				instance.appendEntry([operation], request.recordId, request.bodyHash, now);
			}
		} else if (request.statement !== 'get') {
			return {outcome: Outcome.BAD_STATEMENT};
		}

		const uncommittedValue = connection.transaction?.operations.findLast(operation => operation.key === key)?.value;
		return {outcome: Outcome.DONE, rows: request.statement === 'get' ? [{columns: {key, value: uncommittedValue ?? instance.getValue(key)}}] : []};
	}

	async #waitForPosition(position: ExecuteRequest['atLeast'], maxWaitMs: number): Promise<boolean> {
		const required = {term: Number(position?.term ?? 0), offset: Number(position?.offset ?? 0)};
		const deadline = performance.now() + maxWaitMs;
		while (!isAtLeast(this.instance.position, required)) {
			if (performance.now() >= deadline) {
				return false;
			}

			await delay(positionPollIntervalMs);
		}

		return true;
	}

	async #acquireSlot(): Promise<boolean> {
		if (this.instance.runningCount < this.instance.slots) {
			this.instance.runningCount += 1;
			return true;
		}

		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#slotWaiters.splice(this.#slotWaiters.indexOf(grantSlot), 1);
				resolve(false);
			}, maxSlotWaitMs);
			const grantSlot = () => {
				clearTimeout(timer);
				resolve(true);
			};

			this.#slotWaiters.push(grantSlot);
		});
	}

	#releaseSlot(): void {
		const next = this.#slotWaiters.shift();
		if (next === undefined) {
			this.instance.runningCount -= 1;
		} else {
			next();
		}
	}

	#getStalenessMs(): number {
		return this.instance.isPrimary ? 0 : Math.ceil(Math.max(0, performance.now() - this.instance.syncedAt));
	}

	#createStatus(): InstanceStatus {
		const {instance} = this;
		return create(InstanceStatusSchema, {
			term: BigInt(instance.term),
			promoter: instance.promoter,
			primary: instance.isPrimary,
			position: formatWirePosition(instance.position),
			stalenessMs: this.#getStalenessMs(),
			running: instance.runningCount,
			slots: instance.slots,
			primarySilentMs: instance.isPrimary ? 0 : Math.ceil(performance.now() - instance.lastPrimaryContactAt),
		});
	}
}

function formatWirePosition(position: LogPosition): {term: bigint; offset: bigint} {
	return {term: BigInt(position.term), offset: BigInt(position.offset)};
}
