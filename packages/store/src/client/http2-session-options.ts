import {type SecureClientSessionOptions} from 'node:http2';

/**
 * Creates options for HTTP/2 connections from a given source address.
 * @param sourceAddress - IP address; undefined leaves the choice to the operating system.
 * @returns The options, undefined if there is no source address.
 */
export function createHttp2SessionOptions(sourceAddress: string | undefined): SecureClientSessionOptions | undefined {
	if (sourceAddress === undefined) {
		return undefined;
	}

	const options: SecureClientSessionOptions & {localAddress: string} = {localAddress: sourceAddress};
	return options;
}
