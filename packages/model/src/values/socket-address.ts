import {isIP, isIPv4} from 'node:net';
import {
	Codec, Left, Right, string,
} from 'purify-ts';

/** Highest port of TCP. */
const maxPort = 65_535;

/** Maximum length of a host name, in characters. */
const maxHostLength = 253;

/** Returns whether a number is a port that a socket can be connected to. */
export function isPort(value: number): boolean {
	return Number.isInteger(value) && value >= 1 && value <= maxPort;
}

/** Returns whether a text is `HOST:PORT` with a port that a socket can be connected to; the host is an IP address or a name. */
export function isSocketAddress(text: string): boolean {
	const {host = '', port = ''} = /^(?<host>[\w.:%\-]+):(?<port>\d{1,5})$/v.exec(text)?.groups ?? {};
	// A host of digits and dots is an IPv4 address, never a name.
	return host.length <= maxHostLength && isPort(Number(port)) && (/^[\d.]+$/v.test(host) ? isIPv4(host) : !host.includes(':') || isIP(host) !== 0);
}

/** Codec of `HOST:PORT`, as `isSocketAddress` accepts it. */
export const socketAddressCodec = Codec.custom<string>({
	decode: value => string.decode(value).chain(text => isSocketAddress(text) ? Right(text) : Left(`Expected an address HOST:PORT, but received ${JSON.stringify(text.slice(0, 100))}`)),
	encode: text => text,
});
