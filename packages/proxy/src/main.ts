import process from 'node:process';
import sade from 'sade';
import {handleOutputErrors} from './observability/index.js';
import {formatSettingsReference, loadSettings, type Settings} from './settings/index.js';
import {Proxy} from './wiring/index.js';

const exitCodes = {success: 0, invalidSettings: 2} as const;

async function runProxy(settings: Settings): Promise<void> {
	handleOutputErrors();
	const proxy = await Proxy.start(settings);
	process.on('unhandledRejection', reason => {
		proxy.logFailure(reason);
	});
	const drainAndExit = () => {
		void proxy.drain().then(() => {
			process.exit(exitCodes.success);
		});
	};

	process.once('SIGTERM', drainAndExit);
	process.once('SIGINT', drainAndExit);
}

sade('chicorysaddled [settings]', true)
	.version('0.1.0')
	.describe('Runs one proxy with the settings of a TOML file.')
	.option('--reference', 'Print the reference of all settings and exit', false)
	.option('--check', 'Check the settings and exit', false)
	.example('/etc/chicorysaddle/vm.toml')
	.example('--check /etc/chicorysaddle/vm.toml')
	.action(async (file: string | undefined, options: {check?: boolean; reference?: boolean}) => {
		if (options.reference) {
			process.stdout.write(formatSettingsReference());
			return;
		}

		if (file === undefined) {
			process.stderr.write('no settings file given; see --help\n');
			process.exit(exitCodes.invalidSettings);
		}

		const settings = await loadSettings(file);
		await settings.caseOf({
			async Left(errors) {
				process.stderr.write(`${errors.join('\n')}\n`);
				process.exit(exitCodes.invalidSettings);
			},
			async Right(validSettings) {
				if (options.check) {
					process.stdout.write(`${file}: settings are good\n`);
					return;
				}

				await runProxy(validSettings);
			},
		});
	})
	.parse(process.argv);
