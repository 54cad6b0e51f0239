@0xd0f0b7e1a4c2935b;
# Messages between the processes of magnoliapier.

struct Demand {
  # Load of one service at one entry host.
  service @0 :Text;
  queued @1 :UInt32;
  inFlight @2 :UInt32;
}

struct Grant {
  # Permission for one sender to send to the hosts of the granter's data centre.
  holder @0 :Text;
  holderIncarnation @1 :UInt64;
  dataCentre @2 :Text;
  seq @3 :UInt64;
  askedAtMs @4 :UInt64;
  # Echo of the holder's own monotonic time when it requested the grant.
  durationMs @5 :UInt32;
}

struct Heartbeat {
  name @0 :Text;
  dataCentre @1 :Text;
  incarnation @2 :UInt64;
  seq @3 :UInt64;
  staged @4 :UInt64;
  senderIncarnation @5 :UInt64;
  senderSeq @6 :UInt64;
  eligible @7 :Bool;
  sentAtMs @8 :UInt64;
  demand @9 :List(Demand);
  busyHosts @10 :List(Text);
  leavingHosts @11 :List(Text);
  suspected @12 :List(Text);
  grants @13 :List(Grant);
  address @14 :Text;
}

struct PullRequest {
  name @0 :Text;
  afterSeq @1 :UInt64;
}

struct PullReply {
  name @0 :Text;
  eligible @1 :Bool;
  snapshot @2 :Data;
  # Canonical JSON of FleetState.to_values; empty if the entries alone are enough.
  entries @3 :List(Data);
  # Canonical JSON of LogEntry.to_row.
}

struct StateUpdate {
  snapshot @0 :Data;
  entries @1 :List(Data);
  eligible @2 :Bool;
}

struct Peer {
  name @0 :Text;
  dataCentre @1 :Text;
  ageMs @2 :UInt32;
  demand @3 :List(Demand);
}

struct GrantedCentre {
  dataCentre @0 :Text;
  seq @1 :UInt64;
  remainingMs @2 :UInt32;
}

struct PeerView {
  peers @0 :List(Peer);
  grants @1 :List(GrantedCentre);
  leavingHosts @2 :List(Text);
  eligible @3 :Bool;
}

struct EntryReport {
  name @0 :Text;
  incarnation @1 :UInt64;
  appliedSeq @2 :UInt64;
  demand @3 :List(Demand);
  busyHosts @4 :List(Text);
  leavingHosts @5 :List(Text);
  snapshotWanted @6 :Bool;
  draining @7 :Bool;
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    pullRequest @1 :PullRequest;
    pullReply @2 :PullReply;
    stateUpdate @3 :StateUpdate;
    peerView @4 :PeerView;
    entryReport @5 :EntryReport;
    snapshotOffer @6 :StateUpdate;
    # From the entry process, for a control process that was restarted.
  }
}
