import {
	array, boolean, Codec, type Either, exactly, number, oneOf, string,
} from 'purify-ts';
import {type GatewayConfiguration} from './gateway-configuration.js';

const configurationCodec = Codec.interface({
	version: number,
	routes: array(Codec.interface({
		name: string, database: string, group: string, consistency: oneOf([exactly('primary'), exactly('bounded'), exactly('read-your-writes')]),
		statementTimeoutMs: number, targetLatencyMs: number, priority: number, maxStalenessMs: number, allowsAnonymous: boolean,
	})),
	groups: array(Codec.interface({name: string, maxConnections: number})),
	accounts: array(Codec.interface({
		name: string, keyDigests: array(string), priority: number, ratePerS: number, burst: number,
	})),
	transactionIdleMs: number,
	maxStatementBytes: number,
});

/** Writes a configuration for another VM; it holds digests of keys, never keys. */
export function formatConfiguration(configuration: GatewayConfiguration): string {
	return JSON.stringify(configuration);
}

/**
 * Reads a configuration that another VM wrote.
 * @returns The configuration, or what is wrong with the text.
 */
export function parseConfiguration(text: string): Either<string, GatewayConfiguration> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		// The codec rejects what is not JSON.
	}

	return configurationCodec.decode(value);
}
