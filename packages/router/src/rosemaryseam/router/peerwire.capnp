@0xb6e1f0d2a94c7713;

struct Part {
  digest @0 :UInt64;
  tokens @1 :UInt32;
}

struct Query {
  number @0 :UInt32;
  service @1 :Text;
  slot @2 :UInt16;
  route @3 :Text;
  rank @4 :UInt8;
  workspaceRank @5 :Int16;
  parts @6 :List(Part);
  promptTokens @7 :UInt32;
  outputTokens @8 :UInt32;
  mostOutputTokens @9 :UInt32;
  pauseMs @10 :UInt32;
  timeLeftMs @11 :UInt32;
  patienceMs @12 :UInt32;
  bodyBytes @13 :UInt32;
  zone @14 :Text;
  excluded @15 :List(Text);
  requestId @16 :Text;
  fingerprint @17 :UInt64;
  hasVersion @18 :Bool;
  version @19 :Text;
}

struct Reply {
  number @0 :UInt32;
  upstream @1 :Text;
  urgency @2 :Int16;
  fetchFrom @3 :Text;
  expectedFirstMs @4 :UInt32;
  answerLimitMs @5 :UInt32;
  inputs @6 :Text;
  refusal @7 :Text;
  retryAfterMs @8 :UInt32;
  pressure @9 :Float32;
  engineSpeed @10 :Float32;
  unable @11 :Bool;
  isLimited @12 :Bool;
  requestLimit @13 :Float64;
}

struct Ended {
  number @0 :UInt32;
  outcome @1 :Text;
  tookMs @2 :UInt32;
}

struct Held {
  number @0 :UInt32;
  upstream @1 :Text;
  rank @2 :UInt8;
  prefillTokens @3 :UInt32;
  memoryTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  pauseMs @6 :UInt32;
  ageMs @7 :UInt32;
  patienceMs @8 :UInt32;
  started @9 :Bool;
  expectedFirstMs @10 :UInt32;
  digests @11 :List(UInt64);
  fingerprint @12 :UInt64;
}

struct Placed {
  upstream @0 :Text;
  parts @1 :List(Part);
  engineSpeed @2 :Float32;
  ageMs @3 :UInt32;
}

struct Incarnation {
  id @0 :Text;
  born @1 :UInt64;
}

struct Suspect {
  digest @0 :UInt64;
  position @1 :UInt16;
  requests @2 :UInt16;
  answeredMs @3 :Int64;
  begunMs @4 :Int64;
  isRequest @5 :Bool;
}

struct Crash {
  id @0 :Text;
  born @1 :UInt64;
  ageMs @2 :UInt32;
  parts @3 :List(Suspect);
  toCollect @4 :Bool;
  collected @5 :Bool;
}

struct Quarantined {
  digest @0 :UInt64;
  leftMs @1 :UInt32;
  durationMs @2 :UInt32;
}

struct Limit {
  id @0 :Text;
  born @1 :UInt64;
  perSecond @2 :Float64;
  ageMs @3 :UInt32;
}

struct Origin {
  id @0 :Text;
  isKnown @1 :Bool;
  service @2 :Text;
  version @3 :Text;
}

struct PartMessage {
  kind @0 :Text;
  body @1 :Text;
}

struct Datagram {
  host @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  sync @3 :Bool;
  queries @4 :List(Query);
  replies @5 :List(Reply);
  started @6 :List(UInt32);
  ended @7 :List(Ended);
  held @8 :List(Held);
  active @9 :List(UInt32);
  placed @10 :List(Placed);
  left @11 :List(Incarnation);
  crashes @12 :List(Crash);
  quarantined @13 :List(Quarantined);
  limits @14 :List(Limit);
  origins @15 :List(Origin);
  originLookups @16 :List(Text);
  originsToWrite @17 :List(Origin);
  messages @18 :List(PartMessage);
}
