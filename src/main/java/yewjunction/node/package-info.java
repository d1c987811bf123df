/**
 * The three kinds of node, each put together from its parts without any socket: {@link
 * yewjunction.node.EdgeNode}, {@link yewjunction.node.StoreNode} and {@link
 * yewjunction.node.ControlNode}. Simulations run these very classes.
 */
package yewjunction.node;
