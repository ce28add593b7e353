/** Size of a part of a snapshot, in bytes: short enough that other messages on the same link wait little. */
export const snapshotPartBytes = 16_384;

/** Maximum number of parts that are requested ahead. */
const maxRequestedParts = 2;

/** Time without a part after which a source is abandoned, in milliseconds. */
const stallMs = 600;

/** Content that the parts of a transfer belong to. */
export type SnapshotContent = {
	readonly version: number;
	/** Version that the content changes; undefined if it is the whole snapshot. */
	readonly base: number | undefined;
	readonly digest: string;
	/** Size of the whole content, in bytes. */
	readonly size: number;
};

/** What a received part is: the next one, the first one of other content that replaces what was received, or one to ignore. */
export type PartEffect = 'next' | 'restart' | 'ignored';

/** State of the transfer of one snapshot in parts, over one or more sources in turn. */
export class SnapshotTransfer {
	#content: SnapshotContent | undefined;
	#receivedBytes = 0;
	#requestedBytes = 0;
	#pendingParts = 0;
	#progressAt = Number.NEGATIVE_INFINITY;

	/** Content of the parts received so far; undefined before the first part. */
	get content(): SnapshotContent | undefined {
		return this.#content;
	}

	get receivedBytes(): number {
		return this.#receivedBytes;
	}

	get isComplete(): boolean {
		return this.#content !== undefined && this.#receivedBytes >= this.#content.size;
	}

	/** Starts with a source, from the bytes received so far. */
	beginSource(now: number): void {
		this.#requestedBytes = this.#receivedBytes;
		this.#pendingParts = 0;
		this.#progressAt = now;
	}

	/** Returns the offsets of the parts to request now. */
	takeRequests(): number[] {
		const offsets: number[] = [];
		while (this.#pendingParts < maxRequestedParts && (this.#requestedBytes < (this.#content?.size ?? 0) || (this.#content === undefined && this.#pendingParts === 0))) {
			offsets.push(this.#requestedBytes);
			this.#requestedBytes += snapshotPartBytes;
			this.#pendingParts += 1;
		}

		return offsets;
	}

	/**
	 * Records a part.
	 * @param length - Size of the part, in bytes.
	 */
	recordPart(content: SnapshotContent, offset: number, length: number, now: number): PartEffect {
		if (!this.#isSameContent(content)) {
			// Former content is given up only for content that is at least as new, and from its start.
			if (offset !== 0 || content.version < (this.#content?.version ?? 0)) {
				return 'ignored';
			}

			this.#content = content;
			this.#receivedBytes = length;
			this.#requestedBytes = length;
			this.#pendingParts = 0;
			this.#progressAt = now;
			return 'restart';
		}

		if (offset !== this.#receivedBytes || length === 0) {
			return 'ignored';
		}

		this.#receivedBytes += length;
		this.#pendingParts -= 1;
		this.#progressAt = now;
		return 'next';
	}

	/** Returns whether the source has sent nothing new for too long. */
	isStalled(now: number): boolean {
		return now - this.#progressAt >= stallMs;
	}

	#isSameContent({version, base, digest, size}: SnapshotContent): boolean {
		return this.#content !== undefined && version === this.#content.version && base === this.#content.base && digest === this.#content.digest && size === this.#content.size;
	}
}
