@0xb3f1c2a94d5e6071;
# Messages between instances.  Fields are only added, never renumbered.

struct MemberUpdate {
  instanceId @0 :UInt64;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  name @3 :Text;
  address @4 :Text;
  availabilityZone @5 :Text;
}

struct Probe {
  digest @0 :UInt64;
  number @1 :UInt64;
  targetId @2 :UInt64;
  targetIncarnation @3 :UInt64;
  targetState @4 :UInt8;
  origin @5 :Text;
  updates @6 :List(MemberUpdate);
}

struct ProbeAnswer {
  digest @0 :UInt64;
  number @1 :UInt64;
  responder @2 :MemberUpdate;
  origin @3 :Text;
  updates @4 :List(MemberUpdate);
}

struct ProbeRequest {
  number @0 :UInt64;
  targetId @1 :UInt64;
  targetIncarnation @2 :UInt64;
  targetState @3 :UInt8;
  targetAddress @4 :Text;
}

struct Gossip {
  digest @0 :UInt64;
  updates @1 :List(MemberUpdate);
  more @2 :Bool;
  isAnswer @3 :Bool;
}

struct SyncRequest {
  bucketDigests @0 :List(UInt32);
}

struct RevisionNotice {
  revision @0 :UInt64;
  rootId @1 :UInt64;
  claimNumber @2 :UInt64;
}

struct UpdateRequest {
  afterRevision @0 :UInt64;
  epoch @1 :UInt64;
}

struct UpdateAnswer {
  epoch @0 :UInt64;
  revision @1 :UInt64;
  update :union {
    none @2 :Void;
    delta @3 :Data;
    snapshot @4 :Data;
  }
}

struct RevisionCount {
  revision @0 :UInt64;
  instanceCount @1 :UInt32;
}

struct ForceReport {
  idSum @0 :UInt64;
  counts @1 :List(RevisionCount);
}

struct ForceClaim {
  rootId @0 :UInt64;
  number @1 :UInt64;
  counts @2 :List(RevisionCount);
  ageMs @3 :UInt32;
}

struct PeerMessage {
  senderId @0 :UInt64;
  union {
    probe @1 :Probe;
    probeAnswer @2 :ProbeAnswer;
    probeRequest @3 :ProbeRequest;
    gossip @4 :Gossip;
    syncRequest @5 :SyncRequest;
    revisionNotice @6 :RevisionNotice;
    updateRequest @7 :UpdateRequest;
    updateAnswer @8 :UpdateAnswer;
    forceReport @9 :ForceReport;
    forceClaim @10 :ForceClaim;
    forceQuery @11 :Void;
  }
}
