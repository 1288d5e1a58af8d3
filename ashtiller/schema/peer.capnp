@0xd3a1f0c2b4e59687;

using Rust = import "rust.capnp";
$Rust.parentModule("schema");

# What the project's processes ask of each other. Times are milliseconds.

struct Greeting {
  name @0 :Text;
  role @1 :Text;
  revision @2 :UInt64;
  leaving @3 :Bool;
  cells @4 :List(Text);
}

struct Loan {
  endpoint @0 :UInt64;
  count @1 :UInt16;
}

struct Ask {
  service @0 :Text;
  borrower @1 :Text;
  keep @2 :List(Loan);
  want @3 :UInt16;
  settles @4 :Bool;
}

struct Submission {
  account @0 :Text;
  job @1 :Text;
  latencyCritical @2 :Bool;
  urgent @3 :Bool;
  tasks @4 :UInt32;
  processors @5 :UInt64;
  memory @6 :UInt64;
  accelerators @7 :UInt32;
  length @8 :UInt64;
  attempts @9 :UInt32;
  quotaProcessors @10 :UInt64;
  quotaMemory @11 :UInt64;
  quotaAccelerators @12 :UInt32;
  evictions @13 :UInt32;
  kind @14 :Text;
  target @15 :UInt64;
}

struct Verdict {
  union {
    accepted @0 :Void;
    known @1 :Void;
    conflict @2 :Text;
    never @3 :Text;
    notOwner @4 :Text;
    unknown @5 :Text;
    missing @6 :Void;
  }
}

interface Peer {
  greet @0 (mine :Greeting) -> (yours :Greeting);
  lend @1 (ask :Ask) -> (loans :List(Loan));
  submit @2 (cell :Text, job :Submission) -> (verdict :Verdict);
  cancel @3 (cell :Text, account :Text, job :Text) -> (verdict :Verdict);
  show @4 (cell :Text, account :Text, job :Text) -> (json :Text);
}
