import {type Socket} from 'node:net';
import {type UnreadOutput, type UnreadShare} from './unread-output.js';

/** Memory that a message which is not read takes beside its text, in bytes. */
const messageOverheadBytes = 128;

/** Writes messages to a socket, and counts what its peer has not read. */
export class SocketWriter {
	readonly #share: UnreadShare;
	/** Number of messages that the operating system has not taken. */
	#unreadCount = 0;
	#hasUnread = false;

	/**
	 * @param unread - Bounds what this peer and others have not read.
	 * @param disconnect - Destroys the socket.
	 */
	constructor(private readonly socket: Socket, unread: UnreadOutput, disconnect: () => void) {
		this.#share = unread.createShare(disconnect);
		socket.on('close', () => {
			this.#share.remove();
		});
	}

	/** Writes a message; the connection may be closed if peers have not read too much. */
	write(text: string, encoding: 'latin1' | 'utf8'): void {
		this.#unreadCount += 1;
		this.socket.write(text, encoding, this.#handleWritten);
		this.#updateUnread(false);
	}

	readonly #handleWritten = (): void => {
		this.#unreadCount -= 1;
		this.#updateUnread(true);
	};

	#updateUnread(hasRead: boolean): void {
		const length = this.socket.writableLength;
		if (this.socket.destroyed || (length === 0 && !this.#hasUnread)) {
			return;
		}

		this.#hasUnread = length > 0;
		this.#share.set(length === 0 ? 0 : length + (this.#unreadCount * messageOverheadBytes), hasRead);
	}
}
