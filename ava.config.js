const config = {
	files: ['packages/*/dist/tests/**/*.test.js', 'platform/dist/tests/**/*.test.js'],
	timeout: '120s',
	concurrency: 3,
};

export default config;
