@0xb6e1f0d2a94c7713;

struct Part {
  digest @0 :UInt64;
  tokens @1 :UInt32;
}

struct Placed {
  number @0 :UInt32;
  upstream @1 :Text;
  rank @2 :UInt8;
  prefillTokens @3 :UInt32;
  memoryTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  pauseMs @6 :UInt32;
  ageMs @7 :UInt32;
  expectedFirstMs @8 :UInt32;
  patienceMs @9 :UInt32;
  parts @10 :List(Part);
}

struct Update {
  host @0 :Text;
  incarnation @1 :UInt64;
  sync @2 :Bool;
  leaving @3 :Bool;
  placed @4 :List(Placed);
  started @5 :List(UInt32);
  ended @6 :List(UInt32);
  active @7 :List(UInt32);
  closed @8 :List(Text);
}
