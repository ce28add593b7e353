import {z} from 'zod';

const portSchema = z.number().int().min(0).max(65_535);
const hostPortSchema = z.string().regex(/^[\w.\-]+:\d{1,5}$/v, 'must be host:port');
const positiveIntegerSchema = z.number().int().positive();
const sha256Schema = z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 hash in hexadecimal');

const vmSchema = z.strictObject({
	name: z.string().min(1).describe('Name of this VM, unique among the VMs'),
	zone: z.string().min(1).describe('Availability zone of this VM'),
	address: z.string().default('127.0.0.1').describe('IP address that the listeners bind to'),
	source_address: z.string().optional().describe('Local IP address of outgoing connections'),
});

const portsSchema = z.strictObject({
	caller: portSchema.default(7000).describe('Port for callers, HTTP/1.1'),
	caller_http2: portSchema.optional().describe('Port for callers, HTTP/2 without TLS; disabled if absent'),
	peer: portSchema.default(7001).describe('Port for other proxies'),
	operator: portSchema.default(7002).describe('Port for operators, health and metrics'),
});

const platformSchema = z.strictObject({
	address: hostPortSchema.describe('Address of the platform'),
	timeout_ms: positiveIntegerSchema.default(1000).describe('Timeout of a request to the platform'),
});

const peersSchema = z.strictObject({
	secret: z.string().min(16).describe('Shared secret that proxies authenticate one another with'),
	exchange_ms: positiveIntegerSchema.default(1000).describe('Interval between state exchanges with a peer'),
	timeout_ms: positiveIntegerSchema.default(700).describe('Timeout of a request to a peer'),
});

const operatorSchema = z.strictObject({
	token_hashes: z.array(sha256Schema).default([]).describe('SHA-256 hashes of the operator tokens'),
});

const timeoutsSchema = z.strictObject({
	default_deadline_ms: positiveIntegerSchema.default(5000).describe('Deadline of a request that specifies none'),
	longest_deadline_ms: positiveIntegerSchema.default(30_000).describe('Maximum deadline of a request'),
	freshness_ms: positiveIntegerSchema.default(2500).describe('Maximum age of the configuration for serving requests'),
	endpoint_connect_ms: positiveIntegerSchema.default(1000).describe('Timeout for opening a connection to an endpoint'),
	transaction_idle_ms: positiveIntegerSchema.default(10_000).describe('Maximum idle time between two statements of a transaction'),
	transaction_total_ms: positiveIntegerSchema.default(60_000).describe('Maximum duration of a transaction'),
	evacuation_ms: positiveIntegerSchema.default(5000).describe('Time after the start of the evacuation of an availability zone from which nothing is sent to its endpoints'),
	drain_grace_ms: z.number().int().min(0).default(2000).describe('Delay between reporting unready and closing the listeners'),
	drain_limit_ms: positiveIntegerSchema.default(30_000).describe('Maximum time for requests and transactions in flight to finish'),
});

const policySchema = z.strictObject({
	reads: z.enum(['product', 'primary-only', 'round-robin']).default('product').describe('How reads are routed to instances'),
	limits: z.enum(['product', 'static-split', 'owner']).default('product').describe('How limits are divided between VMs'),
	queue: z.enum(['fair', 'first-come']).default('fair').describe('How queued requests are ordered'),
	acknowledge: z.enum(['replica', 'at-once']).default('replica').describe('When a write is acknowledged'),
});

const logSchema = z.strictObject({
	level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info').describe('Minimum level that is logged'),
});

const traceSchema = z.strictObject({
	sample_ratio: z.number().min(0).max(1).default(0).describe('Fraction of requests that are traced if the caller does not decide'),
	otlp_url: z.url().optional().describe('URL of the OTLP endpoint that spans are exported to; disabled if absent'),
});

const requestsSchema = z.strictObject({
	max_body_bytes: positiveIntegerSchema.default(1_048_576).describe('Maximum size of a request body in bytes'),
});

/** Schema of the daemon settings, one object per table of the TOML file. */
export const settingsSchema = z.strictObject({
	vm: vmSchema,
	ports: portsSchema.prefault({}),
	platform: platformSchema,
	peers: peersSchema,
	operator: operatorSchema.prefault({}),
	timeouts: timeoutsSchema.prefault({}),
	requests: requestsSchema.prefault({}),
	policy: policySchema.prefault({}),
	log: logSchema.prefault({}),
	trace: traceSchema.prefault({}),
});

/** Validated settings of the daemon. */
export type Settings = z.infer<typeof settingsSchema>;
