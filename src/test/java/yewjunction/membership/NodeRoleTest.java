package yewjunction.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Nodes of earlier releases know the roles by their first names. */
class NodeRoleTest {
  @Test
  void namesOnTheWireAreThoseOfTheFirstRelease() {
    assertEquals("tide", NodeRole.EDGE.wireName());
    assertEquals("vault", NodeRole.STORE.wireName());
    assertEquals("crux", NodeRole.CONTROL.wireName());
  }

  @Test
  void aNameThatIsNotKnownIsNobodys() {
    assertTrue(NodeRole.STORE.is("vault"));
    assertFalse(NodeRole.EDGE.is("vault"));
    assertFalse(NodeRole.EDGE.is("gateway"));
    assertFalse(NodeRole.EDGE.is(""));
  }
}
