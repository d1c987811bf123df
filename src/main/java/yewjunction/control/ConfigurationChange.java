package yewjunction.control;

import static yewjunction.common.ErrorCode.CONFIG_FIELD;
import static yewjunction.common.ErrorCode.CONFIG_UNREADABLE;
import static yewjunction.common.ErrorCode.CONFIG_VERSION;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * A change of the configuration as it was sent, and what can be said of it whatever version is
 * current.
 *
 * <p>Threads: used by one thread at a time and handed on through queues. Between two looks at it
 * only its text is kept.
 */
final class ConfigurationChange {
  private final OperatorCall call;
  private final byte[] body;
  final long baseVersion;

  /** 0 when the change names none. */
  private long version;

  private String digest;
  private Config sent;

  /**
   * The configuration that replaces any base; null for an update, whose outcome depends on the
   * base.
   */
  private Configuration replacement;

  /** Why the change is valid on no base; null when it may be valid. */
  private ConfigurationException failure;

  private boolean prepared;
  private ControlCommand command;
  private Configuration result;

  ConfigurationChange(final OperatorCall call, final String base, final byte[] body) {
    this.call = call;
    this.baseVersion = Long.parseLong(base.trim());
    this.body = body;
  }

  /**
   * Whether the header is one whole number: sent twice it comes as "5, 5", and null when it is
   * absent.
   */
  static boolean isBaseVersion(final String base) {
    try {
      Long.parseLong(String.valueOf(base).trim());
      return true;
    } catch (final NumberFormatException failure) {
      return false;
    }
  }

  /**
   * Parses the body. Takes long for a large one and touches nothing else: runs off the agent's
   * thread.
   */
  void read() {
    try {
      sent = Configuration.parse(new String(body, StandardCharsets.UTF_8));
      version = sent.hasPath("Ver") ? sent.getLong("Ver") : 0;
      digest = digest(digestPrefix() + " " + baseVersion + " " + Configuration.toJson(sent));
      check();
    } catch (final ConfigurationException found) {
      failure = found;
    } catch (final ConfigException found) {
      failure = new ConfigurationException(CONFIG_FIELD, found.getMessage(), found);
    } catch (final StackOverflowError found) {
      // The parser is recursive: a text that only opens brackets overflows the stack, which is
      // refused like other faults.
      failure = new ConfigurationException(CONFIG_UNREADABLE, "nested too deeply", found);
    }
  }

  /** Part of a digest that is kept in the log: these texts never change. */
  private String digestPrefix() {
    return call == OperatorCall.REPLACE_CONFIGURATION ? "config replace" : "config update";
  }

  /** Drops what was parsed and keeps the text: many waiting changes must not fill the memory. */
  void discardParsed() {
    sent = null;
    replacement = null;
    prepared = false;
    command = null;
    result = null;
  }

  long version() {
    return version;
  }

  /** Null when the body could not be parsed. */
  String digest() {
    return digest;
  }

  private void check() {
    if (call == OperatorCall.REPLACE_CONFIGURATION) {
      replacement = Configuration.of(sent);
    } else if (!sent.hasPath("Ver")) {
      throw new ConfigurationException(CONFIG_FIELD, "Ver: is missing");
    }
  }

  /** Whether the version is above the base version; else the change is valid on no base. */
  boolean raisesVersion() {
    return version > baseVersion;
  }

  ConfigurationException failure() {
    return failure;
  }

  /**
   * Computes the command for a base, off the agent's thread. A version's text never changes, so
   * neither does the outcome.
   *
   * @param formerRetentions those that stay in force
   */
  void prepare(final Configuration current, final List<FormerRetention> formerRetentions) {
    prepared = true;
    if (sent == null) {
      read();
    }
    try {
      result = applyTo(current);
      final ControlCommand prepared = new ControlCommand(ControlCommand.SET_CONFIGURATION);
      prepared.baseVersion = baseVersion;
      prepared.digest = digest;
      prepared.json = result.json();
      prepared.version = result.version();
      prepared.formerRetentions = FormerRetentions.after(formerRetentions, current, result);
      ConfigurationPatches.attachTo(prepared, current, result);
      command = prepared;
    } catch (final ConfigurationException found) {
      failure = found;
    } catch (final ConfigException found) {
      failure = new ConfigurationException(CONFIG_FIELD, found.getMessage(), found);
    }
  }

  private Configuration applyTo(final Configuration current) {
    if (!raisesVersion()) {
      throw new ConfigurationException(CONFIG_VERSION, "Ver: must be above " + baseVersion);
    }
    if (replacement == null && current == null) {
      throw new ConfigurationException(CONFIG_VERSION, "there is no configuration to update");
    }
    return replacement != null ? replacement : Configuration.of(current.updated(sent));
  }

  boolean prepared() {
    return prepared;
  }

  /** The command to propose; null until it is prepared, or when the change is not valid. */
  ControlCommand command() {
    return command;
  }

  /** The configuration that the change leads to. */
  Configuration result() {
    return result;
  }

  private static String digest(final String text) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (final NoSuchAlgorithmException failure) {
      throw new IllegalStateException(failure);
    }
  }
}
