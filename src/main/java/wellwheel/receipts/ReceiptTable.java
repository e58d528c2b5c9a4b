package wellwheel.receipts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wellwheel.transport.Frame;

/** The receipts of one home partition, found by record and by key. */
public final class ReceiptTable {
  private final Map<String, Receipt> byId = new LinkedHashMap<>();
  private final Map<String, List<Receipt>> byScope = new HashMap<>();

  /** Adds a receipt; one with the same identifier is replaced. */
  public void add(Receipt receipt) {
    remove(receipt.id());
    byId.put(receipt.id(), receipt);
    byScope.computeIfAbsent(receipt.scope(), scope -> new ArrayList<>(1)).add(receipt);
  }

  /** Takes a replicated record in: a new receipt, or a newer state of a known one. */
  public Receipt take(Frame record) {
    var known = byId.get(Receipt.idOf(record));
    if (known == null) {
      known = new Receipt(record);
      add(known);
    } else if (known.olderThan(record)) {
      known.update(record);
    }
    return known;
  }

  /** Removes a receipt, if there is one with this identifier. */
  public void remove(String id) {
    var old = byId.remove(id);
    if (old != null) {
      var sameScope = byScope.get(old.scope());
      sameScope.remove(old);
      if (sameScope.isEmpty()) {
        byScope.remove(old.scope());
      }
    }
  }

  /** Forgets every receipt. */
  public void clear() {
    byId.clear();
    byScope.clear();
  }

  /** Forgets what is past its time, unless its change is still on its way to the copies. */
  public void purge(long nowUs) {
    byId.values().stream()
        .filter(receipt -> receipt.untilUs < nowUs)
        .map(Receipt::id)
        .toList()
        .forEach(this::remove);
  }

  /** The receipt with this identifier. */
  public Optional<Receipt> get(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** The receipts of a tenant's key, in every queue it was used for. */
  public List<Receipt> inScope(String scope) {
    return byScope.getOrDefault(scope, List.of());
  }

  /** All receipts, oldest first. */
  public Collection<Receipt> all() {
    return byId.values();
  }

  /** How many receipts there are. */
  public int size() {
    return byId.size();
  }
}
