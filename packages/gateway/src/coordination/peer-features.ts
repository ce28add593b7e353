/** Feature of the protocol between VMs that a VM has to announce before others use it, since former builds close a link on an unknown message. */
export type PeerFeature = 'configuration-parts' | 'forwarding';

/** Features that this build announces in its registration. */
export const announcedFeatures: readonly PeerFeature[] = ['configuration-parts'];
