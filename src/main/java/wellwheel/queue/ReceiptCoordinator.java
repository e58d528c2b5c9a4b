package wellwheel.queue;

import java.util.Optional;
import java.util.function.Supplier;
import wellwheel.config.NodeOptions;
import wellwheel.receipts.IdempotencyKey;
import wellwheel.receipts.MalformedMessageException;
import wellwheel.receipts.Receipt;
import wellwheel.receipts.ReceiptMessage;
import wellwheel.receipts.ReceiptMessage.ClaimAnswer;
import wellwheel.receipts.ReceiptMessage.ClaimRequest;
import wellwheel.receipts.ReceiptMessage.OwnershipAnswer;
import wellwheel.receipts.ReceiptMessage.OwnershipQuestion;
import wellwheel.receipts.ReceiptMessage.Verdict;
import wellwheel.receipts.RequestDigest;
import wellwheel.replication.ReplicatedRecord;
import wellwheel.runtime.Clock;
import wellwheel.transport.Frame;

/**
 * Sees to it that a key is accepted once in the fleet. A message that lies in its key's home
 * partition is the receipt itself. One that lies elsewhere (its order or its pacing demands it) is
 * replicated at once but neither confirmed nor started before the home partition has replicated a
 * receipt that gives the key to its partition. A receipt whose owner may hold no message is never
 * dropped by time while it counts: the home partition asks the owner, which answers that it has
 * none only after all of its copies have confirmed that it still is the primary, and any message it
 * takes later must claim anew.
 */
final class ReceiptCoordinator {
  private static final long CLAIM_AGAIN_US = 150_000;
  private static final int CLAIMS_AT_ONCE = 64;

  /** What the coordinator needs of the node. */
  interface Partitions {
    /** This node's copy of a partition. */
    Partition partition(int number);

    /** Sends to the primary of a partition, if one is known. */
    void sendToPrimary(int partition, Frame frame);

    void send(String ip, Frame frame);

    /** Brings a change of a record to all copies of the partition, then runs the task. */
    void replicate(
        Partition partition,
        ReplicatedRecord record,
        Supplier<Frame> change,
        boolean sync,
        Runnable then);

    /** Runs the task once all copies have confirmed that this node is the partition's primary. */
    void confirmPrimary(Partition partition, Runnable then);

    /** The key of the message belongs to its partition now. */
    void keyGranted(Partition partition, Message message);

    /** The message must not run; its senders get the outcome. */
    void withdraw(Partition partition, Message message, PutOutcome outcome);

    /** Receipts on this node, over all partitions. */
    int receipts();
  }

  /** How a request stands with what its home partition knows of the key. */
  private sealed interface Standing {
    /** Nothing speaks against it. */
    record Free() implements Standing {}

    /** The key belongs to the partition that claims it. */
    record Own(Receipt receipt) implements Standing {}

    /** The same request was accepted before. */
    record Held(int partition, String id) implements Standing {}

    /** Another request was accepted under the key. */
    record Reused() implements Standing {}

    /** Not known yet; what is needed to know has been asked. */
    record Unknown() implements Standing {}
  }

  private final Partitions partitions;
  private final NodeOptions.Receipts limits;
  private final Clock clock;
  private long lastNumber;

  /**
   * @param firstNumber where the numbers of claims and questions begin; drawn at random for each
   *     life of the process, so that answers to a former life find nothing
   */
  ReceiptCoordinator(
      Partitions partitions, NodeOptions.Receipts limits, Clock clock, long firstNumber) {
    this.partitions = partitions;
    this.limits = limits;
    this.clock = clock;
    this.lastNumber = firstNumber;
  }

  /** Whether a message in this partition needs its key granted by another one. */
  static boolean homeIsElsewhere(Message message) {
    return message.keyed() && message.homePartition() != message.partition;
  }

  /** What a new hand-in at its key's home partition meets. */
  sealed interface Decision {
    /** It may be taken. */
    record Take() implements Decision {}

    /** It is answered from what is known of the key. */
    record Answer(PutOutcome outcome) implements Decision {}

    /** Nothing can be said yet; the edge node asks again. */
    record Wait() implements Decision {}
  }

  /** Decides about a new hand-in whose key has its home in the partition it was sent to. */
  Decision decide(Partition home, Message handIn) {
    var standing =
        standing(home, handIn.tenant, handIn.service, handIn.key, handIn.digest, home.number);
    if (standing instanceof Standing.Held held) {
      return new Decision.Answer(PutOutcome.kept(held.partition(), held.id()));
    }
    if (standing instanceof Standing.Reused) {
      return new Decision.Answer(PutOutcome.REUSED);
    }
    return standing instanceof Standing.Unknown ? new Decision.Wait() : new Decision.Take();
  }

