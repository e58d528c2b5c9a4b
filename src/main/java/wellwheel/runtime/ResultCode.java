package wellwheel.runtime;

/**
 * Numbered results of calls and events, with the HTTP status that goes with each (0: in logs only).
 */
public enum ResultCode {
  KEPT(1000, 202, "the message is kept on every disk it is owed"),
  FINE(1001, 200, "done"),
  NOTHING(1002, 204, "no job within the wait"),
  BAD_REQUEST(2000, 400, "the request cannot be read"),
  NO_ID(2001, 400, "Attempt-Id is missing or malformed"),
  BAD_DELAY(2002, 400, "Delay-Ms is not a whole number of milliseconds"),
  NO_KEY(2003, 401, "the key is missing or unknown"),
  NO_PATH(2004, 404, "no path matches host and prefix"),
  NO_MESSAGE(2005, 404, "no such message for this key"),
  NO_METHOD(2006, 405, "the call does not exist with this method"),
  TOO_LARGE(2007, 413, "the body is over MaxBodyBytes"),
  HEAD_TOO_LARGE(2008, 431, "the head is over MaxHeaderBytes"),
  LEASE_GONE(2009, 409, "the lease is gone"),
  SLOW_HEAD(2010, 408, "the head did not come within HeaderWaitMs"),
  OVER_QUOTA(2011, 429, "over the tenant's or the channel's limit"),
  NO_STEP(2012, 400, "Runs-After names a message that is not accepted here"),
  BAD_STEPS(2013, 400, "Runs-After is not a list of one to eight message names"),
  BAD_IDEMPOTENCY_KEY(2014, 400, "Operation-Key is not one value of 1 to 256 printable characters"),
  KEY_REUSED(2015, 409, "the Operation-Key was accepted for another request"),
  NOT_KEPT(3000, 503, "cannot be kept now; it was not taken and will never run"),
  UNSURE(3001, 504, "unknown whether it was kept"),
  NO_CLAIM(3002, 503, "this node holds no fresh lease"),
  NO_LEADER(3003, 503, "no leader yet"),
  ELSEWHERE(3004, 307, "the leader is at Location"),
  NO_INSTANCE(3005, 503, "no instance could take the request in its time; it was not run"),
  RUN_UNKNOWN(3006, 502, "the instance gave no whole answer; the request may have run"),
  OUT_OF_TIME(3007, 504, "no answer within the request's time; it may have run"),
  BODIES_FULL(
      3008, 503, "too many bytes of requests are held; this one was not taken and will never run"),
  LEAVING(3009, 503, "this node is stopping; the request was not taken and will never run"),
  BAD_CONFIG(4000, 400, "the configuration is invalid"),
  OTHER_BASE(4001, 412, "another version is current"),
  NO_NODE(4002, 404, "no such storage node"),
  TOO_FEW(4003, 409, "too few storage nodes would remain"),
  NO_SERVICE(4004, 404, "no such service, or no policy for it"),
  BAD_POLICY(4005, 400, "the policy is invalid"),
  OTHER_SHIFT(4006, 409, "the rollout is not in a state for this order"),
  BAD_RANGE(4007, 400, "the range of history is not one"),
  NOT_HELD(4008, 409, "the message is not held back by a step"),
  BAD_OPTIONS(5000, 0, "the options file is unusable; the process ends with status 78"),
  JOURNAL_CUT(5001, 0, "a damaged journal tail was cut"),
  LINE_LOST(5002, 0, "all copies of a partition are gone; it starts empty"),
  LIMIT_EXCEEDED(5003, 0, "a hand-in was refused by a limit"),
  INNER(5004, 0, "an unexpected fault inside the process"),
  FEW_VOTERS(5005, 0, "fewer control nodes vote than the losses to be borne demand"),
  BAD_STATE(5006, 0, "the state on disk cannot be read whole; the process ends with status 79"),
  JOURNAL_DAMAGED(5007, 0, "what a journal had synced is damaged; the disk counts as lost"),
  JOURNAL_FOREIGN(5008, 0, "a journal on disk is another node's; the process ends with status 79"),
  HELD_BACK(5010, 0, "a tenant waits far longer than others of its partition"),
  LAGGARD(5011, 0, "a worker has fallen behind its peers"),
  WARNING_ENDS(5012, 0, "a warning is over"),
  SHIFT_MOVES(5013, 0, "a version rollout starts, takes a step, ends or goes back"),
  HISTORY_DAMAGED(5014, 0, "damaged records of queue history were skipped"),
  STEP_HOLDS(5015, 0, "a step that failed holds later ones back"),
  FATAL(5016, 0, "an error inside the process, such as no memory left; it ends with status 70");

  private final int number;
  private final int status;
  private final String meaning;

  ResultCode(int number, int status, String meaning) {
    this.number = number;
    this.status = status;
    this.meaning = meaning;
  }

  public int number() {
    return number;
  }

  public int status() {
    return status;
  }

  public String meaning() {
    return meaning;
  }
}
