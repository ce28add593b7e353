import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import process from 'node:process';

/** Ports that a daemon is bound to. */
export type VmPorts = {readonly caller: number; readonly peer: number; readonly operator: number};

/** State of a daemon process. */
export type VmState = 'starting' | 'up' | 'draining' | 'paused' | 'gone';

const daemonPath = fileURLToPath(import.meta.resolve('@chicorysaddle/proxy').replace(/dist\/index\.js$/v, 'bin/chicorysaddled.js'));

/** Reads the CPU time that a process has used, in milliseconds. */
export async function readCpuMs(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const msPerTick = 10;
	return (Number(fields[11]) + Number(fields[12])) * msPerTick;
}

/** Daemon in a child process. */
export class VmProcess {
	state: VmState = 'starting';
	ports: VmPorts = {caller: 0, peer: 0, operator: 0};
	/** Whether the daemon reported readiness at the last poll. */
	isReady = false;
	/** Lines that the daemon has written to standard output. */
	readonly logs: string[] = [];
	#child: ChildProcess | undefined;

	constructor(readonly name: string, readonly zone: string, readonly address: string) {}

	/** Process id of the daemon; zero before its first start. */
	get pid(): number {
		return this.#child?.pid ?? 0;
	}

	/** Starts the daemon and waits until its ports are bound; throws if it exits first. */
	async start(settingsFile: string): Promise<void> {
		this.state = 'starting';
		this.isReady = false;
		const daemon = spawn(process.execPath, [daemonPath, settingsFile], {stdio: ['ignore', 'pipe', 'inherit']});
		this.#child = daemon;
		daemon.once('exit', () => {
			if (this.#child === daemon) {
				this.state = 'gone';
				this.isReady = false;
			}
		});
		await new Promise<void>((resolve, reject) => {
			daemon.once('exit', code => {
				reject(new Error(`${this.name} exited with code ${code} before its ports were bound`));
			});
			let partialLine = '';
			daemon.stdout.on('data', chunk => {
				const lines = (partialLine + String(chunk)).split('\n');
				partialLine = lines.pop() ?? '';
				for (const line of lines) {
					this.logs.push(line);
					if (line.includes('"proxy started"')) {
						const {context} = JSON.parse(line) as {context: VmPorts};
						this.ports = {caller: context.caller, peer: context.peer, operator: context.operator};
						resolve();
					}
				}
			});
		});
		this.state = 'up';
	}

	/** Reads the resident memory of the daemon, in megabytes. */
	async readMemoryMb(): Promise<number> {
		const status = await readFile(`/proc/${this.pid}/status`, 'utf8');
		return Number(/VmRSS:\s+(?<kb>\d+)/v.exec(status)?.groups?.kb ?? 0) / 1024;
	}

	/** Kills the daemon with SIGKILL. */
	kill(): void {
		this.state = 'gone';
		this.isReady = false;
		this.#child?.kill('SIGKILL');
	}

	/** Pauses the daemon with SIGSTOP. */
	pause(): void {
		this.state = 'paused';
		this.#child?.kill('SIGSTOP');
	}

	/** Resumes the daemon with SIGCONT. */
	resume(): void {
		this.state = 'up';
		this.#child?.kill('SIGCONT');
	}

	/** Shuts down the daemon with SIGTERM and returns its exit code. */
	async drain(): Promise<number> {
		this.state = 'draining';
		const child = this.#child!;
		const exited = once(child, 'exit');
		child.kill('SIGTERM');
		const [code] = await exited as [number];
		return code;
	}
}
