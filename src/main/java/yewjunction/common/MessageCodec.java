package yewjunction.common;

import static yewjunction.common.ErrorCode.MESSAGE_GARBLED;
import static yewjunction.common.ErrorCode.MESSAGE_UNKNOWN;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.util.HashMap;
import java.util.Map;

/**
 * Messages to bytes and back: one byte that numbers the type, then its fields in Protostuff's
 * format, by position. Not thread-safe: each agent has one.
 */
public final class MessageCodec {
  private final Map<Class<?>, Integer> numberByType = new HashMap<>();
  private final Map<Integer, Schema<?>> schemaByNumber = new HashMap<>();
  private final LinkedBuffer buffer = LinkedBuffer.allocate(1024);

  /**
   * Registers a type of message under its number, from 1 to 255. Numbers never change: releases
   * mix.
   */
  public MessageCodec register(final int number, final Class<?> kind) {
    if (schemaByNumber.containsKey(number)) {
      throw new IllegalStateException("message number " + number + " is taken");
    }
    numberByType.put(kind, number);
    schemaByNumber.put(number, RuntimeSchema.getSchema(kind));
    return this;
  }

  /**
   * The bytes of a message.
   *
   * @throws CodecException when its type is not registered
   */
  @SuppressWarnings("unchecked")
  public byte[] encode(final Object message) {
    final Integer number = numberByType.get(message.getClass());
    if (number == null) {
      throw new CodecException(MESSAGE_UNKNOWN, message.getClass().getName());
    }
    final byte[] body;
    try {
      body =
          ProtostuffIOUtil.toByteArray(
              message, (Schema<Object>) schemaByNumber.get(number), buffer);
    } finally {
      buffer.clear();
    }
    final byte[] whole = new byte[body.length + 1];
    whole[0] = (byte) (int) number;
    System.arraycopy(body, 0, whole, 1, body.length);
    return whole;
  }

  /**
   * The message in a part of an array.
   *
   * @throws CodecException when its number is not known or its body cannot be read
   */
  @SuppressWarnings("unchecked")
  public Object decode(final byte[] bytes, final int offset, final int length) {
    // A type that is not known here may come from a newer release; the caller skips it.
    final Schema<Object> schema =
        length < 1 ? null : (Schema<Object>) schemaByNumber.get(bytes[offset] & 0xff);
    if (schema == null) {
      throw new CodecException(
          MESSAGE_UNKNOWN, "kind " + (length < 1 ? "none" : bytes[offset] & 0xff));
    }
    try {
      final Object message = schema.newMessage();
      ProtostuffIOUtil.mergeFrom(bytes, offset + 1, length - 1, message, schema);
      return message;
    } catch (final RuntimeException failure) {
      throw new CodecException(MESSAGE_GARBLED, "kind " + (bytes[offset] & 0xff), failure);
    }
  }
}
