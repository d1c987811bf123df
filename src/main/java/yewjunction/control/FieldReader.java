package yewjunction.control;

import static yewjunction.common.ErrorCode.CONFIG_FIELD;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigValueType;
import java.util.List;

/**
 * Reads fields of a configuration and says which is wrong. Each method throws {@link
 * ConfigurationException} with CONFIG_FIELD and the path of the field.
 */
final class FieldReader {
  private FieldReader() {}

  static long number(final Config from, final String field, final String path) {
    if (!from.hasPath(field) || from.getValue(field).valueType() != ConfigValueType.NUMBER) {
      throw new ConfigurationException(CONFIG_FIELD, path + ": must be a number");
    }
    return from.getLong(field);
  }

  /** A number that may be absent; null and text are no numbers. */
  static double number(
      final Config from, final String field, final String path, final double otherwise) {
    if (!from.hasPathOrNull(field)) {
      return otherwise;
    }
    if (from.getIsNull(field) || from.getValue(field).valueType() != ConfigValueType.NUMBER) {
      throw new ConfigurationException(CONFIG_FIELD, path + "." + field + ": must be a number");
    }
    return from.getDouble(field);
  }

  static String text(
      final Config from, final String field, final String path, final boolean needed) {
    if (!from.hasPath(field)) {
      if (needed) {
        throw new ConfigurationException(CONFIG_FIELD, path + "." + field + ": is missing");
      }
      return "";
    }
    if (from.getValue(field).valueType() != ConfigValueType.STRING) {
      throw new ConfigurationException(CONFIG_FIELD, path + "." + field + ": must be text");
    }
    return from.getString(field);
  }

  /** Names in a list that may be absent. */
  static List<String> names(final Config from, final String field, final String path) {
    if (!from.hasPathOrNull(field)) {
      return List.of();
    }
    if (from.getIsNull(field)
        || from.getValue(field).valueType() != ConfigValueType.LIST
        || !from.getList(field).stream()
            .allMatch(one -> one.valueType() == ConfigValueType.STRING)) {
      throw new ConfigurationException(
          CONFIG_FIELD, path + "." + field + ": must be a list of names");
    }
    return from.getStringList(field);
  }

  static List<? extends Config> items(final Config from, final String field) {
    return from.hasPath(field) ? from.getConfigList(field) : List.of();
  }
}
