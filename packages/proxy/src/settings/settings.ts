import {z} from 'zod';

const portSchema = z.number().int().min(0).max(65_535);
const hostPortSchema = z.string().regex(/^[\w.\-]+:\d{1,5}$/v, 'must be host:port');
const positiveIntegerSchema = z.number().int().positive();
const sha256Schema = z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 hash in hexadecimal');

const vmSchema = z.strictObject({
	name: z.string().min(1).describe('Name of this VM, unique among the VMs'),
	zone: z.string().min(1).describe('Availability zone of this VM'),
	address: z.string().default('127.0.0.1').describe('IP number that the listeners bind to'),
	source_address: z.string().optional().describe('IP number that outgoing connections come from'),
});

const portsSchema = z.strictObject({
	caller: portSchema.default(7000).describe('Port for callers, HTTP/1.1'),
	caller_http2: portSchema.optional().describe('Port for callers, HTTP/2 without TLS; none where absent'),
	peer: portSchema.default(7001).describe('Port for other proxies'),
	operator: portSchema.default(7002).describe('Port for operators, health and metrics'),
});

const platformSchema = z.strictObject({
	address: hostPortSchema.describe('Address of the platform'),
	timeout_ms: positiveIntegerSchema.default(1000).describe('Longest wait for an answer of the platform'),
});

const peersSchema = z.strictObject({
	secret: z.string().min(16).describe('Secret that proxies show one another'),
	exchange_ms: positiveIntegerSchema.default(1000).describe('Time between two exchanges with a peer'),
	timeout_ms: positiveIntegerSchema.default(700).describe('Longest wait for an answer of a peer'),
});

const operatorSchema = z.strictObject({
	token_hashes: z.array(sha256Schema).default([]).describe('SHA-256 hashes of the operators\' tokens'),
});

const timeoutsSchema = z.strictObject({
	default_deadline_ms: positiveIntegerSchema.default(5000).describe('Deadline of a request that brings none'),
	longest_deadline_ms: positiveIntegerSchema.default(30_000).describe('Longest deadline that a request may bring'),
	freshness_ms: positiveIntegerSchema.default(2500).describe('Longest age of the configuration that may be used'),
	endpoint_connect_ms: positiveIntegerSchema.default(1000).describe('Longest time to open a connection to an endpoint'),
	transaction_idle_ms: positiveIntegerSchema.default(10_000).describe('Longest pause between two statements of a transaction'),
	transaction_total_ms: positiveIntegerSchema.default(60_000).describe('Longest life of a transaction'),
	drain_grace_ms: z.number().int().min(0).default(2000).describe('Time between becoming unready and closing the listeners'),
	drain_limit_ms: positiveIntegerSchema.default(30_000).describe('Longest time to finish what is in flight'),
});

const policySchema = z.strictObject({
	reads: z.enum(['product', 'primary-only', 'round-robin']).default('product').describe('How reads are placed'),
	limits: z.enum(['product', 'static-split', 'owner']).default('product').describe('How limits are divided between VMs'),
	queue: z.enum(['fair', 'first-come']).default('fair').describe('How waiting requests are ordered'),
	acknowledge: z.enum(['replica', 'at-once']).default('replica').describe('When a write is acknowledged'),
});

const logSchema = z.strictObject({
	level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info').describe('Lowest level that is logged'),
});

const traceSchema = z.strictObject({
	sample_ratio: z.number().min(0).max(1).default(0).describe('Share of requests traced when the caller does not decide'),
	otlp_url: z.url().optional().describe('Where spans are sent; nowhere where absent'),
});

const requestsSchema = z.strictObject({
	max_body_bytes: positiveIntegerSchema.default(1_048_576).describe('Largest request body'),
});

/** Settings of the daemon, by table of the TOML file. */
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

export type Settings = z.infer<typeof settingsSchema>;
