/**
 * The control plane: the operator's configuration, replica ids, the first stores and retirements,
 * kept by a Raft group, and the leases by which every other process holds them. {@link
 * yewjunction.control.ControlService} is the server's side, {@link yewjunction.control.LeaseClient}
 * the other one. A change of the configuration goes from {@link yewjunction.control.OperatorApi}
 * through the log to {@code ConfigurationPublisher} and {@code LeaseClient}.
 */
package yewjunction.control;
