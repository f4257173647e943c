@0xbf5147bbbc1d2a11;
# Encoding of the messages in messages.py. Field names are the same, in camel case.

struct Frame {
  host @0 :Text;
  incarnation @1 :UInt64;
  messages @2 :List(Message);
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    catalogueWant @1 :CatalogueWant;
    catalogueOffer @2 :CatalogueOffer;
    grantRequest @3 :GrantRequest;
    grant @4 :Grant;
    refusal @5 :Refusal;
    notOwner @6 :NotOwner;
    withdraw @7 :Withdraw;
    release @8 :Release;
    preempt @9 :Preempt;
    takeover @10 :Takeover;
    holdings @11 :Holdings;
    superseded @12 :Superseded;
    lease @13 :Lease;
    leaseAck @14 :LeaseAck;
  }
}

struct MemberInfo {
  host @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  address @3 :Text;
  state @4 :Text;
}

struct UpstreamMark {
  upstream @0 :Text;
  version @1 :UInt64;
  leaving @2 :Bool;
}

struct Heartbeat {
  sender @0 :MemberInfo;
  sequence @1 :UInt64;
  echo @2 :UInt64;
  revision @3 :UInt64;
  members @4 :List(MemberInfo);
  marks @5 :List(UpstreamMark);
}

struct CatalogueWant {
  revision @0 :UInt64;
}

struct CatalogueOffer {
  data @0 :Data;
}

struct GrantRequest {
  key @0 :Text;
  partition @1 :Text;
  requestClass @2 :Text;
  workspace @3 :Text;
  excluded @4 :List(Text);
  prefix @5 :Text;
  ageMs @6 :UInt64;
  waitingMs @7 :UInt64;
}

struct Epoch {
  number @0 :UInt64;
  host @1 :Text;
}

struct Grant {
  key @0 :Text;
  partition @1 :Text;
  epoch @2 :Epoch;
  sequence @3 :UInt64;
  upstream @4 :Text;
}

struct Refusal {
  key @0 :Text;
  code @1 :UInt16;
  message @2 :Text;
  retryAfterMs @3 :UInt32;
}

struct NotOwner {
  key @0 :Text;
  partition @1 :Text;
}

struct Withdraw {
  key @0 :Text;
  partition @1 :Text;
}

struct Release {
  key @0 :Text;
  partition @1 :Text;
  upstream @2 :Text;
  outcome @3 :Text;
  firstTokenMs @4 :UInt32;
  events @5 :UInt32;
  durationMs @6 :UInt32;
}

struct Preempt {
  key @0 :Text;
  partition @1 :Text;
}

struct Takeover {
  partition @0 :Text;
  epoch @1 :Epoch;
}

struct Held {
  key @0 :Text;
  upstream @1 :Text;
  requestClass @2 :Text;
  workspace @3 :Text;
  events @4 :UInt32;
}

struct Ceiling {
  host @0 :Text;
  upstream @1 :Text;
  count @2 :UInt32;
}

struct Holdings {
  partition @0 :Text;
  epoch @1 :Epoch;
  sequence @2 :UInt64;
  held @3 :List(Held);
  ceilings @4 :List(Ceiling);
  informed @5 :Bool;
}

struct Superseded {
  partition @0 :Text;
  epoch @1 :Epoch;
}

struct Lease {
  partition @0 :Text;
  epoch @1 :Epoch;
  version @2 :UInt64;
  ceilings @3 :List(Ceiling);
}

struct LeaseAck {
  partition @0 :Text;
  epoch @1 :Epoch;
  version @2 :UInt64;
}