  /** Claims the key of a message for its partition. */
  void claim(Partition partition, Message message) {
    message.claim = Optional.of(new KeyClaim(++lastNumber));
    partition.claiming.put(message.id, message);
    send(message);
  }

  /** After a change of primary: claims the keys of messages that nothing proves granted. */
  void claimAgain(Partition partition) {
    partition.messages().stream()
        .filter(message -> message.waiting() && message.attempt == 0 && homeIsElsewhere(message))
        .toList()
        .forEach(
            message -> {
              message.claim = Optional.of(new KeyClaim(++lastNumber));
              partition.claiming.put(message.id, message);
            });
  }

  /** Sends claims that have gone without an answer again. */
  void tick(Partition partition) {
    if (partition.claiming.isEmpty()) {
      return;
    }
    var nowUs = clock.steadyUs();
    partition.claiming.values().stream()
        .filter(message -> nowUs - message.claim.orElseThrow().sentUs >= CLAIM_AGAIN_US)
        .limit(CLAIMS_AT_ONCE)
        .forEach(this::send);
  }

  private void send(Message message) {
    message.claim.orElseThrow().sentUs = clock.steadyUs();
    var untilUs = Math.max(message.expireUs, message.acceptedUs + limits.keepUs());
    var request =
        new ClaimRequest(
            message.homePartition(),
            message.partition,
            message.id,
            message.claim.get().number,
            message.tenant,
            message.service,
            message.key,
            message.digest,
            untilUs);
    partitions.sendToPrimary(message.homePartition(), request.toFrame());
  }

  /** Takes a message of another node's coordinator. */
  void onFrame(String from, Frame frame) throws MalformedMessageException {
    var message = ReceiptMessage.read(frame);
    if (message instanceof ClaimRequest request) {
      onClaim(from, request);
    } else if (message instanceof ClaimAnswer answer) {
      onVerdict(answer);
    } else if (message instanceof OwnershipQuestion question) {
      onQuestion(from, question);
    } else if (message instanceof OwnershipAnswer answer) {
      onOwnership(answer);
    }
  }

  private void onClaim(String from, ClaimRequest request) {
    var home = partitions.partition(request.partition());
    if (!home.decides()) {
      return;
    }
    var standing =
        standing(
            home,
            request.tenant(),
            request.service(),
            request.key(),
            request.digest(),
            request.owner());
    if (standing instanceof Standing.Held held) {
      answer(from, request, Verdict.HELD, held.partition(), held.id());
    } else if (standing instanceof Standing.Reused) {
      answer(from, request, Verdict.REUSED, 0, "");
    } else if (standing instanceof Standing.Own own) {
      grantAgain(from, home, own.receipt(), request);
    } else if (standing instanceof Standing.Free) {
      grant(from, home, request);
    }
  }

  private void answer(
      String to, ClaimRequest request, Verdict verdict, int holder, String holderId) {
    var answer =
        new ClaimAnswer(
            request.owner(), request.messageId(), request.number(), verdict, holder, holderId);
    partitions.send(to, answer.toFrame());
  }

  private void grantAgain(String from, Partition home, Receipt receipt, ClaimRequest request) {
    var longer = request.untilUs() > receipt.untilUs;
    receipt.renewed(request.untilUs());
    if (longer) {
      receipt.revision++;
      store(home, receipt);
    }
    receipt.whenStored(() -> answer(from, request, Verdict.GRANTED, 0, ""));
  }

  private void grant(String from, Partition home, ClaimRequest request) {
    var known = home.receipts.get(Receipt.id(request.tenant(), request.service(), request.key()));
    if (known.isEmpty() && partitions.receipts() >= limits.most()) {
      answer(from, request, Verdict.FULL, 0, "");
      return;
    }
    var receipt = known.orElseGet(() -> newReceipt(home, request));
    receipt.giveTo(request.owner(), request.digest(), request.untilUs());
    store(home, receipt);
    receipt.whenStored(() -> answer(from, request, Verdict.GRANTED, 0, ""));
  }

  private static Receipt newReceipt(Partition home, ClaimRequest request) {
    var receipt =
        new Receipt(
            Frame.of(Receipt.KIND)
                .with("l", home.number)
                .with("t", request.tenant())
                .with("sv", request.service())
                .with("ik", request.key())
                .with("v", home.epoch << Partition.REVISION_BITS)
                .with("ep", home.place.epoch()));
    home.receipts.add(receipt);
    return receipt;
  }

