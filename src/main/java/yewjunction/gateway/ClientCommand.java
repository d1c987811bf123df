package yewjunction.gateway;

/**
 * The commands of a client: the first word of its lines. The names are the protocol's and never
 * change.
 */
enum ClientCommand {
  PUB,
  PING,
  SUB,
  HELLO,
  UNSUB,
  WHO
}
