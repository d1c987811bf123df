package yewjunction.cli;

import com.github.rvesse.airline.annotations.Command;
import yewjunction.membership.NodeRole;
import yewjunction.settings.Settings;

/**
 * Runs the data plane. What it serves is read from the settings: {@code store}, or clients on an
 * edge.
 */
@Command(
    name = DataPlaneCommand.NAME,
    description =
        "Data plane: clients' connections where it serves edge, stored messages where it serves store")
public final class DataPlaneCommand extends ServerCommand {
  static final String NAME = "data-plane";

  @Override
  NodeRole role(final Settings settings) {
    return settings.serves().contains("store") ? NodeRole.STORE : NodeRole.EDGE;
  }
}
