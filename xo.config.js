/** Generated code and build output are left to their generators. */
const config = [
	{files: ['**/bin/*.js', '**/container.ts'], rules: {'import-x/no-unassigned-import': 'off', 'n/no-unpublished-bin': 'off'}},
	{
		files: ['**/tests/**/*.ts', 'examples/**'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off', 'ava/no-ignored-test-files': 'off', 'ava/assertion-arguments': 'off', 'unicorn/no-await-expression-member': 'off',
		},
	},
	{files: ['platform/build.js'], rules: {'import-x/no-extraneous-dependencies': 'off', 'n/no-extraneous-import': 'off'}},
	{files: ['**/main.ts'], rules: {'unicorn/no-process-exit': 'off'}},
	{ignores: ['**/dist/**', 'target/**', 'journal/**', 'packages/protocol/src/generated/**']},
	{
		files: ['**/*.ts'],
		rules: {
			// Node 20 has no Promise.try or iterator helpers; steps that must run in order await in loops.
			'no-await-in-loop': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/no-null': 'off',
			// The constructors of purify-ts (Left, Right, Just, Nothing) are plain functions.
			'new-cap': ['error', {capIsNewExceptions: ['Left', 'Right', 'Just', 'Maybe', 'EitherAsync']}],
			// Lookup tables of handlers stand beside the methods they name.
			'@typescript-eslint/member-ordering': 'off',
			'@stylistic/max-len': 'off',
			'max-params': ['error', 5],
			// Work that nobody waits for is chained, not awaited.
			'promise/prefer-await-to-then': 'off',
			// Purify's Either has a method of this name.
			'no-use-extend-native/no-use-extend-native': 'off',
		},
	},
];

export default config;
