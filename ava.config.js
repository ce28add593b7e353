const config = {
	files: ['packages/*/dist/tests/**/*.test.js', 'platform/dist/tests/**/*.test.js'],
	// Roarr reads this variable once, when it is loaded.
	environmentVariables: {ROARR_LOG: 'true'},
	timeout: '120s',
	concurrency: 3,
};

export default config;
