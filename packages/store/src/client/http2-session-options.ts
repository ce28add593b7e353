import {type SecureClientSessionOptions} from 'node:http2';

/**
 * Returns options for connections that come from one IP number.
 * @param sourceAddress - IP number; any where absent.
 */
export function createHttp2SessionOptions(sourceAddress: string | undefined): SecureClientSessionOptions | undefined {
	if (sourceAddress === undefined) {
		return undefined;
	}

	const options: SecureClientSessionOptions & {localAddress: string} = {localAddress: sourceAddress};
	return options;
}
