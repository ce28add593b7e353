/** Host and port of a TCP listener. */
export type SocketAddress = {
	readonly host: string;
	readonly port: number;
};

/** Parses `HOST:PORT`; the host is everything before the last colon. Neither part is validated. */
export function parseSocketAddress(text: string): SocketAddress {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
