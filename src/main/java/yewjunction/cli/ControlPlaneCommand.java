package yewjunction.cli;

import com.github.rvesse.airline.annotations.Command;
import yewjunction.membership.NodeRole;
import yewjunction.settings.Settings;

/** Runs the control plane. */
@Command(
    name = ControlPlaneCommand.NAME,
    description = "Control plane: configuration, replica ids and voters; serves the operator")
public final class ControlPlaneCommand extends ServerCommand {
  static final String NAME = "control-plane";

  @Override
  NodeRole role(final Settings settings) {
    return NodeRole.CONTROL;
  }
}
