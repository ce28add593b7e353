import {setImmediate} from 'node:timers/promises';
import {
	countCodec, createListCodec, decodeValue, finiteNumberCodec, quantityCodec,
} from '@chicorysaddle/model';
import {
	boolean, Codec, Either, exactly, oneOf, optional, string, unknown,
} from 'purify-ts';
import {type DatabaseRoute, type GatewayConfiguration} from './gateway-configuration.js';

const routesCodec = createListCodec(Codec.interface({
	name: string, database: string, group: string, consistency: oneOf([exactly('primary'), exactly('bounded'), exactly('read-your-writes')]),
	statementTimeoutMs: quantityCodec, targetLatencyMs: quantityCodec, priority: finiteNumberCodec, maxStalenessMs: quantityCodec, allowsAnonymous: boolean,
}));

const configurationCodec = Codec.interface({
	version: countCodec,
	routes: routesCodec,
	groups: createListCodec(Codec.interface({
		name: string, maxConnections: quantityCodec, coldPerS: optional(quantityCodec), syncReplicas: optional(countCodec),
	})),
	accounts: createListCodec(Codec.interface({
		name: string, keyDigests: createListCodec(string), priority: finiteNumberCodec, ratePerS: quantityCodec, burst: quantityCodec,
	})),
	transactionIdleMs: quantityCodec,
	maxStatementBytes: quantityCodec,
});

/** Serializes a configuration for another VM; it contains key digests, never keys. */
export function formatConfiguration(configuration: GatewayConfiguration): string {
	return JSON.stringify(configuration);
}

/** Number of routes that are validated at once, which takes a few milliseconds on the smallest VMs. */
const routesPerStep = 500;

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		// The codec rejects undefined, so invalid JSON is returned as a decoding error.
		return undefined;
	}
}

/**
 * Parses a configuration serialized by another VM.
 * @returns The configuration, or a description of the error.
 */
export function parseConfiguration(text: string): Either<string, GatewayConfiguration> {
	return decodeValue(configurationCodec, parseJson(text));
}

/**
 * Parses a configuration as {@link parseConfiguration} does, and lets other events be handled in between:
 * the validation of 12,200 routes takes 60 ms on one core.
 */
export async function parseLargeConfiguration(text: string): Promise<Either<string, GatewayConfiguration>> {
	const value = parseJson(text) as Partial<GatewayConfiguration> | undefined;
	const encodedRoutes: unknown = value?.routes;
	if (!Array.isArray(encodedRoutes) || encodedRoutes.length <= routesPerStep) {
		return decodeValue(configurationCodec, value);
	}

	const bounded = decodeValue(createListCodec(unknown), encodedRoutes);
	if (bounded.isLeft()) {
		return bounded;
	}

	const steps: Array<Either<string, DatabaseRoute[]>> = [];
	for (let start = 0; start < encodedRoutes.length; start += routesPerStep) {
		steps.push(decodeValue(routesCodec, encodedRoutes.slice(start, start + routesPerStep)));
		await setImmediate();
	}

	return decodeValue(configurationCodec, {...value, routes: []}).chain(configuration => Either.sequence(steps).map(routes => ({...configuration, routes: routes.flat()})));
}
