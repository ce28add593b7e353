/** Messages and services of every protocol of chicorysaddle. */
export * from './generated/chicorysaddle/common/v1/common_pb.js';
export * from './generated/chicorysaddle/caller/v1/caller_pb.js';
export * from './generated/chicorysaddle/endpoint/v1/endpoint_pb.js';
export * from './generated/chicorysaddle/platform/v1/platform_pb.js';
export * from './generated/chicorysaddle/peer/v1/peer_pb.js';
export * from './generated/chicorysaddle/operator/v1/operator_pb.js';