  /** Replicates the newest state of a receipt; it counts as stored if the partition is whole. */
  void store(Partition home, Receipt receipt) {
    receipt.changing();
    var revision = receipt.revision;
    partitions.replicate(
        home,
        receipt,
        receipt::whole,
        true,
        () -> {
          if (home.whole() && receipt.revision == revision) {
            receipt.settle();
          }
        });
  }

  private Standing standing(
      Partition home,
      String tenant,
      String service,
      String key,
      RequestDigest digest,
      int claimant) {
    for (var message : home.underKey(tenant, key)) {
      if (message.digest.equals(digest)) {
        return message.kept
            ? new Standing.Held(message.partition, message.id)
            : new Standing.Unknown();
      }
      if (message.service.equals(service)) {
        return message.kept ? new Standing.Reused() : new Standing.Unknown();
      }
    }
    for (var receipt : home.receipts.inScope(IdempotencyKey.scope(tenant, key))) {
      var same = receipt.digest.equals(digest);
      if (receipt.free() || !same && !receipt.service.equals(service)) {
        continue;
      }
      if (same && receipt.owner == claimant) {
        return new Standing.Own(receipt);
      }
      return contested(home, receipt, same);
    }
    return new Standing.Free();
  }

  private Standing contested(Partition home, Receipt receipt, boolean same) {
    if (!receipt.stored()) {
      return new Standing.Unknown();
    }
    var accepted = receipt.messageId();
    if (accepted.isPresent()) {
      return same ? new Standing.Held(receipt.owner, accepted.get()) : new Standing.Reused();
    }
    receipt.asks(++lastNumber);
    var question =
        new OwnershipQuestion(
            receipt.owner,
            home.number,
            receipt.question(),
            receipt.tenant,
            receipt.service,
            receipt.key,
            receipt.digest);
    partitions.sendToPrimary(receipt.owner, question.toFrame());
    return new Standing.Unknown();
  }

  private void onVerdict(ClaimAnswer answer) {
    var partition = partitions.partition(answer.partition());
    var message = partition.claiming.get(answer.messageId());
    if (!partition.open
        || message == null
        || message.claim.filter(claim -> claim.number == answer.number()).isEmpty()) {
      return;
    }
    partition.claiming.remove(message.id);
    message.claim = Optional.empty();
    switch (answer.verdict()) {
      case GRANTED -> partitions.keyGranted(partition, message);
      case HELD ->
          partitions.withdraw(
              partition, message, PutOutcome.kept(answer.holder(), answer.holderId()));
      case REUSED -> partitions.withdraw(partition, message, PutOutcome.REUSED);
      case FULL -> partitions.withdraw(partition, message, PutOutcome.NOT_TAKEN);
    }
  }

  private void onQuestion(String from, OwnershipQuestion question) {
    var partition = partitions.partition(question.partition());
    if (!partition.decides()) {
      return;
    }
    if (holder(partition, question).isPresent()) {
      tellHolder(from, partition, question);
    } else {
      partitions.confirmPrimary(partition, () -> tellHolder(from, partition, question));
    }
  }

  /**
   * Tells the accepted message or that there is none; one that is not decided yet tells nothing.
   */
  private void tellHolder(String from, Partition partition, OwnershipQuestion question) {
    var holder = holder(partition, question);
    if (!partition.decides() || holder.isPresent() && !holder.get().kept) {
      return;
    }
    var answer =
        new OwnershipAnswer(
            question.home(),
            question.number(),
            question.tenant(),
            question.service(),
            question.key(),
            holder.map(message -> message.id).orElse(""));
    partitions.send(from, answer.toFrame());
  }

  private static Optional<Message> holder(Partition partition, OwnershipQuestion question) {
    return partition.underKey(question.tenant(), question.key()).stream()
        .filter(message -> message.digest.equals(question.digest()))
        .findFirst();
  }

  private void onOwnership(OwnershipAnswer answer) {
    var home = partitions.partition(answer.partition());
    var found = home.receipts.get(Receipt.id(answer.tenant(), answer.service(), answer.key()));
    if (!home.decides() || found.filter(each -> each.question() == answer.number()).isEmpty()) {
      return;
    }
    var receipt = found.get();
    if (!answer.messageId().isEmpty()) {
      receipt.accepted(answer.messageId());
      return;
    }
    receipt.release();
    store(home, receipt);
  }
}
