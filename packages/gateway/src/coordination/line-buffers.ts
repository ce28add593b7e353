/** Owner of a buffer of an unfinished line. */
export type LineBufferOwner = {
	/** Gives up the buffer, with its length set to zero. */
	failBuffer(error: Error): void;
};

/** Bounds what several links together buffer of lines that are not complete: over the bound, the link that buffers the most is given up. */
export class LineBuffers {
	readonly #lengths = new Map<LineBufferOwner, number>();
	#totalLength = 0;

	/** @param maxLength - Maximum length of all buffers, in characters. */
	constructor(private readonly maxLength: number) {}

	/** Length of all buffers, in characters. */
	get totalLength(): number {
		return this.#totalLength;
	}

	/** Sets the length of an owner's buffer, in characters; one of zero is forgotten. */
	setLength(owner: LineBufferOwner, length: number): void {
		this.#totalLength += length - (this.#lengths.get(owner) ?? 0);
		if (length === 0) {
			this.#lengths.delete(owner);
		} else {
			this.#lengths.set(owner, length);
		}

		if (this.#totalLength > this.maxLength) {
			const longest = Math.max(...this.#lengths.values());
			const largest = [...this.#lengths.keys()].find(candidate => this.#lengths.get(candidate) === longest);
			largest?.failBuffer(new Error(`unfinished lines of more than ${this.maxLength} characters on all links`));
		}
	}
}
