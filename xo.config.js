/** XO configuration. Generated code and build output are not linted. */
const config = [
	{files: ['**/bin/*.js', '**/container.ts'], rules: {'import-x/no-unassigned-import': 'off', 'n/no-unpublished-bin': 'off'}},
	{
		files: ['**/tests/**/*.ts', 'examples/**'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off', 'ava/no-ignored-test-files': 'off', 'ava/assertion-arguments': 'off', 'unicorn/no-await-expression-member': 'off',
		},
	},
	{files: ['platform/build.js', 'platform/build/*.js'], rules: {'import-x/no-extraneous-dependencies': 'off', 'n/no-extraneous-import': 'off', 'no-await-in-loop': 'off'}},
	{files: ['**/main.ts'], rules: {'unicorn/no-process-exit': 'off'}},
	{ignores: ['**/dist/**', 'target/**', 'journal/**', 'packages/protocol/src/generated/**']},
	{
		files: ['**/*.ts'],
		rules: {
			// Sequential steps are awaited in loops; Node.js 20 has neither `Promise.try` nor iterator helpers.
			'no-await-in-loop': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/no-null': 'off',
			// The constructors of purify-ts (`Left`, `Right`, `Just`, `Nothing`) are called without `new`.
			'new-cap': ['error', {capIsNewExceptions: ['Left', 'Right', 'Just', 'Maybe', 'EitherAsync']}],
			// Tables of handlers are declared next to the methods that they call.
			'@typescript-eslint/member-ordering': 'off',
			'@stylistic/max-len': 'off',
			'max-params': ['error', 5],
			// Promises of background work are chained because no caller awaits them.
			'promise/prefer-await-to-then': 'off',
			// `Either` of purify-ts has a method that this rule rejects by its name.
			'no-use-extend-native/no-use-extend-native': 'off',
		},
	},
];

export default config;
