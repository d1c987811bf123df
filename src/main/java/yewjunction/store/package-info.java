/**
 * Stored messages and who may send them: {@link yewjunction.store.AdmissionController} at the
 * leading store, {@link yewjunction.store.MessageStore} on every store, sequence numbers, rate
 * limits and borrowed quotas.
 */
package yewjunction.store;
